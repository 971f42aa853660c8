package engine

import (
	"context"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// swapTimeout is how long a chunk waits for one of another stream.
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

// swap returns the value that another stream offered, or waits for one. After
// the timeout it returns the stream's own value. confirm is asked once for
// each swap and can refuse it.
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

// match takes a waiting offer of another stream, or makes one.
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

// withdraw ends an offer and returns what was received or the own value.
func (e *exchanger[T]) withdraw(mine *offer[T]) T {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.offer == mine {
		e.offer = nil
		return mine.value
	}
	return <-mine.taken
}
