// Package mirror keeps a router's copy of the platform's records. The copy is
// updated from the platform's store, or from another router that has a newer
// one, and never goes back to an older revision. A Mirror does no I/O; a
// Follower reads the updates from a store.
//
// Instances rewrite their records periodically as heartbeats. A write that
// doesn't change the meaning of a record is not a change: it advances the
// revision of the copy, but is neither kept in the history nor sent to other
// routers. The traffic between routers therefore doesn't grow with the number of
// instances.
package mirror

import (
	"slices"
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Mirror is a copy of the records at one revision. It is not safe for concurrent
// use.
type Mirror struct {
	comparer Comparer
	records  map[string]record
	revision int64
	// changed is the latest revision at which a record may have changed.
	changed int64
	// changes are the latest changes in order, complete after historyFloor.
	changes      []change
	historyFloor int64
	// gaps are revision ranges of which only the end state is known, not the
	// individual writes. A copy at a revision within a gap can't be updated by a
	// delta.
	gaps []gap
	// ahead are the keys of records that a list has brought although they were written
	// after its revision: the pages of a list are no snapshot. While there are any, the
	// copy may also lack records that were removed after its revision, or have records that
	// were removed later.
	ahead []string
}

// record is a record's last value with the revision at which it last changed.
type record struct {
	entry kv.Entry
	// lastWrite is the revision of its last write.
	lastWrite int64
	// kept is set while the value is a later version than the last write has: it is from
	// before a restore of the store. Other copies at the same revision may lack it.
	kept bool
}

// gap is a range of revisions that excludes both bounds.
type gap struct{ from, to int64 }

// change is a change or removal of a record at a revision.
type change struct {
	key      string
	revision int64
}

// maxChanges bounds the changes, and the gaps, that are kept for deltas.
const maxChanges = 2048

// Comparer compares values of one record.
type Comparer interface {
	// Same reports whether two values have the same meaning, so that the later one is
	// not a change.
	Same(a, b kv.Entry) bool
	// Older reports whether a is an older version than b by a version in the values
	// themselves; false if they have none.
	Older(a, b kv.Entry) bool
}

// New returns an empty Mirror.
func New(comparer Comparer) *Mirror {
	return &Mirror{comparer: comparer, records: make(map[string]record)}
}

// Revision returns the revision up to which the copy is known to be complete, zero
// while it is empty.
func (m *Mirror) Revision() int64 { return m.revision }

// DeltaBase returns the revision from which a delta of another router can update the copy,
// zero if only a whole copy can: there is none yet, or it is ahead of its revision.
func (m *Mirror) DeltaBase() int64 {
	if len(m.ahead) > 0 {
		return 0
	}
	return m.revision
}

// ChangedRevision returns the latest revision at which a record may have changed.
// A copy that is complete up to it lacks no change that this one has.
func (m *Mirror) ChangedRevision() int64 { return m.changed }

// Entries returns all records in key order. ModRevision is the revision at which a
// record last changed.
func (m *Mirror) Entries() []kv.Entry {
	entries := make([]kv.Entry, 0, len(m.records))
	for _, r := range m.records {
		entries = append(entries, r.entry)
	}
	slices.SortFunc(entries, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// Advance raises the revision if another router's copy is complete up to revision
// and unchanged since the revision changed. It reports whether it did: this copy
// can't advance if it lacks that change itself.
func (m *Mirror) Advance(changed, revision int64) bool {
	if m.revision == 0 || changed > m.revision || revision <= m.revision {
		return false
	}
	m.reach(revision)
	return true
}

// reach raises the revision. Records that a list has brought ahead of it count as changed
// now: the copies of other routers at the earlier revision lack them. It reports whether
// there are any.
func (m *Mirror) reach(revision int64) (changed bool) {
	if revision <= m.revision {
		return false
	}
	for _, key := range m.ahead {
		if r, ok := m.records[key]; ok && r.lastWrite > m.revision {
			m.recordChange(key, revision)
			changed = true
		}
	}
	m.revision = revision
	m.ahead = slices.DeleteFunc(m.ahead, func(key string) bool { return m.records[key].lastWrite <= revision })
	return changed
}

// Replace replaces the copy by a complete list of records. It returns false without
// a change if the list is older than the copy. A list doesn't tell when its records
// last changed; its own revision is recorded instead.
func (m *Mirror) Replace(entries []kv.Entry, revision int64) bool {
	return m.replace(entries, revision, revision)
}

func (m *Mirror) replace(entries []kv.Entry, changed, revision int64) bool {
	if revision < m.revision || revision == 0 {
		return false
	}
	next := make(map[string]record, len(entries))
	for _, e := range entries {
		next[e.Key] = m.mergeListed(e, revision)
	}
	m.recordReplacement(next, changed, revision)
	m.reach(revision)
	m.records, m.ahead = next, nil
	for key, r := range next {
		if r.lastWrite > revision {
			m.ahead = append(m.ahead, key)
		}
	}
	return true
}

// mergeListed returns the record that results from an entry of a list. A list isn't a
// snapshot, so the known value is kept if it was written after the list's revision
// and is the later one. A known write up to that revision tells nothing, although the
// list may name an earlier one: a copy whose record was changed and changed back
// between two updates still has the earlier write.
func (m *Mirror) mergeListed(e kv.Entry, listRevision int64) record {
	if known, ok := m.records[e.Key]; ok && known.lastWrite > listRevision && known.lastWrite >= e.ModRevision {
		return known
	}
	return m.mergeEntry(e)
}

// mergeEntry returns the record that results from a write. A store that was restored
// from an older copy may have an older version of a record, which doesn't replace the
// known one until it is written again.
func (m *Mirror) mergeEntry(e kv.Entry) record {
	known, ok := m.records[e.Key]
	switch {
	case ok && m.comparer.Same(known.entry, e) && !known.kept:
		known.entry.Value, known.lastWrite = e.Value, max(known.lastWrite, e.ModRevision)
		return known
	case ok && kv.EraOf(e.ModRevision) > kv.EraOf(known.lastWrite) && m.comparer.Older(e, known.entry):
		known.entry.ModRevision, known.lastWrite, known.kept = e.ModRevision, e.ModRevision, true
		return known
	case ok && known.kept && known.lastWrite == e.ModRevision:
		return known
	default:
		return record{entry: e, lastWrite: e.ModRevision}
	}
}

// AdoptLater replaces records by later versions from the copy of another router that
// lacks no change, and returns their keys. The other router has kept them over a restore
// of the store, or this copy lacks that they were written again.
func (m *Mirror) AdoptLater(entries []kv.Entry) []string {
	var adopted []string
	for _, e := range entries {
		known, ok := m.records[e.Key]
		if !ok || known.lastWrite > e.ModRevision || !m.comparer.Older(known.entry, e) {
			continue
		}
		known.entry.Value, known.entry.ModRevision = e.Value, m.revision
		known.lastWrite, known.kept = e.ModRevision, true
		m.records[e.Key] = known
		m.recordChange(e.Key, m.revision)
		adopted = append(adopted, e.Key)
	}
	return adopted
}

// recordReplacement records the changes made by replacing all records. The
// revisions of the single changes are unknown; the new revision is the latest that
// they can have.
func (m *Mirror) recordReplacement(next map[string]record, changed, revision int64) {
	if m.revision == 0 {
		m.historyFloor, m.changed = changed, changed
		return
	}
	m.recordGap(revision)
	for key, r := range next {
		if known, ok := m.records[key]; !ok || known.entry.ModRevision != r.entry.ModRevision {
			m.recordChange(key, revision)
		}
	}
	for key := range m.records {
		if _, ok := next[key]; !ok {
			m.recordChange(key, revision)
		}
	}
}

// recordGap records that changes between the current revision and the given one
// are not all known.
func (m *Mirror) recordGap(revision int64) {
	from := m.revision
	if len(m.ahead) > 0 {
		// Copies at the revision itself may have records that this one lacks.
		from--
	}
	if revision <= from+1 {
		return
	}
	m.changed = max(m.changed, revision)
	m.gaps = append(m.gaps, gap{from: from, to: revision})
	if len(m.gaps) > maxChanges {
		m.trimHistory(m.gaps[0].to)
	}
}

// recordChange adds a change to the history, which keeps the latest maxChanges.
func (m *Mirror) recordChange(key string, revision int64) {
	m.changed = max(m.changed, revision)
	m.changes = append(m.changes, change{key: key, revision: revision})
	if len(m.changes) > maxChanges {
		m.trimHistory(m.changes[0].revision)
	}
}

// trimHistory drops changes and gaps up to a revision.
func (m *Mirror) trimHistory(floor int64) {
	m.historyFloor = max(m.historyFloor, floor)
	m.changes = slices.DeleteFunc(m.changes, func(c change) bool { return c.revision <= m.historyFloor })
	m.gaps = slices.DeleteFunc(m.gaps, func(g gap) bool { return g.to <= m.historyFloor })
}

// Apply applies changes up to a revision, and reports whether any changed a
// record.
func (m *Mirror) Apply(events []kv.Event, revision int64) bool {
	changed := false
	for _, event := range events {
		changed = m.applyOne(event, revision) || changed
	}
	return m.reach(revision) || changed
}

func (m *Mirror) applyOne(event kv.Event, revision int64) bool {
	known, ok := m.records[event.Entry.Key]
	if ok && known.lastWrite >= event.Entry.ModRevision {
		return false
	}
	if !ok && event.Entry.ModRevision <= m.revision {
		return false
	}
	if !event.Deleted {
		next := m.mergeEntry(event.Entry)
		m.records[event.Entry.Key] = next
		if ok && next.entry.ModRevision == known.entry.ModRevision {
			return false
		}
	} else {
		delete(m.records, event.Entry.Key)
	}
	m.recordChange(event.Entry.Key, max(event.Entry.ModRevision, m.revision, revision))
	return true
}
