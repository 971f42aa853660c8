package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

const (
	// maxRemovals is the maximum number of segments deleted in one transaction.
	maxRemovals = 64
	// horizonSteps is the number of steps in which the horizon advances by one
	// retention. Each step iterates over all entries.
	horizonSteps = 16
)

// journal is the holder's view of its slot's journal.
type journal struct {
	nonce uint64
	// head is the head's revision, next the number of the next segment.
	head int64
	next uint64
	// horizon is the latest Segment.Horizon; newest is the latest issue time of
	// any key in the journal, in Unix milliseconds.
	horizon int64
	newest  int64
	// confirmed is the latest time at which the head is known to have been at
	// this revision.
	confirmed time.Time
	// sweptHorizon is the horizon up to which entries were removed from memory.
	sweptHorizon int64
	// retained are the segments that must be kept, in order; obsolete are the
	// numbers of those that may be deleted.
	retained []retainedSegment
	obsolete []uint64
	// uncompactedKeys are the keys with records since the last compacted
	// segment.
	uncompactedKeys     map[uuid.UUID]struct{}
	uncompactedBytes    int
	uncompactedSegments int
}

type retainedSegment struct {
	number    uint64
	compacted bool
	// newest is the latest issue time of its keys.
	newest int64
}

func newJournal() journal {
	return journal{next: 1, uncompactedKeys: make(map[uuid.UUID]struct{})}
}

// committed adds a segment that was written to the journal.
func (j *journal) committed(a Append, revision int64) {
	j.head = revision
	j.obsolete = j.obsolete[len(a.Remove):]
	j.addSegment(NumberedSegment{Number: a.Number, Segment: a.Segment})
}

// addSegment applies the next segment, written or replayed.
func (j *journal) addSegment(s NumberedSegment) {
	j.next = s.Number + 1
	j.horizon = max(j.horizon, s.Segment.Horizon)
	if s.Segment.Compacted {
		j.markCompacted()
	}
	info := retainedSegment{number: s.Number, compacted: s.Segment.Compacted}
	for i := range s.Segment.Records {
		r := &s.Segment.Records[i]
		info.newest = max(info.newest, IssuedAt(r.Key))
		if !s.Segment.Compacted {
			j.uncompactedKeys[r.Key] = struct{}{}
			j.uncompactedBytes += r.size()
		}
	}
	if !s.Segment.Compacted {
		j.uncompactedSegments++
	}
	j.newest = max(j.newest, info.newest)
	j.markExpired()
	j.retained = append(j.retained, info)
}

// markCompacted marks the segments that a compacted segment replaces as
// obsolete.
func (j *journal) markCompacted() {
	kept := j.retained[:0]
	for _, s := range j.retained {
		if s.compacted {
			kept = append(kept, s)
			continue
		}
		j.obsolete = append(j.obsolete, s.number)
	}
	j.retained = kept
	j.uncompactedKeys = make(map[uuid.UUID]struct{})
	j.uncompactedBytes = 0
	j.uncompactedSegments = 0
}

// markExpired marks the compacted segments whose keys were all issued before
// the horizon as obsolete.
func (j *journal) markExpired() {
	j.retained = slices.DeleteFunc(j.retained, func(s retainedSegment) bool {
		expired := s.compacted && s.newest < j.horizon
		if expired {
			j.obsolete = append(j.obsolete, s.number)
		}
		return expired
	})
}

// removable returns the numbers of up to limit segments to delete, those that
// became obsolete first.
func (j *journal) removable(limit int) []uint64 {
	return slices.Clone(j.obsolete[:min(limit, len(j.obsolete))])
}

// nextHorizon returns the horizon of the next segment, which advances in steps.
// It follows the issue times of the claimed keys, not this daemon's clock, so
// that a wrong clock can neither expire claims early nor reject new keys. A full
// ledger claims nothing; its horizon follows the clock, up to just past the
// newest key, so that entries still expire.
func (l *Ledger) nextHorizon() int64 {
	window := (l.cfg.Retention + l.cfg.ClockAllowance).Milliseconds()
	step := (l.cfg.Retention / horizonSteps).Milliseconds()
	candidate := l.journal.newest - window
	if l.full() {
		candidate = max(candidate, min(l.now.UnixMilli()-window, l.journal.newest+1))
	}
	if candidate < l.journal.horizon+step {
		return l.journal.horizon
	}
	return candidate
}

// full reports whether the number of entries has reached MaxActions.
func (l *Ledger) full() bool { return len(l.entries) >= l.cfg.MaxActions }

func (l *Ledger) compactionDue() bool {
	return l.journal.uncompactedSegments >= l.cfg.CompactAfter || l.journal.uncompactedBytes >= l.cfg.SegmentBytes
}

// compactedRecords returns the state of each action with records since the last
// compaction, in key order.
func (l *Ledger) compactedRecords() []Record {
	keys := make([]uuid.UUID, 0, len(l.journal.uncompactedKeys))
	for key := range l.journal.uncompactedKeys {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uuid.UUID) int { return slices.Compare(a[:], b[:]) })
	records := make([]Record, 0, len(keys))
	for _, key := range keys {
		if IssuedAt(key) < l.journal.horizon {
			continue
		}
		records = append(records, stateRecord(key, l.entries[key]))
	}
	return records
}

// stateRecord returns the one record that replaces all records of a key. It is a
// release for an action without an entry, or whose claim is not committed yet.
func stateRecord(key uuid.UUID, e *entry) Record {
	if e == nil {
		return Record{Kind: RecordRelease, Key: key}
	}
	r := Record{Key: key, Fingerprint: e.fingerprint}
	switch e.state {
	case stateRunning:
		r.Kind = RecordClaim
	case stateAnswered:
		r.Kind = RecordAnswer
		r.Result = e.result
	case stateUnconfirmed:
		r.Kind = RecordUnconfirmed
	default:
		r.Kind = RecordRelease
	}
	return r
}

// sweepExpired removes the entries of settled actions whose keys were issued
// before the horizon.
func (l *Ledger) sweepExpired() {
	if l.journal.sweptHorizon == l.journal.horizon {
		return
	}
	l.journal.sweptHorizon = l.journal.horizon
	for key, e := range l.entries {
		settled := e.state != stateRunning && e.state != statePending
		if settled && IssuedAt(key) < l.journal.horizon {
			delete(l.entries, key)
		}
	}
	l.results.expire(l.journal.horizon)
}
