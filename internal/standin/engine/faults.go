package engine

import (
	"context"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// allStreams is the Count of a StreamFault that strikes every new stream.
const allStreams = -1

// neverStruck marks a connection that no StreamFault strikes.
const neverStruck = -1

// StreamFault strikes the connections of the next streams, including resumed
// ones.
type StreamFault struct {
	// Count is the number of connections left to strike; -1 strikes all.
	Count int `json:"count"`
	// AfterTokens is the number of chunks that are sent before.
	AfterTokens int `json:"after_tokens"`
}

// Faults are the switchable faults of the engine. The zero value has none.
type Faults struct {
	// Outage fails every call but those for tests.
	Outage standin.Outage `json:"outage"`
	// CrashWord crashes the engine when it starts a prompt that contains it.
	CrashWord string `json:"crash_word"`
	// Frozen stops all work and answers while connections stay open.
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies the time of each step; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// AnswerDelayMS is added before the head of each answer, in milliseconds.
	AnswerDelayMS int `json:"answer_delay_ms"`
	// ChunkDelayMS is added before each chunk, in milliseconds.
	ChunkDelayMS int `json:"chunk_delay_ms"`
	// Silent leaves connections open without sending more.
	Silent StreamFault `json:"silent"`
	// Cut closes connections.
	Cut StreamFault `json:"cut"`
	// SwapChunks is the number of coming swaps in which two streams each get a
	// chunk of the other. Whole answers are swapped likewise.
	SwapChunks int `json:"swap_chunks"`
	// DuplicateChunks is the number of coming chunks that are sent twice.
	DuplicateChunks int `json:"duplicate_chunks"`
	// LoadReport replaces the counts of the load report when set.
	LoadReport *engineapi.Load `json:"load_report"`
}

// Action is the body of POST /admin/actions: things that happen once.
type Action struct {
	// SilenceOpen makes the connections that are open now go silent for good,
	// while new ones work.
	SilenceOpen bool `json:"silence_open"`
	// CutOpen closes the connections of all streams that are open now.
	CutOpen bool `json:"cut_open"`
	// DropCache empties the prefix cache.
	DropCache bool `json:"drop_cache"`
	// Crash crashes the engine.
	Crash bool `json:"crash"`
}

// take returns after how many chunks a new connection is struck, or
// neverStruck.
func (f *StreamFault) take() int {
	if f.Count == 0 {
		return neverStruck
	}
	if f.Count != allStreams {
		f.Count--
	}
	return f.AfterTokens
}

// takeSwap counts one swap down and reports whether there was one left.
func (s *Server) takeSwap() bool {
	taken := false
	s.Faults.Update(func(f *Faults) {
		taken = f.SwapChunks > 0
		if taken {
			f.SwapChunks--
		}
	})
	return taken
}

// takeDuplicate reports whether the next chunk is sent twice, and counts it.
func (s *Server) takeDuplicate() bool {
	if s.Faults.Get().DuplicateChunks == 0 {
		return false
	}
	taken := false
	s.Faults.Update(func(f *Faults) {
		taken = f.DuplicateChunks > 0
		if taken {
			f.DuplicateChunks--
		}
	})
	return taken
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// swapTimeout is how long a chunk waits for one of another stream.
const swapTimeout = time.Second

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
