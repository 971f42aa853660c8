package mirror

import (
	"slices"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// peerEntry returns the record as sent to other routers. It carries the revision
// of the last write, so that a copy doesn't take an earlier write for a later one.
func (r record) peerEntry() kv.Entry {
	e := r.entry
	e.ModRevision = r.lastWrite
	return e
}

// Delta holds the changes that update a copy from one revision to another.
type Delta struct {
	// Full is set if Entries holds all records.
	Full    bool
	Entries []kv.Entry
	Removed []string
	// Kept are the keys of entries whose value is a later version than the last write has.
	Kept         []string
	FromRevision int64
	Revision     int64
	// ChangedRevision is the latest revision at which a record may have changed.
	ChangedRevision int64
	// Complete is set if the delta can also be applied to copies at revisions
	// between FromRevision and Revision.
	Complete bool
}

// Since returns the changes that a copy at the given revision lacks. It returns
// false if it lacks none.
func (m *Mirror) Since(have int64) (Delta, bool) {
	if have >= m.changed {
		return Delta{}, false
	}
	if have < m.historyFloor || m.inGap(have) {
		d := Delta{Full: true, Revision: m.revision, ChangedRevision: m.changed}
		for _, r := range m.records {
			d.add(r)
		}
		return d, true
	}
	d := Delta{FromRevision: have, Revision: m.revision, ChangedRevision: m.changed, Complete: m.completeAfter(have)}
	seen := make(map[string]bool)
	for _, c := range slices.Backward(m.changes) {
		if c.revision <= have || seen[c.key] {
			continue
		}
		seen[c.key] = true
		if r, ok := m.records[c.key]; ok {
			d.add(r)
			continue
		}
		d.Removed = append(d.Removed, c.key)
	}
	return d, true
}

// add adds a record.
func (d *Delta) add(r record) {
	d.Entries = append(d.Entries, r.peerEntry())
	if r.kept {
		d.Kept = append(d.Kept, r.entry.Key)
	}
}

func (m *Mirror) inGap(revision int64) bool {
	return slices.ContainsFunc(m.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}

// completeAfter reports whether all changes after a revision are known one by one.
func (m *Mirror) completeAfter(revision int64) bool {
	return !slices.ContainsFunc(m.gaps, func(g gap) bool { return g.to > revision })
}

// Merge applies another router's delta. It returns false without a change if the
// copy is newer, or if the delta can't be applied to the copy's revision.
func (m *Mirror) Merge(d Delta) bool {
	if d.Revision <= m.revision {
		return false
	}
	defer m.keep(d)
	if d.Full {
		return m.replace(d.Entries, min(d.ChangedRevision, d.Revision), d.Revision)
	}
	if m.DeltaBase() == 0 || d.FromRevision > m.revision || d.FromRevision < m.revision && !d.Complete {
		return false
	}
	events := make([]kv.Event, 0, len(d.Entries)+len(d.Removed))
	for _, e := range d.Entries {
		events = append(events, kv.Event{Entry: e})
	}
	for _, key := range d.Removed {
		events = append(events, kv.Event{Entry: kv.Entry{Key: key, ModRevision: d.Revision}, Deleted: true})
	}
	m.recordGap(d.Revision)
	m.Apply(events, d.Revision)
	return true
}

// keep marks the records that have come from a delta as kept if they were there: their last
// write has an earlier version, which a list of the store brings again.
func (m *Mirror) keep(d Delta) {
	for _, e := range d.Entries {
		known, ok := m.records[e.Key]
		if ok && slices.Contains(d.Kept, e.Key) && known.lastWrite == e.ModRevision && m.comparer.Same(known.entry, e) {
			known.kept = true
			m.records[e.Key] = known
		}
	}
}
