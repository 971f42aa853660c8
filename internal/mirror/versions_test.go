package mirror

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// The store returns from a copy that lacks two versions of a record, of which the routers
// have kept one or the other. When the later one is written again, it is no news to the
// routers that have kept it. Their copies must not tell the others, whose copies have the
// same revision, that these lack nothing.
func TestKeptVersionDoesNotHideThatItIsWrittenAgain(t *testing.T) {
	entry := func(version byte, era, revision int64) kv.Entry {
		return kv.Entry{Key: "k", Value: []byte{version}, ModRevision: kv.JoinRevision(era, revision)}
	}
	later, earlier, updated := New(testRecords{}), New(testRecords{}), New(testRecords{})
	later.Replace([]kv.Entry{entry('C', 1, 9)}, kv.JoinRevision(1, 10))
	for _, m := range []*Mirror{earlier, updated} {
		m.Replace([]kv.Entry{entry('B', 1, 8)}, kv.JoinRevision(1, 8))
	}
	restored := []kv.Entry{entry('A', 2, 4)}
	later.Replace(restored, kv.JoinRevision(2, 5))
	earlier.Replace(restored, kv.JoinRevision(2, 5))
	if d, ok := earlier.Since(updated.Revision()); !ok || !updated.Merge(d) {
		t.Fatal("no update over the restore")
	}
	later.Apply([]kv.Event{{Entry: entry('C', 2, 6)}}, kv.JoinRevision(2, 7))
	for _, m := range []*Mirror{earlier, updated} {
		m.Advance(later.ChangedRevision(), later.Revision())
		if d, ok := later.Since(m.DeltaBase()); ok {
			m.Merge(d)
		}
		if got := meaningsOf(m)["k"]; got != 'C' || m.Revision() != later.Revision() {
			t.Errorf("version %c at revision %d of %d, want C", got, kv.RawRevision(m.Revision()), kv.RawRevision(later.Revision()))
		}
	}
}

// A router learns of a restore from another one, which has kept the later version of a record.
// Then it lists the records itself: the store's earlier version must not replace the kept one.
func TestVersionKeptByAnotherRouterOutlastsAList(t *testing.T) {
	at := func(version byte, era, revision int64) kv.Entry {
		return kv.Entry{Key: "k", Value: []byte{version}, ModRevision: kv.JoinRevision(era, revision)}
	}
	for _, whole := range []bool{false, true} {
		lister, learner := New(testRecords{}), New(testRecords{})
		for _, m := range []*Mirror{lister, learner} {
			m.Replace([]kv.Entry{at('B', 1, 8)}, kv.JoinRevision(1, 8))
		}
		restored := []kv.Entry{at('A', 2, 4)}
		lister.Replace(restored, kv.JoinRevision(2, 7))
		have := learner.Revision()
		if whole {
			have = 0
		}
		if d, ok := lister.Since(have); !ok || d.Full != whole || !learner.Merge(d) {
			t.Fatalf("whole copy %t: no update over the restore", whole)
		}
		learner.Replace(restored, kv.JoinRevision(2, 9))
		if got := meaningsOf(learner)["k"]; got != 'B' {
			t.Errorf("whole copy %t: version %c after a list, want B", whole, got)
		}
		learner.Apply([]kv.Event{{Entry: at('C', 2, 10)}}, kv.JoinRevision(2, 10))
		if got := meaningsOf(learner)["k"]; got != 'C' {
			t.Errorf("whole copy %t: version %c after the next write, want C", whole, got)
		}
	}
}

// As above, with restores, writes, lists, deltas and announced revisions in any order. A
// router whose version is earlier than another one's asks that one for its records, as
// digests make it do.
func TestMirrorsAgreeOnVersionsAfterRestores(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(17)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("agree on the version", prop.ForAll(mirrorsAgreeOnVersions, gen.UInt64()))
	properties.TestingRun(t)
}

func mirrorsAgreeOnVersions(seed uint64) bool {
	random := rand.New(rand.NewPCG(seed, 5))
	store := &restorableStore{fakeStore: newFakeStore(), era: 1}
	mirrors := []*Mirror{New(testRecords{}), New(testRecords{}), New(testRecords{}), New(testRecords{})}
	version := byte('A')
	store.write("version", version)
	var announcements []announcement
	for range 60 {
		m, other := mirrors[random.IntN(len(mirrors))], mirrors[random.IntN(len(mirrors))]
		switch random.IntN(10) {
		case 0:
			version = min(version+1, 'Z')
			store.write("version", version)
		case 1:
			store.write("other", byte('0'+random.IntN(3)))
		case 2:
			store.save()
		case 3:
			store.restore(random)
		case 4:
			store.write("version", version)
		case 5, 6:
			store.follow(m)
		case 7:
			if d, ok := other.Since(m.DeltaBase()); ok {
				m.Merge(d)
			}
		case 8:
			announcements = append(announcements, announcement{m.ChangedRevision(), m.Revision()})
		default:
			if len(announcements) > 0 {
				a := announcements[random.IntN(len(announcements))]
				if kv.EraOf(a.revision) == kv.EraOf(m.Revision()) {
					m.Advance(a.changed, a.revision)
				}
			}
		}
	}
	store.write("version", version)
	store.follow(mirrors[0])
	for _, m := range mirrors[1:] {
		m.Advance(mirrors[0].ChangedRevision(), mirrors[0].Revision())
		if d, ok := mirrors[0].Since(m.DeltaBase()); ok {
			m.Merge(d)
		}
		if whole, ok := mirrors[0].Since(0); ok && meaningsOf(m)["version"] < version {
			m.AdoptLater(whole.Entries)
		}
	}
	for _, m := range mirrors {
		if meaningsOf(m)["version"] != version {
			return false
		}
	}
	return true
}
