package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/pause"
)

const (
	// minRetry and maxRetry bound the pause after a failed call: each call is
	// paid for, and a returned store must be noticed well within the time in
	// which a configuration has to be in force.
	minRetry = 100 * time.Millisecond
	maxRetry = 500 * time.Millisecond
	// listTimeout bounds one list with all its pages. The store's client bounds
	// each of them.
	listTimeout = 10 * time.Second
)

// Update is one step of a Follower.
type Update struct {
	// Full is set for a whole list; Entries holds it, and Events is empty.
	Full     bool
	Entries  []kv.Entry
	Events   []kv.Event
	Revision int64
	// Err is set when the store can't be followed at the moment.
	Err error
}

// Follower reads the records of a store and their changes.
type Follower struct {
	Store kv.Store
	// Prefix selects the records; empty for all.
	Prefix string
	// Deliver takes each update, in order. It must not block for long.
	Deliver func(Update)
	// after is the revision that the next watch goes on from.
	after int64
}

// Run follows the store until the context ends. Reset ends a watch that was
// found to keep changes back, and reads everything again.
func (f *Follower) Run(ctx context.Context, reset <-chan struct{}) {
	failures := 0
	listed := false
	for ctx.Err() == nil {
		if !listed {
			if err := f.list(ctx); err != nil {
				failures++
				f.fail(ctx, err, failures)
				continue
			}
			listed = true
		}
		healthy, err := f.watch(ctx, reset)
		if healthy {
			failures = 0
		}
		if err == nil || errors.Is(err, kv.ErrCompacted) {
			listed = false
			continue
		}
		failures++
		f.fail(ctx, err, failures)
	}
}

// fail reports an error and waits.
func (f *Follower) fail(ctx context.Context, err error, failures int) {
	if ctx.Err() != nil {
		return
	}
	f.Deliver(Update{Err: err})
	delay := min(minRetry<<min(failures-1, 4), maxRetry)
	// The pause ends early only with the context, which the caller checks.
	_ = pause.For(ctx, delay/2+rand.N(delay/2+1))
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.after = revision
	f.Deliver(Update{Full: true, Entries: entries, Revision: revision})
	return nil
}

// watch delivers changes until the watch ends; healthy is set once the store
// has answered.
func (f *Follower) watch(ctx context.Context, reset <-chan struct{}) (healthy bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := f.Store.Watch(ctx, f.Prefix, f.after)
	if err != nil {
		return false, err
	}
	for {
		select {
		case <-reset:
			return healthy, nil
		case batch, ok := <-batches:
			if !ok {
				return healthy, ctx.Err()
			}
			if batch.Err != nil {
				return healthy, batch.Err
			}
			healthy = true
			f.after = max(f.after, batch.Revision)
			f.Deliver(Update{Events: batch.Events, Revision: batch.Revision})
		}
	}
}
