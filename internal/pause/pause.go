// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns nil, or the context's error when that ends first.
// A d of zero or less doesn't wait.
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
