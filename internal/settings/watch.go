package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/pause"
)

// settleTime is well above the time that a process needs between two writes of a file.
const settleTime = 100 * time.Millisecond

// WatchFile polls a file until the context is done. It calls changed with the
// content when it differs from that of the last read, and on each signal. Read
// errors are ignored: the file may be missing briefly while it is replaced. A file that is
// being written is read once it stays the same for settleTime: its beginning may be valid.
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
		data, err = readSettled(ctx, path, data)
		if err != nil {
			continue
		}
		last = data
		changed(data)
	}
}

// readSettled returns the content of a file once it has not changed for settleTime.
func readSettled(ctx context.Context, path string, data []byte) ([]byte, error) {
	for {
		if err := pause.For(ctx, settleTime); err != nil {
			return nil, err
		}
		again, err := os.ReadFile(path)
		if err != nil || bytes.Equal(again, data) {
			return data, err
		}
		data = again
	}
}
