package edge

import (
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
)

// A router that has not seen the restore, or of a release that knows no eras, has a
// copy of an earlier era. It must neither confirm this router's copy, nor count as a
// follower, nor be asked for records, although its own revision is higher.
func TestCopiesOfAnEarlierEraAreNotUsed(t *testing.T) {
	now := time.Now()
	for _, era := range []int64{0, 1} {
		c := controlAt(t, kv.JoinRevision(2, 10))
		late := digestFrom(kv.JoinRevision(era, 90), kv.JoinRevision(era, 90), 0)
		late.Router.FollowsStore = true
		c.members.RecordDigest(now, late.Router)
		c.applyPeerConfirmation(now, late)
		if c.records.freshness.EverConfirmed() {
			t.Errorf("era %d: a copy of an earlier era confirms this one", era)
		}
		if all, _ := c.members.Followers(kv.EraOf(c.mirror.Revision())); all != 0 {
			t.Errorf("era %d: a router with a copy of an earlier era counts as a follower", era)
		}
		if _, ok := c.members.Source(c.mirror.Revision(), nil); ok {
			t.Errorf("era %d: records are fetched from a copy of an earlier era", era)
		}
	}
}

// A router learns of a restore from another router's digest, and from a response of
// the store that holds no records, whichever comes first.
func TestLaterEraIsRequired(t *testing.T) {
	now := time.Now()
	c := controlAt(t, kv.JoinRevision(1, 100))
	c.members.RecordDigest(now, peering.Router{Name: "other", ChangedRevision: kv.JoinRevision(2, 40), StateRevision: kv.JoinRevision(2, 40)})
	if c.requiredRevision() <= c.mirror.Revision() {
		t.Error("a digest of a later era has no effect")
	}
	c = controlAt(t, kv.JoinRevision(1, 100))
	c.edge.options.StoreEra = func() int64 { return 2 }
	c.checkStoreEra()
	if c.requiredRevision() <= c.mirror.Revision() {
		t.Error("a response of a later era has no effect")
	}
	if c.revisionAdvanced(now); c.records.freshness.EverConfirmed() {
		t.Error("the era alone confirms a copy")
	}
}

// A router without a copy is not behind, whatever era the store names: it has to wait
// for its turn to read the store.
func TestEraRequiresNothingWithoutACopy(t *testing.T) {
	for _, era := range []int64{0, 7} {
		c := controlAt(t, 0)
		c.edge.options.StoreEra = func() int64 { return era }
		c.checkStoreEra()
		if got := c.requiredRevision(); got != 0 {
			t.Errorf("era %d: revision %d is required", era, got)
		}
		c.catchUp(time.Now())
		if c.follow.stop != nil {
			t.Errorf("era %d: follows the store without a copy", era)
		}
	}
}

func TestRestoreRegistersAgain(t *testing.T) {
	c := controlAt(t, kv.JoinRevision(1, 100))
	restored := storeUpdate{update: mirror.Update{Full: true, Revision: kv.JoinRevision(2, 40)}}
	restored.apply(c, time.Now())
	select {
	case lost := <-c.edge.reregister:
		if limit := time.Duration(c.members.RouterCount()) * registrationSpacing; lost.delay >= limit {
			t.Errorf("registers after %v, want below %v", lost.delay, limit)
		}
	default:
		t.Error("the router's record is not written again")
	}
}

// Copies of several eras arrive in any order from the store and from other routers.
// The copy never returns to an earlier era, and the active configuration never
// reverts, although restored copies hold older ones.
func TestConfigurationNeverRevertsOverRestores(t *testing.T) {
	forRandomHistories(t, 17, configNeverRevertsOverRestores)
}

func configNeverRevertsOverRestores(c *control, codes []uint8) bool {
	now := time.Unix(1_800_000_000, 0)
	var written []kv.Entry
	era, raw := int64(1), int64(1)
	highest, version := int64(0), byte(0)
	for _, code := range codes {
		now = now.Add(10 * time.Millisecond)
		if code%11 == 0 && len(written) > 0 {
			// The store returns from a copy with an older configuration.
			era++
			raw = max(raw-int64(code%5), 1)
			restored := written[int(code)%len(written)]
			restored.ModRevision = kv.JoinRevision(era, raw)
			written = append(written, restored)
		} else {
			raw++
			version++
			written = append(written, kv.Entry{Key: configRecord, Value: []byte{version}, ModRevision: kv.JoinRevision(era, raw)})
		}
		before := c.mirror.Revision()
		applyRecord(c, now, code, written[int(code/8)%len(written)])
		if c.mirror.Revision() < before {
			return false
		}
		if table := c.edge.table.Load(); table != nil {
			if table.Revision < highest {
				return false
			}
			highest = table.Revision
		}
	}
	return true
}

// A router that has started after a restore reads the store's older configuration. It
// adopts the later one that another router has kept, and keeps it until the next write.
func TestLaterConfigurationOfAnotherRouterIsAdopted(t *testing.T) {
	now := time.Now()
	c := controlAt(t, 0)
	c.edge.options.Store = unreachableStore{}
	record := func(version byte, revision int64) kv.Entry {
		return kv.Entry{Key: configRecord, Value: []byte{version}, ModRevision: kv.JoinRevision(2, revision)}
	}
	storeUpdate{update: mirror.Update{Full: true, Entries: []kv.Entry{record(1, 4)}, Revision: kv.JoinRevision(2, 9), AskedAt: now}}.apply(c, now)
	d := digestFrom(kv.JoinRevision(2, 8), kv.JoinRevision(2, 9), 0)
	d.Router.PeerAddress, d.Digest.ConfigRevision = "127.0.0.1:1", 2
	digestReceived{received: d}.apply(c, now)
	if !c.records.fetching {
		t.Fatal("the later configuration is not fetched")
	}
	kept := mirror.Delta{Full: true, Revision: kv.JoinRevision(2, 9), ChangedRevision: kv.JoinRevision(2, 8), Entries: []kv.Entry{record(2, 4)}}
	stateFetched{from: "other", response: deltaToProto(kept)}.apply(c, now)
	if got := c.edge.table.Load().Revision; got != 2 {
		t.Errorf("configuration %d in force, want 2", got)
	}
	c.records.nextFetch = time.Time{}
	digestReceived{received: d}.apply(c, now)
	if c.records.fetching {
		t.Error("the same configuration is fetched again")
	}
	storeUpdate{update: mirror.Update{Events: []kv.Event{{Entry: record(3, 10)}}, Revision: kv.JoinRevision(2, 10)}}.apply(c, now)
	if got := c.edge.table.Load().Revision; got != 3 {
		t.Errorf("configuration %d in force, want 3", got)
	}
}
