package mirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// fakeStore is a store with its complete history. The first byte of a value is its
// meaning.
type fakeStore struct {
	entries  map[string]kv.Entry
	history  []kv.Event
	revision int64
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]kv.Entry{}, revision: 1} }

// testRecords compares records by sameMeaning. Upper case values are versions.
type testRecords struct{}

func (testRecords) Same(a, b kv.Entry) bool { return sameMeaning(a, b) }

func (testRecords) Older(a, b kv.Entry) bool {
	return a.Value[0] >= 'A' && b.Value[0] <= 'Z' && a.Value[0] < b.Value[0]
}

func sameMeaning(a, b kv.Entry) bool { return a.Value[0] == b.Value[0] }

func (s *fakeStore) write(key string, meaning byte) {
	s.revision++
	e := kv.Entry{Key: key, Value: fmt.Appendf([]byte{meaning}, "%d", s.revision), ModRevision: s.revision}
	s.entries[key] = e
	s.history = append(s.history, kv.Event{Entry: e})
}

func (s *fakeStore) remove(key string) {
	if _, exists := s.entries[key]; !exists {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, kv.Event{Entry: kv.Entry{Key: key, ModRevision: s.revision}, Deleted: true})
}

// rewrite writes a record without changing its meaning, like a heartbeat.
func (s *fakeStore) rewrite(key string) {
	if e, exists := s.entries[key]; exists {
		s.write(key, e.Value[0])
	}
}

func (s *fakeStore) list() []kv.Entry { return slices.Collect(maps.Values(s.entries)) }

func (s *fakeStore) since(revision int64) []kv.Event {
	var out []kv.Event
	for _, e := range s.history {
		if e.Entry.ModRevision > revision {
			out = append(out, e)
		}
	}
	return out
}

// matches reports whether the records of a mirror have the meaning that the store's
// had at its revision.
func (s *fakeStore) matches(m *Mirror) bool {
	want := map[string]byte{}
	for _, e := range s.history {
		if e.Entry.ModRevision > m.Revision() {
			break
		}
		if e.Deleted {
			delete(want, e.Entry.Key)
			continue
		}
		want[e.Entry.Key] = e.Entry.Value[0]
	}
	got := map[string]byte{}
	for _, e := range m.Entries() {
		got[e.Key] = e.Value[0]
	}
	return maps.Equal(want, got)
}

// Three mirrors receive lists, watch events, each other's deltas and each other's
// announced revisions in any order, some delayed. Each copy is equivalent to the
// store's records at the copy's revision, and none goes back to an older revision.
func TestMirrorsMatchStoreAndNeverGoBack(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("copies equal the store at their revision", prop.ForAll(
		func(codes []uint16) bool { return runOperations(codes) == "" }, gen.SliceOfN(100, gen.UInt16()),
	))
	properties.TestingRun(t)
}

// announcement holds the revisions that a router announces of its copy.
type announcement struct{ changed, revision int64 }

// runOperations runs the operations that the codes select, and returns a
// description of the first violation, empty if there is none.
func runOperations(codes []uint16) string {
	store := newFakeStore()
	mirrors := []*Mirror{New(testRecords{}), New(testRecords{}), New(testRecords{})}
	var delayed []Delta
	var announcements []announcement
	for _, code := range codes {
		detail := int(code >> 6)
		m := mirrors[int(code>>4)%3]
		before := m.Revision()
		key := string(rune('a' + detail%4))
		switch code % 12 {
		case 0, 1:
			store.write(key, byte('0'+detail/4%3))
		case 2:
			store.remove(key)
		case 3, 4:
			store.rewrite(key)
		case 5:
			m.Replace(store.list(), store.revision)
		case 6, 7:
			if before > 0 {
				m.Apply(store.since(before), store.revision)
			}
		case 8:
			if d, ok := mirrors[detail%3].Since(before); ok {
				delayed = append(delayed, d)
				m.Merge(d)
			}
		case 9:
			if len(delayed) > 0 {
				m.Merge(delayed[detail%len(delayed)])
			}
		case 10:
			if d, ok := m.Since(int64(detail) % (store.revision + 1)); ok {
				delayed = append(delayed, d)
			}
			announcements = append(announcements, announcement{m.ChangedRevision(), m.Revision()})
		case 11:
			if len(announcements) > 0 {
				a := announcements[detail%len(announcements)]
				m.Advance(a.changed, a.revision)
			}
		}
		if m.Revision() < before {
			return "a copy went back"
		}
		if m.Revision() > 0 && !store.matches(m) {
			return "a copy differs from the store"
		}
	}
	return ""
}

