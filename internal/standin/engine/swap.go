package engine

import (
	"context"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// swapTimeout is how long an offered value waits for another stream.
const swapTimeout = 200 * time.Millisecond

// exchanger swaps values between two streams.
type exchanger[T any] struct {
	mu    sync.Mutex
	offer *offer[T]
}

type offer[T any] struct {
	streamID string
	value    T
	taken    chan T
}

// swap exchanges own for the value of another stream, and waits for one if none
// is offered. After swapTimeout it returns own. confirm is called once for each
// swap and can refuse it; it is called with e.mu held.
func (e *exchanger[T]) swap(ctx context.Context, c standin.Clock, streamID string, own T, confirm func() bool) T {
	other, mine := e.match(streamID, own, confirm)
	if mine == nil {
		return other
	}
	timeout := make(chan struct{})
	timer := c.AfterFunc(swapTimeout, func() { close(timeout) })
	defer timer.Stop()
	select {
	case received := <-mine.taken:
		return received
	case <-timeout:
	case <-ctx.Done():
	}
	return e.withdraw(mine)
}

// match accepts the pending offer of another stream, or makes an offer if none
// is pending. The returned offer is nil unless it made one.
func (e *exchanger[T]) match(streamID string, own T, confirm func() bool) (T, *offer[T]) {
	e.mu.Lock()
	defer e.mu.Unlock()
	waiting := e.offer
	switch {
	case waiting == nil:
		e.offer = &offer[T]{streamID: streamID, value: own, taken: make(chan T, 1)}
		return own, e.offer
	case waiting.streamID == streamID || !confirm():
		return own, nil
	}
	e.offer = nil
	waiting.taken <- own
	return waiting.value, nil
}

// withdraw withdraws an offer and returns its own value. If the offer was
// accepted in the meantime, it returns the received value.
func (e *exchanger[T]) withdraw(mine *offer[T]) T {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.offer == mine {
		e.offer = nil
		return mine.value
	}
	return <-mine.taken
}
