package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/rollout"
)

// follow detects new revisions in the key-value service until the context ends:
// watchers by a watch and polls, other processes by polls only.
func (m *Manager) follow(ctx context.Context) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = minWatchBackoff
	retryBackoff.MaxInterval = maxWatchBackoff
	for ctx.Err() == nil {
		var err error
		if m.options.IsWatcher() {
			err = m.watch(ctx)
		} else if m.awaitPoll(ctx) {
			_, err = m.poll(ctx)
		}
		if err == nil {
			retryBackoff.Reset()
			continue
		}
		m.counters.watchRestarts.Inc(1)
		_ = pause.For(ctx, retryBackoff.NextBackOff())
	}
}

// awaitPoll waits until the next poll of a process that isn't a watcher. It returns
// false if the process becomes a watcher before that or the context ends.
func (m *Manager) awaitPoll(ctx context.Context) bool {
	nextPoll := time.Now().Add(jitter(m.options.NonWatcherPollInterval))
	for ctx.Err() == nil && !m.options.IsWatcher() {
		remaining := time.Until(nextPoll)
		if remaining <= 0 {
			return true
		}
		_ = pause.For(ctx, min(remaining, roleCheckInterval))
	}
	return false
}

// jitter returns a random duration between 3/4 d and d, so that processes don't poll
// at the same time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/4+1)
}

// poll reads the manifest, posts its revision to Run and returns it.
func (m *Manager) poll(ctx context.Context) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	head, err := m.reader.Head(callCtx)
	if err != nil {
		return 0, err
	}
	if head.Revision > 0 {
		m.post(ctx, message{event: rollout.Announced{Source: rollout.Store, Revision: head.Revision}})
	}
	return head.Revision, nil
}

// watch posts the records of new revisions until the watch fails. It returns nil
// when this process is no longer a watcher or the context ends.
func (m *Manager) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	after, err := m.watchPosition(ctx)
	if err != nil {
		return err
	}
	batches, err := m.options.Store.Watch(ctx, prefixChange, after)
	if err != nil {
		return err
	}
	polled, err := m.poll(ctx)
	if err != nil {
		return err
	}
	return m.followWatch(ctx, batches, watchProgress{polled: polled, seen: polled})
}

// watchProgress holds the newest revision read by polls and the newest one delivered
// by the watch.
type watchProgress struct {
	polled, seen uint64
}

func (m *Manager) followWatch(ctx context.Context, batches <-chan kv.WatchBatch, progress watchProgress) error {
	timer := time.NewTimer(jitter(m.options.WatcherPollInterval))
	defer timer.Stop()
	for {
		select {
		case batch, open := <-batches:
			if !open {
				return errors.WithMessage(kv.ErrUnavailable, "watch closed")
			}
			newest, err := m.handleBatch(ctx, batch)
			if err != nil {
				return err
			}
			progress.seen = max(progress.seen, newest)
		case <-timer.C:
			if !m.options.IsWatcher() {
				return nil
			}
			if err := m.checkWatch(ctx, &progress); err != nil {
				return err
			}
			timer.Reset(jitter(m.options.WatcherPollInterval))
		case <-ctx.Done():
			return nil
		}
	}
}

// checkWatch returns an error if the watch has not delivered the revision of the last
// poll within a poll interval: such a watch no longer delivers events although it is
// still open.
func (m *Manager) checkWatch(ctx context.Context, progress *watchProgress) error {
	if progress.polled > progress.seen {
		m.counters.silentWatches.Inc(1)
		return errors.WithMessage(kv.ErrUnavailable, "watch did not deliver a revision within the poll interval")
	}
	polled, err := m.poll(ctx)
	progress.polled = polled
	return err
}

// watchPosition returns the revision of the key-value service after which the watch
// starts.
func (m *Manager) watchPosition(ctx context.Context) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, modRevision, err := m.reader.head(callCtx)
	if err != nil || modRevision > 0 {
		return modRevision, err
	}
	_, revision, err := m.options.Store.List(callCtx, prefixChange)
	return revision, err
}

// handleBatch posts the records of a watch batch and returns their newest revision.
func (m *Manager) handleBatch(ctx context.Context, batch kv.WatchBatch) (uint64, error) {
	if batch.Err != nil {
		return 0, batch.Err
	}
	var newest uint64
	for _, event := range batch.Events {
		if event.Deleted {
			continue
		}
		var record Record
		if err := decode(event.Entry.Key, event.Entry.Value, &record); err != nil {
			return newest, err
		}
		m.counters.watchEvents.Inc(1)
		m.counters.storeBytes.Inc(int64(len(event.Entry.Value)))
		newest = max(newest, record.Revision)
		m.post(ctx, recordMessage(record))
	}
	return newest, nil
}

// recordMessage returns a message with the changes of a record, or only its revision
// if the record is oversized and has no changes.
func recordMessage(record Record) message {
	if record.Oversized {
		return message{event: rollout.Announced{Source: rollout.Store, Revision: record.Revision}}
	}
	return changesMessage(rollout.Store, []Record{record}, false)
}