// Heartbeats, writes that don't change a record's meaning, are neither kept in the
// history nor sent to other routers, but advance the revision.
func TestEquivalentWritesAreNotChanges(t *testing.T) {
	store := newFakeStore()
	m, other := New(testRecords{}), New(testRecords{})
	store.write("a", 'x')
	m.Replace(store.list(), store.revision)
	d, _ := m.Since(0)
	other.Merge(d)
	changed := m.ChangedRevision()
	for range 10 {
		before := store.revision
		store.rewrite("a")
		if m.Apply(store.since(before), store.revision) {
			t.Error("an equivalent write counts as a change")
		}
	}
	if _, ok := m.Since(changed); ok || m.ChangedRevision() != changed {
		t.Error("equivalent writes are sent to other routers")
	}
	if !other.Advance(m.ChangedRevision(), m.Revision()) || other.Revision() != store.revision {
		t.Errorf("the other copy is at %d of %d", other.Revision(), store.revision)
	}
	before := store.revision
	store.write("a", 'y')
	m.Apply(store.since(before), store.revision)
	store.rewrite("a")
	if other.Advance(m.ChangedRevision(), m.Revision()) {
		t.Error("a copy is advanced past a change that it lacks")
	}
	// The delta applies to the other copy although equivalent writes lie in between.
	if d, ok := m.Since(changed); !ok || !other.Merge(d) || string(other.Entries()[0].Value[:1]) != "y" {
		t.Errorf("not merged: %+v", d)
	}
}

func TestTrimmedHistoryGivesFullDelta(t *testing.T) {
	store := newFakeStore()
	m := New(testRecords{})
	store.write("a", 'x')
	m.Replace(store.list(), store.revision)
	first := m.Revision()
	for i := range maxChanges + 10 {
		before := store.revision
		store.write("b", byte('a'+i%20))
		m.Apply(store.since(before), store.revision)
	}
	d, ok := m.Since(first)
	if !ok || !d.Full || len(d.Entries) != 2 {
		t.Errorf("full = %v with %d entries", d.Full, len(d.Entries))
	}
	d, ok = m.Since(store.revision - 1)
	if !ok || d.Full || len(d.Entries) != 1 {
		t.Errorf("full = %v with %d entries", d.Full, len(d.Entries))
	}
}

func TestFreshness(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var f Freshness
	f.RecordConfirmation(start)
	if f.Due(at(followerConfirmAfter-1), true, 0, 0) {
		t.Error("due although the copy was confirmed recently")
	}
	if f.Due(at(followerConfirmAfter), false, 0, 0) {
		t.Error("a router that doesn't follow the store is due as early as one that does")
	}
	if !f.Due(at(followerConfirmAfter), true, 0, 0) {
		t.Error("not due although the confirmation is old")
	}
	if f.Due(at(followerConfirmAfter+time.Millisecond), true, 0, 0) {
		t.Error("due again right after the store was asked")
	}
	f.RecordConfirmation(at(2 * time.Second))
	f.RecordConfirmation(at(time.Second))
	if got := f.Age(at(2 * time.Second)); got != 0 {
		t.Errorf("an older confirmation replaces a newer one: age %v", got)
	}
	f.MarkWatchUnreliable(at(2 * time.Second))
	if !f.Due(at(2*time.Second+unreliableConfirmAfter), true, 0, 0) {
		t.Error("not due early although the watch is unreliable")
	}
}

// A record changes and changes back between two lists of a router, which therefore
// sends no change of it. Another router that has seen the value in between must not
// keep it when it gets a complete copy from a third.
func TestRecordThatChangedBackReplacesValueInBetween(t *testing.T) {
	store := newFakeStore()
	store.write("k", 'a')
	store.write("other", 'a')
	first, second, third := New(testRecords{}), New(testRecords{}), New(testRecords{})
	first.Replace(store.list(), store.revision)
	second.Replace(store.list(), store.revision)
	store.write("k", 'b')
	third.Replace(store.list(), store.revision)
	store.write("k", 'a')
	store.write("other", 'b')
	first.Replace(store.list(), store.revision)
	for _, step := range []struct{ from, to *Mirror }{{first, second}, {second, third}} {
		d, ok := step.from.Since(step.to.Revision())
		if !ok || !step.to.Merge(d) {
			t.Fatalf("no update from revision %d", step.to.Revision())
		}
	}
	if !store.matches(third) {
		t.Errorf("the third copy has %+v at revision %d", third.Entries(), third.Revision())
	}
}
