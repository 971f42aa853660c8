package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

const (
	// maxRemovals bounds the deletions in one transaction.
	maxRemovals = 64
	// horizonSteps is the number of steps in which the horizon passes one
	// retention; each step sweeps the remembered actions.
	horizonSteps = 16
)

// journal is what the holder knows about its slot's journal.
type journal struct {
	nonce uint64
	// head is the revision of the head, next the number of the next segment.
	head int64
	next uint64
	// horizon is as in Segment; newest is the latest issue time claimed.
	horizon int64
	newest  int64
	// confirmed is when the head was last known to be in place.
	confirmed time.Time
	// swept is the horizon up to which actions were forgotten.
	swept int64
	// retained are the segments that must be kept, in order; obsolete those
	// that may be deleted.
	retained []retainedSegment
	obsolete []uint64
	// touched are the keys named since the last compacted segment.
	touched      map[uuid.UUID]struct{}
	touchedBytes int
	uncompacted  int
}

type retainedSegment struct {
	number    uint64
	compacted bool
	// newest is the latest issue time of its keys.
	newest int64
}

func newJournal() journal {
	return journal{next: 1, touched: make(map[uuid.UUID]struct{})}
}

// committed notes a segment that is part of the journal now.
func (j *journal) committed(a Append, revision int64) {
	j.head = revision
	j.obsolete = j.obsolete[len(a.Remove):]
	j.note(NumberedSegment{Number: a.Number, Segment: a.Segment})
}

// note takes in the next segment, written or replayed.
func (j *journal) note(s NumberedSegment) {
	j.next = s.Number + 1
	j.horizon = max(j.horizon, s.Segment.Horizon)
	if s.Segment.Compacted {
		j.dropUncompacted()
	}
	info := retainedSegment{number: s.Number, compacted: s.Segment.Compacted}
	for i := range s.Segment.Records {
		r := &s.Segment.Records[i]
		info.newest = max(info.newest, IssuedAt(r.Key))
		if !s.Segment.Compacted {
			j.touched[r.Key] = struct{}{}
			j.touchedBytes += r.size()
		}
	}
	if !s.Segment.Compacted {
		j.uncompacted++
	}
	j.newest = max(j.newest, info.newest)
	j.dropExpired()
	j.retained = append(j.retained, info)
}

// dropUncompacted marks the segments that a compacted one replaces.
func (j *journal) dropUncompacted() {
	left := j.retained[:0]
	for _, s := range j.retained {
		if s.compacted {
			left = append(left, s)
			continue
		}
		j.obsolete = append(j.obsolete, s.number)
	}
	j.retained = left
	j.touched = make(map[uuid.UUID]struct{})
	j.touchedBytes = 0
	j.uncompacted = 0
}

// dropExpired marks the compacted segments whose keys are all before the
// horizon.
func (j *journal) dropExpired() {
	j.retained = slices.DeleteFunc(j.retained, func(s retainedSegment) bool {
		expired := s.compacted && s.newest < j.horizon
		if expired {
			j.obsolete = append(j.obsolete, s.number)
		}
		return expired
	})
}

// removable returns segments to delete, oldest first.
func (j *journal) removable(limit int) []uint64 {
	return slices.Clone(j.obsolete[:min(limit, len(j.obsolete))])
}

// nextHorizon moves the horizon in steps. It follows the keys that were
// claimed, not this daemon's clock, so that a wrong clock can't forget claims
// early nor shut out new keys. A full ledger claims nothing: then the horizon
// follows the clock, up to behind the newest key.
func (l *Ledger) nextHorizon() int64 {
	behind := (l.cfg.Retention + l.cfg.ClockAllowance).Milliseconds()
	step := (l.cfg.Retention / horizonSteps).Milliseconds()
	candidate := l.journal.newest - behind
	if l.full() {
		candidate = max(candidate, min(l.now.UnixMilli()-behind, l.journal.newest+1))
	}
	if candidate < l.journal.horizon+step {
		return l.journal.horizon
	}
	return candidate
}

// full reports whether no further action can be remembered.
func (l *Ledger) full() bool { return len(l.entries) >= l.cfg.MaxActions }

func (l *Ledger) compactionDue() bool {
	return l.journal.uncompacted >= l.cfg.CompactAfter || l.journal.touchedBytes >= l.cfg.SegmentBytes
}

// compactedRecords returns the state of each action that was named since the
// last compaction, in key order.
func (l *Ledger) compactedRecords() []Record {
	keys := make([]uuid.UUID, 0, len(l.journal.touched))
	for key := range l.journal.touched {
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

// stateRecord sums up the records of one key. An action without an entry, and
// a claim that isn't committed yet, leave only a release behind.
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

// dropExpired forgets the actions whose keys are before the horizon.
func (l *Ledger) dropExpired() {
	if l.journal.swept == l.journal.horizon {
		return
	}
	l.journal.swept = l.journal.horizon
	for key, e := range l.entries {
		settled := e.state != stateRunning && e.state != statePending
		if settled && IssuedAt(key) < l.journal.horizon {
			delete(l.entries, key)
		}
	}
	l.results.expire(l.journal.horizon)
}
