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

// follow learns of new revisions from the service: by a watch in watchers, by
// polls in all processes.
func (m *Manager) follow(ctx context.Context) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = minWatchPause
	pauses.MaxInterval = maxWatchPause
	for ctx.Err() == nil {
		var err error
		if m.options.IsWatcher() {
			err = m.watch(ctx)
		} else if m.awaitPoll(ctx) {
			_, err = m.poll(ctx)
		}
		if err == nil {
			pauses.Reset()
			continue
		}
		m.counters.watchRestarts.Inc(1)
		_ = pause.For(ctx, pauses.NextBackOff())
	}
}

// awaitPoll waits until a process that doesn't watch has to poll. It returns
// false when the process becomes a watcher before, or the context ends.
func (m *Manager) awaitPoll(ctx context.Context) bool {
	due := time.Now().Add(jitter(m.options.NonWatcherPollInterval))
	for ctx.Err() == nil && !m.options.IsWatcher() {
		left := time.Until(due)
		if left <= 0 {
			return true
		}
		_ = pause.For(ctx, min(left, roleCheck))
	}
	return false
}

// jitter returns between three quarters and all of a time span, so that
// processes don't poll together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/4+1)
}

// poll reads the manifest and announces its revision.
func (m *Manager) poll(ctx context.Context) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, storeCallLimit)
	defer cancel()
	head, err := m.reader.Head(limited)
	if err != nil {
		return 0, err
	}
	if head.Revision > 0 {
		m.post(ctx, message{event: rollout.Announced{Source: rollout.Store, Revision: head.Revision}})
	}
	return head.Revision, nil
}

// watch follows the records until the watch fails, or until this process isn't
// a watcher any more, when it returns nil.
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

// watchProgress compares what a watch brought with what polls read.
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
			newest, err := m.watched(ctx, batch)
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

// checkWatch finds a silent watch: it has had a whole interval to bring what was
// polled last.
func (m *Manager) checkWatch(ctx context.Context, progress *watchProgress) error {
	if progress.polled > progress.seen {
		m.counters.silent.Inc(1)
		return errors.WithMessage(kv.ErrUnavailable, "watch is silent")
	}
	polled, err := m.poll(ctx)
	progress.polled = polled
	return err
}

// watchPosition returns the service's revision that a watch starts after.
func (m *Manager) watchPosition(ctx context.Context) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, storeCallLimit)
	defer cancel()
	_, modRevision, err := m.reader.head(limited)
	if err != nil || modRevision > 0 {
		return modRevision, err
	}
	_, revision, err := m.options.Store.List(limited, prefixChange)
	return revision, err
}

// watched posts the records of a batch and returns the newest revision.
func (m *Manager) watched(ctx context.Context, batch kv.WatchBatch) (uint64, error) {
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

// recordMessage only announces a record that doesn't hold its changes.
func recordMessage(record Record) message {
	if record.Oversized {
		return message{event: rollout.Announced{Source: rollout.Store, Revision: record.Revision}}
	}
	return changesMessage(rollout.Store, []Record{record}, false)
}
