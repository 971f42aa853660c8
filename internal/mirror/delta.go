package mirror

import (
	"slices"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// written is the record as other routers are told of it: a copy must not take an
// earlier write for a later one.
func (r record) written() kv.Entry {
	e := r.entry
	e.ModRevision = r.latest
	return e
}

// Delta brings a copy from one revision to another.
type Delta struct {
	// Full is set when Entries are all records.
	Full         bool
	Entries      []kv.Entry
	Removed      []string
	FromRevision int64
	Revision     int64
	// ChangedRevision is the latest revision at which a record may have changed.
	ChangedRevision int64
	// Complete is set when the delta also suits copies between From and Revision.
	Complete bool
}

// Since returns what a copy at a revision lacks; false when it lacks nothing.
func (m *Mirror) Since(have int64) (Delta, bool) {
	if have >= m.changed {
		return Delta{}, false
	}
	if have < m.floor || m.inGap(have) {
		return Delta{Full: true, Entries: m.written(), Revision: m.revision, ChangedRevision: m.changed}, true
	}
	d := Delta{FromRevision: have, Revision: m.revision, ChangedRevision: m.changed, Complete: m.completeAfter(have)}
	seen := make(map[string]bool)
	for _, c := range slices.Backward(m.changes) {
		if c.revision <= have || seen[c.key] {
			continue
		}
		seen[c.key] = true
		if r, ok := m.records[c.key]; ok {
			d.Entries = append(d.Entries, r.written())
			continue
		}
		d.Removed = append(d.Removed, c.key)
	}
	return d, true
}

// written returns all records as other routers are told of them.
func (m *Mirror) written() []kv.Entry {
	entries := make([]kv.Entry, 0, len(m.records))
	for _, r := range m.records {
		entries = append(entries, r.written())
	}
	return entries
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
		return m.replace(d.Entries, min(d.ChangedRevision, d.Revision), d.Revision)
	}
	if d.FromRevision > m.revision || d.FromRevision < m.revision && !d.Complete {
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
