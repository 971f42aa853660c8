// Package standin contains what the stand-ins for the platform and the upstreams
// share: an injectable clock, faults that can be set at run time, values that
// become visible after a lag, and HTTP helpers.
package standin

import (
	"context"
	"time"
)

// Clock is the time source of a stand-in.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// AfterFunc calls f once after d. The clock chooses the goroutine.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call of Clock.AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it was still pending.
	Stop() bool
}

// SystemClock is the system clock.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc is time.AfterFunc.
func (SystemClock) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// ClockOrSystem returns c, or the system clock when c is nil.
func ClockOrSystem(c Clock) Clock {
	if c == nil {
		return SystemClock{}
	}
	return c
}

// Sleep waits for d, or returns the context's error when the context ends
// first.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	elapsed := make(chan struct{})
	timer := c.AfterFunc(d, func() { close(elapsed) })
	defer timer.Stop()
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
