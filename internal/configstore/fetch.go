package configstore

import (
	"context"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/rollout"
)

var errNoSource = errors.New("source is not configured: set the key-value service or peers")

// fetch fetches from one source and posts the result to Run.
func (m *Manager) fetch(ctx context.Context, f rollout.Fetch) {
	fetchCtx, cancel := context.WithTimeout(ctx, m.options.Rollout.FetchTimeout)
	defer cancel()
	var msg message
	var err error
	if f.Source == rollout.Store {
		msg, err = m.fetchFromStore(fetchCtx, f.After)
	} else {
		msg, err = m.fetchFromPeer(fetchCtx, f)
	}
	if err != nil {
		m.counters.failedFetches.Inc(1)
		msg = message{event: rollout.FetchFailed{Source: f.Source}}
	}
	m.post(ctx, msg)
}

// fetchFromStore reads the records after a revision, or a full copy if one of them
// isn't available or is oversized.
func (m *Manager) fetchFromStore(ctx context.Context, after uint64) (message, error) {
	if m.reader == nil {
		return message{}, errNoSource
	}
	m.counters.storeFetches.Inc(1)
	if after > 0 {
		records, err := m.reader.ChangesAfter(ctx, after)
		if err == nil && !anyOversized(records) {
			return changesMessage(rollout.Store, records, true), nil
		}
		if err != nil && !errors.Is(err, ErrNotRetained) {
			return message{}, err
		}
	}
	full, err := m.reader.LoadAll(ctx)
	if err != nil {
		return message{}, err
	}
	return fullMessage(rollout.Store, full)
}

func (m *Manager) fetchFromPeer(ctx context.Context, f rollout.Fetch) (message, error) {
	if m.options.PeerFetch == nil {
		return message{}, errNoSource
	}
	m.counters.peerFetches.Inc(1)
	response, err := m.options.PeerFetch(ctx, f.Source.Peer, f.After)
	if err != nil {
		return message{}, err
	}
	m.counters.peerBytes.Inc(responseBytes(response))
	if len(response.GetFull()) > 0 {
		full, err := decompressCopy(response.GetFull())
		if err != nil {
			return message{}, err
		}
		return fullMessage(f.Source, full)
	}
	records, err := decodeRecords(response.GetChanges())
	if err != nil {
		return message{}, err
	}
	return changesMessage(f.Source, records, true), nil
}

// fullMessage rejects a copy at revision zero, which means that nothing has been
// committed yet.
func fullMessage(source rollout.Source, full *FullCopy) (message, error) {
	if full.Revision == 0 {
		return message{}, errors.New("no configuration committed yet: run vtctl apply")
	}
	return message{event: rollout.FullReceived{Source: source, Revision: full.Revision}, full: full}, nil
}

func changesMessage(source rollout.Source, records []Record, requested bool) message {
	event := rollout.ChangesReceived{Source: source, Requested: requested}
	for _, record := range records {
		event.Revisions = append(event.Revisions, record.Revision)
	}
	return message{event: event, records: records}
}

func anyOversized(records []Record) bool {
	for _, record := range records {
		if record.Oversized {
			return true
		}
	}
	return false
}
