package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// WatchFile polls a file until the context is done. It calls changed with the
// content when it differs from that of the last read, and on each signal. Read
// errors are ignored: the file may be missing briefly while it is replaced.
func WatchFile(ctx context.Context, path string, interval time.Duration, signals <-chan os.Signal, changed func(data []byte)) {
	// If the file can't be read now, the first successful read of any content counts
	// as a change.
	last, _ := os.ReadFile(path)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil || bytes.Equal(data, last) && !signaled {
			continue
		}
		last = data
		changed(data)
	}
}
