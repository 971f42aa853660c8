// Package mirror keeps a router's copy of the platform's records. The copy
// comes from the platform's store, or from another router that has a newer
// one; it never goes back to an older revision. A Mirror is pure; Follower
// feeds it from a store.
package mirror

import (
	"maps"
	"slices"
	"strings"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Mirror is a copy of the records at one revision. It isn't safe for
// concurrent use.
type Mirror struct {
	entries  map[string]kv.Entry
	revision int64
	// changes are the latest ones in order; they are complete after floor.
	changes []change
	floor   int64
	// gaps are spans of which only the outcome is known: what was written and
	// removed within is not, so a copy from within a span can't be brought on.
	gaps []gap
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

// Delta brings a copy from one revision to another.
type Delta struct {
	// Full is set when Entries are all records.
	Full     bool
	Entries  []kv.Entry
	Removed  []string
	From     int64
	Revision int64
	// Complete is set when the delta also suits copies between From and Revision.
	Complete bool
}

// New returns an empty Mirror.
func New() *Mirror { return &Mirror{entries: make(map[string]kv.Entry)} }

// Revision returns the revision that the copy is known to be complete up to;
// zero before there is any.
func (m *Mirror) Revision() int64 { return m.revision }

// Entries returns all records in key order.
func (m *Mirror) Entries() []kv.Entry {
	return slices.SortedFunc(maps.Values(m.entries), func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
}

// Replace takes a whole copy of at least the mirror's revision, and reports
// whether it did.
func (m *Mirror) Replace(entries []kv.Entry, revision int64) bool {
	if revision < m.revision || revision == 0 {
		return false
	}
	next := make(map[string]kv.Entry, len(entries))
	for _, e := range entries {
		// A list is no snapshot: what a later event told stays.
		if known, ok := m.entries[e.Key]; ok && known.ModRevision > e.ModRevision {
			e = known
		}
		next[e.Key] = e
	}
	m.noteReplaced(next, revision)
	m.entries, m.revision = next, revision
	return true
}

// noteReplaced notes what a whole copy changes. When a removed record went is
// not known; the new revision is the latest that it can be.
func (m *Mirror) noteReplaced(next map[string]kv.Entry, revision int64) {
	if m.revision == 0 {
		m.floor = revision
		return
	}
	m.jump(revision)
	for key, e := range next {
		if known, ok := m.entries[key]; !ok || known.ModRevision < e.ModRevision {
			m.note(key, revision)
		}
	}
	for key := range m.entries {
		if _, ok := next[key]; !ok {
			m.note(key, revision)
		}
	}
}

// jump notes that not all changes up to a revision are known.
func (m *Mirror) jump(revision int64) {
	if revision > m.revision+1 {
		m.gaps = append(m.gaps, gap{from: m.revision, to: revision})
	}
}

// note keeps a change; the oldest are dropped beyond the bound.
func (m *Mirror) note(key string, revision int64) {
	m.changes = append(m.changes, change{key: key, revision: revision})
	if len(m.changes) <= maxChanges {
		return
	}
	m.floor = max(m.floor, m.changes[0].revision)
	m.changes = slices.Delete(m.changes, 0, 1)
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
	known, ok := m.entries[event.Entry.Key]
	if ok && known.ModRevision >= event.Entry.ModRevision {
		return false
	}
	if !ok && event.Entry.ModRevision <= m.revision {
		return false
	}
	m.note(event.Entry.Key, max(event.Entry.ModRevision, m.revision, revision))
	if event.Deleted {
		delete(m.entries, event.Entry.Key)
		return true
	}
	m.entries[event.Entry.Key] = event.Entry
	return true
}

// Since returns what a copy at a revision lacks; false when it lacks nothing.
func (m *Mirror) Since(have int64) (Delta, bool) {
	if have >= m.revision {
		return Delta{}, false
	}
	if have < m.floor || m.inGap(have) {
		return Delta{Full: true, Entries: m.Entries(), Revision: m.revision}, true
	}
	d := Delta{From: have, Revision: m.revision, Complete: m.completeAfter(have)}
	seen := make(map[string]bool)
	for _, c := range slices.Backward(m.changes) {
		if c.revision <= have || seen[c.key] {
			continue
		}
		seen[c.key] = true
		if e, ok := m.entries[c.key]; ok {
			d.Entries = append(d.Entries, e)
			continue
		}
		d.Removed = append(d.Removed, c.key)
	}
	return d, true
}

func (m *Mirror) inGap(revision int64) bool {
	return slices.ContainsFunc(m.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}

// completeAfter reports whether all changes after a revision are known.
func (m *Mirror) completeAfter(revision int64) bool {
	return !slices.ContainsFunc(m.gaps, func(g gap) bool { return g.to > revision })
}

// Merge takes another router's delta, and reports whether it did: false when
// the copy is newer, or the delta doesn't suit its revision.
func (m *Mirror) Merge(d Delta) bool {
	if d.Revision <= m.revision {
		return false
	}
	if d.Full {
		return m.Replace(d.Entries, d.Revision)
	}
	if d.From > m.revision || d.From < m.revision && !d.Complete {
		return false
	}
	events := make([]kv.Event, 0, len(d.Entries)+len(d.Removed))
	for _, e := range d.Entries {
		events = append(events, kv.Event{Entry: e})
	}
	for _, key := range d.Removed {
		events = append(events, kv.Event{Entry: kv.Entry{Key: key, ModRevision: d.Revision}, Deleted: true})
	}
	m.jump(d.Revision)
	m.Apply(events, d.Revision)
	return true
}
