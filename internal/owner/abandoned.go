package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineclient"
)

const (
	// cancelInterval is the time between two attempts to cancel streams at an
	// engine that hangs.
	cancelInterval = time.Second
	// abandonedTime is how long cancelling is tried; engines drop streams that
	// nobody reads by themselves.
	abandonedTime = 2 * time.Minute
	// unknownTime is how long cancelling is tried after the engine answered that
	// it has no such stream: its request may still be in the engine's backlog.
	unknownTime = 5 * time.Second
	// maxAbandoned bounds the streams that wait to be cancelled.
	maxAbandoned = 4096
)

// abandonedStream is a stream that an engine may go on running for nobody.
type abandonedStream struct {
	address string
	id      string
	until   time.Time
	// unknown is set once the engine answered that it has no such stream.
	unknown bool
}

// abandonedStreams cancels streams once their engine answers again.
type abandonedStreams struct {
	mu      sync.Mutex
	streams []abandonedStream
}

func newAbandonedStreams() *abandonedStreams { return &abandonedStreams{} }

func (a *abandonedStreams) add(address, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id == "" || len(a.streams) >= maxAbandoned {
		return
	}
	a.streams = append(a.streams, abandonedStream{address: address, id: id, until: time.Now().Add(abandonedTime)})
}

// run tries to cancel all streams at an interval until the context ends.
func (a *abandonedStreams) run(ctx context.Context, engines *engineclient.Client) {
	ticker := time.NewTicker(cancelInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.cancelAll(ctx, now, engines)
		}
	}
}

// cancelAll asks each engine for its first stream, and for the rest only when
// it answers.
func (a *abandonedStreams) cancelAll(ctx context.Context, now time.Time, engines *engineclient.Client) {
	hanging := make(map[string]bool)
	for _, stream := range a.take() {
		if now.After(stream.until) {
			continue
		}
		if hanging[stream.address] {
			a.keep(stream)
			continue
		}
		err := engines.Cancel(ctx, stream.address, stream.id)
		switch {
		case err == nil:
		case errors.Is(err, engineclient.ErrStreamGone):
			a.keep(stream.untilKnown(now))
		default:
			hanging[stream.address] = true
			a.keep(stream)
		}
	}
}

// untilKnown shortens the time in which cancelling is tried.
func (s abandonedStream) untilKnown(now time.Time) abandonedStream {
	if latest := now.Add(unknownTime); !s.unknown && latest.Before(s.until) {
		s.until = latest
	}
	s.unknown = true
	return s
}

func (a *abandonedStreams) take() []abandonedStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	streams := a.streams
	a.streams = nil
	return streams
}

func (a *abandonedStreams) keep(stream abandonedStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams = append(a.streams, stream)
}
