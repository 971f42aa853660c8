// Package pause provides a sleep that a context can cancel.
package pause

import (
	"context"
	"time"
)

// For sleeps for d and returns nil, or returns the context's error if the context
// is done first. It doesn't sleep if d is zero or negative.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
