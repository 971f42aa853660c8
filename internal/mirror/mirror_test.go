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

// truth is a store with its whole history.
type truth struct {
	entries  map[string]kv.Entry
	history  []kv.Event
	revision int64
}

func newTruth() *truth { return &truth{entries: map[string]kv.Entry{}, revision: 1} }

func (s *truth) write(key string, remove bool) {
	_, exists := s.entries[key]
	if remove && !exists {
		return
	}
	s.revision++
	e := kv.Entry{Key: key, Value: []byte(fmt.Sprint(s.revision)), ModRevision: s.revision}
	if remove {
		delete(s.entries, key)
	} else {
		s.entries[key] = e
	}
	s.history = append(s.history, kv.Event{Entry: e, Deleted: remove})
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

// sameAs reports whether a mirror has what the store had at its revision.
func (s *truth) sameAs(m *Mirror) bool {
	want := map[string]int64{}
	for _, e := range s.history {
		if e.Entry.ModRevision > m.Revision() {
			break
		}
		if e.Deleted {
			delete(want, e.Entry.Key)
			continue
		}
		want[e.Entry.Key] = e.Entry.ModRevision
	}
	got := map[string]int64{}
	for _, e := range m.Entries() {
		got[e.Key] = e.ModRevision
	}
	return maps.Equal(want, got)
}

// Three routers get lists, watches and each other's deltas in any order, some
// late: each copy is what the store had at its revision, and none goes back.
func TestMirrorsNeverGoBackAndMissNothing(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	properties.Property("copies equal the store at their revision", prop.ForAll(
		func(codes []uint16) bool { return play(codes) == "" }, gen.SliceOfN(80, gen.UInt16()),
	))
	properties.TestingRun(t)
}

// play returns what went wrong, empty for nothing.
func play(codes []uint16) string {
	store := newTruth()
	mirrors := []*Mirror{New(), New(), New()}
	var late []Delta
	for _, code := range codes {
		m := mirrors[code>>3%3]
		before := m.Revision()
		switch code % 8 {
		case 0, 1, 2:
			store.write(string(rune('a'+code>>5%5)), code>>8%3 == 0)
		case 3:
			m.Replace(store.list(), store.revision)
		case 4:
			if before > 0 {
				m.Apply(store.since(before), store.revision)
			}
		case 5:
			if d, ok := mirrors[code>>5%3].Since(before); ok {
				late = append(late, d)
				m.Merge(d)
			}
		case 6:
			if len(late) > 0 {
				m.Merge(late[int(code>>5)%len(late)])
			}
		case 7:
			if d, ok := m.Since(int64(code>>5) % (store.revision + 1)); ok {
				late = append(late, d)
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

func TestOldHistoryGivesAWholeCopy(t *testing.T) {
	store := newTruth()
	m := New()
	store.write("a", false)
	m.Replace(store.list(), store.revision)
	first := m.Revision()
	for range maxChanges + 10 {
		before := store.revision
		store.write("b", false)
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
	f.Confirmed(start)
	if f.Due(at(confirmAfter-1), true, 0) {
		t.Error("asked although the copy was confirmed lately")
	}
	if f.Due(at(confirmAfter), false, 0) {
		t.Error("a router that doesn't follow the store asks as early as one that does")
	}
	if !f.Due(at(confirmAfter), true, 0) {
		t.Error("not asked although the confirmation is old")
	}
	if f.Due(at(confirmAfter+time.Millisecond), true, 0) {
		t.Error("asked twice")
	}
	f.Confirmed(at(2 * time.Second))
	f.Confirmed(at(time.Second))
	if got := f.Age(at(2 * time.Second)); got != 0 {
		t.Errorf("an older confirmation counts: age %v", got)
	}
	f.KeptBack(at(2 * time.Second))
	if !f.Due(at(2*time.Second+distrustedAfter), true, 0) {
		t.Error("a watch that kept changes back is trusted")
	}
}
