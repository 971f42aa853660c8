package mirror

import (
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// restorableStore is a store that can return to an older copy of itself. Its
// revisions are raw; entries and lists are returned with the era.
type restorableStore struct {
	*fakeStore
	era    int64
	copies []savedStore
}

type savedStore struct {
	entries  map[string]kv.Entry
	revision int64
}

func (s *restorableStore) save() {
	s.copies = append(s.copies, savedStore{entries: maps.Clone(s.entries), revision: s.revision})
}

// restore returns to a random saved copy, which starts a new era. Events of earlier
// eras are gone.
func (s *restorableStore) restore(random *rand.Rand) {
	if len(s.copies) == 0 {
		return
	}
	c := s.copies[random.IntN(len(s.copies))]
	s.entries, s.revision, s.history = maps.Clone(c.entries), c.revision, nil
	s.era++
	s.copies = nil
}

func (s *restorableStore) inEra(e kv.Entry) kv.Entry {
	e.ModRevision = kv.JoinRevision(s.era, e.ModRevision)
	return e
}

func (s *restorableStore) current() int64 { return kv.JoinRevision(s.era, s.revision) }

// follow updates a mirror as a follower does: from events if the mirror is in the
// store's era and not before the restored copy, else from a list.
func (s *restorableStore) follow(m *Mirror) {
	if kv.EraOf(m.Revision()) == s.era && m.Revision() > 0 && len(s.history) > 0 &&
		kv.RawRevision(m.Revision())+1 >= s.history[0].Entry.ModRevision {
		var events []kv.Event
		for _, e := range s.since(kv.RawRevision(m.Revision())) {
			e.Entry = s.inEra(e.Entry)
			events = append(events, e)
		}
		m.Apply(events, s.current())
		return
	}
	var entries []kv.Entry
	for _, e := range s.list() {
		entries = append(entries, s.inEra(e))
	}
	m.Replace(entries, s.current())
}

// meanings returns the meaning of each record of the store.
func (s *restorableStore) meanings() map[string]byte {
	out := map[string]byte{}
	for key, e := range s.entries {
		out[key] = e.Value[0]
	}
	return out
}

func meaningsOf(m *Mirror) map[string]byte {
	out := map[string]byte{}
	for _, e := range m.Entries() {
		out[e.Key] = e.Value[0]
	}
	return out
}

// Stores are restored at random moments, and routers exchange copies in any order,
// with deltas that are delayed over restores. No copy ever returns to an earlier era
// or revision, and all agree with the store once each has heard of its last state.
func TestMirrorsAgreeAfterRestores(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("agree", prop.ForAll(mirrorsAgree, gen.UInt64()))
	properties.TestingRun(t)
}

func mirrorsAgree(seed uint64) bool {
	random := rand.New(rand.NewPCG(seed, 3))
	store := &restorableStore{fakeStore: newFakeStore(), era: 1}
	mirrors := []*Mirror{New(testRecords{}), New(testRecords{}), New(testRecords{}), New(testRecords{})}
	var delayed []Delta
	for range 120 {
		m, other := mirrors[random.IntN(len(mirrors))], mirrors[random.IntN(len(mirrors))]
		before := m.Revision()
		key := string(rune('a' + random.IntN(5)))
		switch random.IntN(12) {
		case 0, 1, 2:
			store.write(key, byte('0'+random.IntN(3)))
		case 3:
			store.remove(key)
		case 4:
			store.rewrite(key)
		case 5:
			store.save()
		case 6:
			store.restore(random)
		case 7:
			store.follow(m)
		case 8, 9:
			if d, ok := other.Since(m.Revision()); ok {
				m.Merge(d)
			}
		case 10:
			if d, ok := other.Since(m.Revision()); ok {
				delayed = append(delayed, d)
			}
		default:
			if len(delayed) > 0 {
				m.Merge(delayed[random.IntN(len(delayed))])
			}
		}
		if m.Revision() < before {
			return false
		}
	}
	return agreeInTheEnd(store, mirrors)
}

// agreeInTheEnd updates one mirror from the store, the others from it, and compares
// all with the store.
func agreeInTheEnd(store *restorableStore, mirrors []*Mirror) bool {
	store.follow(mirrors[0])
	for _, m := range mirrors {
		if d, ok := mirrors[0].Since(m.Revision()); ok {
			m.Merge(d)
		}
		if !maps.Equal(meaningsOf(m), store.meanings()) {
			return false
		}
	}
	return true
}

// The store returns from a copy with an older version of a record. A mirror keeps the
// later one, and one that was empty takes it from there. What is written in the new era
// replaces both, also an older version.
func TestLaterVersionIsKeptOverRestore(t *testing.T) {
	entry := func(version byte, era, revision int64) kv.Entry {
		return kv.Entry{Key: "k", Value: []byte{version}, ModRevision: kv.JoinRevision(era, revision)}
	}
	kept, started := New(testRecords{}), New(testRecords{})
	kept.Replace([]kv.Entry{entry('C', 1, 9)}, kv.JoinRevision(1, 10))
	restored := []kv.Entry{entry('B', 2, 4)}
	kept.Replace(restored, kv.JoinRevision(2, 5))
	started.Replace(restored, kv.JoinRevision(2, 5))
	if got := meaningsOf(kept)["k"]; got != 'C' {
		t.Errorf("version %c after the restore, want C", got)
	}
	full, ok := kept.Since(0)
	if !ok || started.Merge(full) {
		t.Errorf("a copy of the same revision: %v", ok)
	}
	if adopted := started.AdoptLater(full.Entries); len(adopted) != 1 || meaningsOf(started)["k"] != 'C' {
		t.Errorf("adopted %v, version %c", adopted, meaningsOf(started)["k"])
	}
	if adopted := kept.AdoptLater(restored); len(adopted) != 0 {
		t.Errorf("an older version is adopted: %v", adopted)
	}
	revision := int64(5)
	for _, version := range []byte{'D', 'A'} {
		revision++
		written := entry(version, 2, revision)
		for _, m := range []*Mirror{kept, started} {
			m.Apply([]kv.Event{{Entry: written}}, written.ModRevision)
			if got := meaningsOf(m)["k"]; got != version {
				t.Errorf("version %c, want %c", got, version)
			}
		}
	}
}
