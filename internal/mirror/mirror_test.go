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

// truth is a store with its whole history. The first byte of a value is what it
// means.
type truth struct {
	entries  map[string]kv.Entry
	history  []kv.Event
	revision int64
}

func newTruth() *truth { return &truth{entries: map[string]kv.Entry{}, revision: 1} }

func same(a, b kv.Entry) bool { return a.Value[0] == b.Value[0] }

func (s *truth) write(key string, meaning byte) {
	s.revision++
	e := kv.Entry{Key: key, Value: fmt.Appendf([]byte{meaning}, "%d", s.revision), ModRevision: s.revision}
	s.entries[key] = e
	s.history = append(s.history, kv.Event{Entry: e})
}

func (s *truth) remove(key string) {
	if _, exists := s.entries[key]; !exists {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, kv.Event{Entry: kv.Entry{Key: key, ModRevision: s.revision}, Deleted: true})
}

// beat writes a record that means the same as before.
func (s *truth) beat(key string) {
	if e, exists := s.entries[key]; exists {
		s.write(key, e.Value[0])
	}
}

func (s *truth) list() []kv.Entry { return slices.Collect(maps.Values(s.entries)) }

func (s *truth) since(revision int64) []kv.Event {
	var out []kv.Event
	for _, e := range s.history {
		if e.Entry.ModRevision > revision {
			out = append(out, e)
		}
	}
	return out
}

// sameAs reports whether a mirror has what the store's records meant at its
// revision.
func (s *truth) sameAs(m *Mirror) bool {
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

// Three routers get lists, watches, each other's deltas and each other's words on
// their revisions in any order, some late: each copy means what the store's
// records meant at its revision, and none goes back.
func TestMirrorsNeverGoBackAndMissNothing(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("copies equal the store at their revision", prop.ForAll(
		func(codes []uint16) bool { return play(codes) == "" }, gen.SliceOfN(100, gen.UInt16()),
	))
	properties.TestingRun(t)
}

// word is what a router says of its copy.
type word struct{ changed, revision int64 }

// play returns what went wrong, empty for nothing.
func play(codes []uint16) string {
	store := newTruth()
	mirrors := []*Mirror{New(same), New(same), New(same)}
	var late []Delta
	var words []word
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
			store.beat(key)
		case 5:
			m.Replace(store.list(), store.revision)
		case 6, 7:
			if before > 0 {
				m.Apply(store.since(before), store.revision)
			}
		case 8:
			if d, ok := mirrors[detail%3].Since(before); ok {
				late = append(late, d)
				m.Merge(d)
			}
		case 9:
			if len(late) > 0 {
				m.Merge(late[detail%len(late)])
			}
		case 10:
			if d, ok := m.Since(int64(detail) % (store.revision + 1)); ok {
				late = append(late, d)
			}
			words = append(words, word{m.ChangedRevision(), m.Revision()})
		case 11:
			if len(words) > 0 {
				w := words[detail%len(words)]
				m.Advance(w.changed, w.revision)
			}
		}
		if m.Revision() < before {
			return "a copy went back"
		}
		if m.Revision() > 0 && !store.sameAs(m) {
			return "a copy differs from the store"
		}
	}
	return ""
}

// What instances write to show that they live is neither kept nor passed on, and
// the revision advances with it.
func TestRecordsThatMeanTheSameAreNoChange(t *testing.T) {
	store := newTruth()
	m, other := New(same), New(same)
	store.write("a", 'x')
	m.Replace(store.list(), store.revision)
	d, _ := m.Since(0)
	other.Merge(d)
	changed := m.ChangedRevision()
	for range 10 {
		before := store.revision
		store.beat("a")
		if m.Apply(store.since(before), store.revision) {
			t.Error("a record that means the same is a change")
		}
	}
	if _, ok := m.Since(changed); ok || m.ChangedRevision() != changed {
		t.Error("records that mean the same are passed on")
	}
	if !other.Advance(m.ChangedRevision(), m.Revision()) || other.Revision() != store.revision {
		t.Errorf("the other copy is at %d of %d", other.Revision(), store.revision)
	}
	before := store.revision
	store.write("a", 'y')
	m.Apply(store.since(before), store.revision)
	store.beat("a")
	if other.Advance(m.ChangedRevision(), m.Revision()) {
		t.Error("a copy that lacks a change is advanced over it")
	}
	// The change suits the other copy, whatever was written in between.
	if d, ok := m.Since(changed); !ok || !other.Merge(d) || string(other.Entries()[0].Value[:1]) != "y" {
		t.Errorf("not merged: %+v", d)
	}
}

func TestOldHistoryGivesAWholeCopy(t *testing.T) {
	store := newTruth()
	m := New(same)
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
	if f.Due(at(confirmAfter-1), true, 0, 0) {
		t.Error("asked although the copy was confirmed lately")
	}
	if f.Due(at(confirmAfter), false, 0, 0) {
		t.Error("a router that doesn't follow the store asks as early as one that does")
	}
	if !f.Due(at(confirmAfter), true, 0, 0) {
		t.Error("not asked although the confirmation is old")
	}
	if f.Due(at(confirmAfter+time.Millisecond), true, 0, 0) {
		t.Error("asked twice")
	}
	f.RecordConfirmation(at(2 * time.Second))
	f.RecordConfirmation(at(time.Second))
	if got := f.Age(at(2 * time.Second)); got != 0 {
		t.Errorf("an older confirmation counts: age %v", got)
	}
	f.MarkWatchUnreliable(at(2 * time.Second))
	if !f.Due(at(2*time.Second+distrustedAfter), true, 0, 0) {
		t.Error("a watch that kept changes back is trusted")
	}
}
