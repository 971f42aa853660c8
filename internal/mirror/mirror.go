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
}

// New returns an empty Mirror.
func New() *Mirror { return &Mirror{entries: make(map[string]kv.Entry)} }

// Revision returns the revision that the copy is known to be complete up to;
// zero before there is any.
func (m *Mirror) Revision() int64 { return m.revision }

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
	m.entries, m.revision = next, revision
	return true
}

// Apply takes changes up to a revision, and reports whether any was news.
func (m *Mirror) Apply(events []kv.Event, revision int64) bool {
	changed := false
	for _, event := range events {
		known, ok := m.entries[event.Entry.Key]
		if ok && known.ModRevision >= event.Entry.ModRevision {
			continue
		}
		if !ok && event.Entry.ModRevision <= m.revision {
			continue
		}
		changed = true
		if event.Deleted {
			delete(m.entries, event.Entry.Key)
			continue
		}
		m.entries[event.Entry.Key] = event.Entry
	}
	m.revision = max(m.revision, revision)
	return changed
}

// Entries returns all records in key order.
func (m *Mirror) Entries() []kv.Entry {
	return slices.SortedFunc(maps.Values(m.entries), func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
}
