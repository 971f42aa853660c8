package edge

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/boottime"
)

// minSuspension is the shortest difference between two clocks that counts as a
// suspension. A busy host may read them some milliseconds apart.
const minSuspension = 100 * time.Millisecond

// suspensionClock detects suspensions of the host: the steady clock stands still in
// them, the time since the host's start doesn't.
type suspensionClock struct{ sinceBoot, steady time.Time }

func newSuspensionClock() suspensionClock {
	return suspensionClock{sinceBoot: boottime.Now(), steady: time.Now()}
}

// read takes the readings of both clocks. It returns the time since the host's start and
// how long the host was suspended since the last call, zero if it wasn't.
func (c *suspensionClock) read(sinceBoot, steady time.Time) (now time.Time, suspended time.Duration) {
	difference := sinceBoot.Sub(c.sinceBoot) - steady.Sub(c.steady)
	if difference < minSuspension {
		return sinceBoot, 0
	}
	c.sinceBoot, c.steady = sinceBoot, steady
	return sinceBoot, difference
}
