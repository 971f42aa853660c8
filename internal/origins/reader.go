package origins

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/pause"
)

// errStoreUnreachable means that a read of the records has just failed.
var errStoreUnreachable = errors.New("the store has not responded a moment ago: the records are read again later")

// sharedReader joins the reads of many calls. Each gets contents that were asked for after
// its own question.
type sharedReader struct {
	reader  Reader
	now     func() time.Time
	wait    func(ctx context.Context, d time.Duration) error
	metrics *trackerMetrics

	// reading is held during a read.
	reading sync.Mutex

	mu sync.Mutex
	// next is the read that has not begun yet, nil if nobody waits for one.
	next      *sharedRead
	lastBegin time.Time
	failedAt  time.Time
}

// sharedRead is one read for all that wait for it.
type sharedRead struct {
	// done is closed at the end.
	done     chan struct{}
	contents Contents
	err      error
}

func newSharedReader(r Reader, now func() time.Time, m *trackerMetrics) *sharedReader {
	return &sharedReader{reader: r, now: now, wait: pause.For, metrics: m}
}

// read returns the records as they are after the call. Its error is errStoreUnreachable, or
// that of the store or the context.
func (r *sharedReader) read(ctx context.Context) (Contents, error) {
	next, err := r.join()
	if err != nil {
		return Contents{}, err
	}
	select {
	case <-next.done:
		return next.contents, next.err
	case <-ctx.Done():
		return Contents{}, ctx.Err()
	}
}

// join returns the next read, which it starts if nobody else waits for it.
func (r *sharedReader) join() (*sharedRead, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		if r.now().Sub(r.failedAt) < failurePeriod {
			return nil, errStoreUnreachable
		}
		r.next = &sharedRead{done: make(chan struct{})}
		go r.run(r.next)
	}
	return r.next, nil
}

// run reads the records once the read before is over.
func (r *sharedReader) run(next *sharedRead) {
	r.reading.Lock()
	defer r.reading.Unlock()
	defer close(next.done)
	// The error is that of the context, which doesn't end: several calls wait for this read.
	_ = r.wait(context.Background(), r.waitTime())
	r.mu.Lock()
	r.next, r.lastBegin = nil, r.now()
	failed := r.now().Sub(r.failedAt) < failurePeriod
	r.mu.Unlock()
	if failed {
		next.err = errStoreUnreachable
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	r.metrics.reads.Inc(1)
	next.contents, next.err = r.reader.ReadOrigins(ctx)
	if next.err != nil {
		r.metrics.failures.Inc(1)
		r.mu.Lock()
		r.failedAt = r.now()
		r.mu.Unlock()
	}
}

func (r *sharedReader) waitTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return readSpacing - r.now().Sub(r.lastBegin)
}
