// Package mirror keeps a router's copy of the platform's records. The copy
// comes from the platform's store, or from another router that has a newer
// one; it never goes back to an older revision. A Mirror is pure; Follower
// feeds it from a store.
//
// Instances write their records again and again to show that they live. A
// record that means the same as before is no change: it advances the revision
// of the copy, and is neither kept nor passed on. So what routers tell each
// other doesn't grow with the number of instances.
package mirror

import (
	"slices"
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Mirror is a copy of the records at one revision. It isn't safe for
// concurrent use.
type Mirror struct {
	same     func(a, b kv.Entry) bool
	records  map[string]record
	revision int64
	// changed is the latest revision at which a record may have changed.
	changed int64
	// changes are the latest ones in order; they are complete after floor.
	changes []change
	floor   int64
	// gaps are spans of which only the outcome is known: what was written and
	// removed within is not, so a copy from within a span can't be brought on.
	gaps []gap
}

// record is one record: its last value, with the revision at which it last
// changed.
type record struct {
	entry kv.Entry
	// latest is the revision of its last write.
	latest int64
}

// gap excludes both revisions.
type gap struct{ from, to int64 }

// change is a record that changed or was removed at a revision.
type change struct {
	key      string
	revision int64
}

// maxChanges bounds the changes that are kept for other routers.
const maxChanges = 2048

// New returns an empty Mirror. Same reports whether two values of a record mean
// the same; the later one is no change then.
func New(same func(a, b kv.Entry) bool) *Mirror {
	return &Mirror{same: same, records: make(map[string]record)}
}

// Revision returns the revision that the copy is known to be complete up to;
// zero before there is any.
func (m *Mirror) Revision() int64 { return m.revision }

// ChangedRevision returns the latest revision at which a record may have changed. A copy
// that is complete up to it lacks nothing that this one has.
func (m *Mirror) ChangedRevision() int64 { return m.changed }

// Entries returns all records in key order, with the revisions at which they last
// changed.
func (m *Mirror) Entries() []kv.Entry {
	entries := make([]kv.Entry, 0, len(m.records))
	for _, r := range m.records {
		entries = append(entries, r.entry)
	}
	slices.SortFunc(entries, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// Advance takes another router's word that its copy is complete up to a revision
// and has not changed since an earlier one. It reports whether that is news: it
// says nothing when this copy lacks the change.
func (m *Mirror) Advance(changed, revision int64) bool {
	if m.revision == 0 || changed > m.revision || revision <= m.revision {
		return false
	}
	m.revision = revision
	return true
}

// Replace takes a whole copy of at least the mirror's revision, and reports
// whether it did. When its records changed last is not known.
func (m *Mirror) Replace(entries []kv.Entry, revision int64) bool {
	return m.replace(entries, revision, revision)
}

func (m *Mirror) replace(entries []kv.Entry, changed, revision int64) bool {
	if revision < m.revision || revision == 0 {
		return false
	}
	next := make(map[string]record, len(entries))
	for _, e := range entries {
		next[e.Key] = m.merged(e)
	}
	m.noteReplaced(next, changed, revision)
	m.records, m.revision = next, revision
	return true
}

// merged returns what a write makes of a record.
func (m *Mirror) merged(e kv.Entry) record {
	known, ok := m.records[e.Key]
	switch {
	case ok && known.latest >= e.ModRevision:
		// A list is no snapshot: what a later event told stays.
		return known
	case ok && m.same(known.entry, e):
		known.entry.Value, known.latest = e.Value, e.ModRevision
		return known
	default:
		return record{entry: e, latest: e.ModRevision}
	}
}

// noteReplaced notes what a whole copy changes. When a removed record went is
// not known; the new revision is the latest that it can be.
func (m *Mirror) noteReplaced(next map[string]record, changed, revision int64) {
	if m.revision == 0 {
		m.floor, m.changed = changed, changed
		return
	}
	m.jump(revision)
	for key, r := range next {
		if known, ok := m.records[key]; !ok || known.entry.ModRevision < r.entry.ModRevision {
			m.note(key, revision)
		}
	}
	for key := range m.records {
		if _, ok := next[key]; !ok {
			m.note(key, revision)
		}
	}
}

// jump notes that not all changes up to a revision are known.
func (m *Mirror) jump(revision int64) {
	if revision <= m.revision+1 {
		return
	}
	m.changed = max(m.changed, revision)
	m.gaps = append(m.gaps, gap{from: m.revision, to: revision})
	if len(m.gaps) > maxChanges {
		m.forget(m.gaps[0].to)
	}
}

// note keeps a change; the oldest are dropped beyond the bound.
func (m *Mirror) note(key string, revision int64) {
	m.changed = max(m.changed, revision)
	m.changes = append(m.changes, change{key: key, revision: revision})
	if len(m.changes) > maxChanges {
		m.forget(m.changes[0].revision)
	}
}

// forget drops what is known of changes up to a revision.
func (m *Mirror) forget(floor int64) {
	m.floor = max(m.floor, floor)
	m.changes = slices.DeleteFunc(m.changes, func(c change) bool { return c.revision <= m.floor })
	m.gaps = slices.DeleteFunc(m.gaps, func(g gap) bool { return g.to <= m.floor })
}

// Apply takes changes up to a revision, and reports whether any was news.
func (m *Mirror) Apply(events []kv.Event, revision int64) bool {
	changed := false
	for _, event := range events {
		changed = m.applyOne(event, revision) || changed
	}
	m.revision = max(m.revision, revision)
	return changed
}

func (m *Mirror) applyOne(event kv.Event, revision int64) bool {
	known, ok := m.records[event.Entry.Key]
	if ok && known.latest >= event.Entry.ModRevision {
		return false
	}
	if !ok && event.Entry.ModRevision <= m.revision {
		return false
	}
	if !event.Deleted {
		next := m.merged(event.Entry)
		m.records[event.Entry.Key] = next
		if ok && next.entry.ModRevision == known.entry.ModRevision {
			return false
		}
	} else {
		delete(m.records, event.Entry.Key)
	}
	m.note(event.Entry.Key, max(event.Entry.ModRevision, m.revision, revision))
	return true
}
