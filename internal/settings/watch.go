package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// WatchFile calls changed with a file's content when it differs from the last
// one, and at each signal, until the context ends. A file that can't be read is
// passed over: it may be about to be replaced.
func WatchFile(ctx context.Context, path string, interval time.Duration, signals <-chan os.Signal, changed func(data []byte)) {
	// A file that can't be read now counts as changed once it can.
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
