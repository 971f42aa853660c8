package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/pause"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. Calls
	// are billed, but a store that is reachable again must be noticed well within
	// the time in which a configuration change has to take effect.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// listTimeout bounds a list call with all its pages. The store's client bounds
	// each page.
	listTimeout = 10 * time.Second
)

// Update is one update that a Follower delivers.
type Update struct {
	// Full is set if Entries holds a complete list of the records; Events is empty
	// then.
	Full    bool
	Entries []kv.Entry
	// AskedAt is when the list was requested. The copy was complete then.
	AskedAt  time.Time
	Events   []kv.Event
	Revision int64
	// Err is set if a call to the store failed; the Follower retries.
	Err error
}

// Follower lists the records of a store and watches their changes.
type Follower struct {
	Store kv.Store
	// Prefix selects the records by key; empty selects all.
	Prefix string
	// Skip reports whether the record with a key is left out; nil means that none is.
	Skip func(key string) bool
	// Deliver is called with each update, in order. It must not block for long.
	Deliver func(Update)
	// Pace returns the pause after a list, and before the next changes are taken from
	// the watch; nil means none. Each call of the store is billed, so a follower that
	// only stands by for another one takes changes less often.
	Pace func() time.Duration
	// Now is the clock of Update.AskedAt; nil means time.Now.
	Now func() time.Time
	// lastRevision is the revision after which the next watch continues.
	lastRevision int64
}

// Run follows the store until the context ends. A value on resync means that the
// watch was found to miss changes: it is ended, and all records are listed again.
func (f *Follower) Run(ctx context.Context, resync <-chan struct{}) {
	failures := 0
	listed := false
	for ctx.Err() == nil {
		if !listed {
			err := f.listAndPace(ctx, resync)
			if errors.Is(err, kv.ErrRestored) || errors.Is(err, errResync) {
				continue
			}
			if err != nil {
				failures++
				f.reportAndWait(ctx, err, failures)
				continue
			}
			listed = true
		}
		healthy, err := f.watch(ctx, resync)
		if healthy {
			failures = 0
		}
		if err == nil || errors.Is(err, kv.ErrCompacted) || errors.Is(err, errResync) {
			listed = false
			continue
		}
		failures++
		f.reportAndWait(ctx, err, failures)
	}
}

// errResync means that all records have to be listed again.
var errResync = errors.New("the follower was told to list the records again")

// listAndPace lists the records and waits before the first watch. Its error is that of
// the list or the context, or errResync.
func (f *Follower) listAndPace(ctx context.Context, resync <-chan struct{}) error {
	if err := f.list(ctx); err != nil {
		return err
	}
	return f.pace(ctx, resync)
}

// reportAndWait delivers an error and waits before the next call.
func (f *Follower) reportAndWait(ctx context.Context, err error, failures int) {
	if ctx.Err() != nil {
		return
	}
	f.Deliver(Update{Err: err})
	delay := min(minRetryDelay<<min(failures-1, 4), maxRetryDelay)
	// The wait ends early only if the context ends, which the caller checks.
	_ = pause.For(ctx, delay/2+rand.N(delay/2+1))
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	askedAt := f.now()
	entries, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.lastRevision = revision
	if f.Skip != nil {
		entries = slices.DeleteFunc(entries, func(e kv.Entry) bool { return f.Skip(e.Key) })
	}
	f.Deliver(Update{Full: true, Entries: entries, Revision: revision, AskedAt: askedAt})
	return nil
}

func (f *Follower) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// watch delivers changes until the watch ends. healthy is set once the store has
// responded.
func (f *Follower) watch(ctx context.Context, resync <-chan struct{}) (healthy bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := f.Store.Watch(ctx, f.Prefix, f.lastRevision)
	if err != nil {
		return false, err
	}
	for {
		select {
		case <-resync:
			return healthy, errResync
		case batch, ok := <-batches:
			if !ok {
				return healthy, ctx.Err()
			}
			if batch.Err != nil {
				return healthy, batch.Err
			}
			healthy = true
			if f.Skip != nil {
				batch.Events = slices.DeleteFunc(batch.Events, func(e kv.Event) bool { return f.Skip(e.Entry.Key) })
			}
			f.lastRevision = max(f.lastRevision, batch.Revision)
			f.Deliver(Update{Events: batch.Events, Revision: batch.Revision})
			if err := f.pace(ctx, resync); err != nil {
				return healthy, err
			}
		}
	}
}

// pace waits before the next changes are taken. Its error is errResync or the
// context's.
func (f *Follower) pace(ctx context.Context, resync <-chan struct{}) error {
	if f.Pace == nil {
		return nil
	}
	timer := time.NewTimer(f.Pace())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-resync:
		return errResync
	case <-ctx.Done():
		return ctx.Err()
	}
}
