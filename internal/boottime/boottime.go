// Package boottime is a clock that never goes back and that counts the time in which
// the host was suspended. Go's steady clock stands still then.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started, as a time after the Unix epoch. Compare
// it only with other times of this package.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic("the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
