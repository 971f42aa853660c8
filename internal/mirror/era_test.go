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
	mirrors := []*Mirror{New(sameMeaning), New(sameMeaning), New(sameMeaning), New(sameMeaning)}
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
