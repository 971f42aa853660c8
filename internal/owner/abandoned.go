package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineclient"
)

const (
	// cancelInterval is the time between two attempts to cancel streams on an
	// unresponsive engine.
	cancelInterval = time.Second
	// cancelTimeout is how long cancellation is retried. After that the engine is
	// expected to have dropped the stream itself, because nobody reads it.
	cancelTimeout = 2 * time.Minute
	// notFoundCancelTimeout is how long cancellation is retried after the engine
	// first reported that the stream doesn't exist: the request that creates it
	// may still be in the engine's backlog.
	notFoundCancelTimeout = 5 * time.Second
	// maxAbandoned limits the number of streams waiting to be cancelled.
	maxAbandoned = 4096
)

// abandonedStream is a stream without a reader that its engine may still be
// running.
type abandonedStream struct {
	address  string
	id       string
	deadline time.Time
	// notFound is set once the engine has reported that the stream doesn't exist.
	notFound bool
}

// abandonedStreams cancels streams once their engine responds again.
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
	a.streams = append(a.streams, abandonedStream{address: address, id: id, deadline: time.Now().Add(cancelTimeout)})
}

// run tries to cancel all streams every cancelInterval until ctx is done.
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

// cancelAll tries to cancel all streams. If an engine doesn't respond, its
// remaining streams are requeued without a request.
func (a *abandonedStreams) cancelAll(ctx context.Context, now time.Time, engines *engineclient.Client) {
	unresponsive := make(map[string]bool)
	for _, stream := range a.takeAll() {
		if now.After(stream.deadline) {
			continue
		}
		if unresponsive[stream.address] {
			a.requeue(stream)
			continue
		}
		err := engines.Cancel(ctx, stream.address, stream.id)
		switch {
		case err == nil:
		case errors.Is(err, engineclient.ErrStreamGone):
			a.requeue(stream.markNotFound(now))
		default:
			unresponsive[stream.address] = true
			a.requeue(stream)
		}
	}
}

// markNotFound returns s with its deadline shortened to notFoundCancelTimeout,
// counted from the first such report.
func (s abandonedStream) markNotFound(now time.Time) abandonedStream {
	if latest := now.Add(notFoundCancelTimeout); !s.notFound && latest.Before(s.deadline) {
		s.deadline = latest
	}
	s.notFound = true
	return s
}

func (a *abandonedStreams) takeAll() []abandonedStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	streams := a.streams
	a.streams = nil
	return streams
}

func (a *abandonedStreams) requeue(stream abandonedStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams = append(a.streams, stream)
}
