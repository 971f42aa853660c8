package edge

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

var confirmStart = time.Unix(1_800_000_000, 0)

// digestFrom returns the digest of a router whose copy last changed at one revision
// and was confirmed at another, age ago.
func digestFrom(changed, revision int64, age time.Duration) peering.Received {
	return peering.Received{
		Router: peering.Router{Name: "other", ChangedRevision: changed, StateRevision: revision},
		Digest: &peerpb.Digest{ConfirmedAgeMs: uint32(min(age, unknownAge).Milliseconds())},
	}
}

// controlAt returns a control whose copy is complete up to a revision, or without a
// copy at revision zero.
func controlAt(t *testing.T, revision int64) *control {
	t.Helper()
	c := newTestControl(t)
	c.mirror = mirror.New(revisionProvider{})
	if revision > 0 {
		c.mirror.Replace([]kv.Entry{{Key: "k", ModRevision: 1}}, revision)
	}
	return c
}

func TestPeerConfirmations(t *testing.T) {
	for _, tc := range []struct {
		name      string
		revision  int64
		received  peering.Received
		confirmed bool
		after     int64
	}{
		{"the same copy", 10, digestFrom(8, 10, 0), true, 10},
		{"a later copy without a change", 10, digestFrom(8, 25, 0), true, 25},
		{"a change that this copy lacks", 10, digestFrom(20, 25, 0), false, 10},
		{"never confirmed", 10, digestFrom(8, 10, unknownAge), false, 10},
		{"no local copy", 0, digestFrom(0, 0, 0), false, 0},
		{"no local copy, other router has one", 0, digestFrom(5, 5, 0), false, 0},
	} {
		c := controlAt(t, tc.revision)
		c.applyPeerConfirmation(confirmStart, tc.received)
		if c.records.freshness.EverConfirmed() != tc.confirmed || c.mirror.Revision() != tc.after {
			t.Errorf("%s: confirmed %v, revision %d", tc.name, c.records.freshness.EverConfirmed(), c.mirror.Revision())
		}
	}
}

// A revision reported by the store confirms a copy once the copy has reached it, even
// when instances write all the time and the copy skips past it.
func TestStoreRevisionConfirmsLaterCopy(t *testing.T) {
	c := controlAt(t, 10)
	revisionResult{revision: 12, asked: confirmStart}.apply(c, confirmStart)
	if c.records.freshness.EverConfirmed() {
		t.Error("a copy that is behind the store counts as confirmed")
	}
	later := confirmStart.Add(100 * time.Millisecond)
	storeUpdate{update: mirror.Update{Revision: 15}}.apply(c, later)
	if age := c.records.freshness.Age(later); !c.records.freshness.EverConfirmed() || age != 100*time.Millisecond {
		t.Errorf("age of the confirmation: got %v, want 100ms", age)
	}
}

// A fetch from another router hangs, since that router can't be reached. The store,
// which can, is followed meanwhile.
func TestHangingFetchDoesNotDelayFollowingTheStore(t *testing.T) {
	c := controlAt(t, 10)
	c.edge.options.Store = unreachableStore{}
	c.members.RecordDigest(confirmStart, peering.Router{Name: "other", ChangedRevision: 12, StateRevision: 12})
	c.records.fetching = true
	revisionResult{revision: 12, asked: confirmStart}.apply(c, confirmStart)
	c.catchUp(confirmStart.Add(nonFollowerCatchUpDelay))
	if c.follow.stop == nil {
		t.Error("doesn't follow the store while a fetch hangs")
	}
}

// unreachableStore is a store that doesn't respond.
type unreachableStore struct{ kv.Store }

// List implements kv.Store.
func (unreachableStore) List(ctx context.Context, _ string) ([]kv.Entry, int64, error) {
	<-ctx.Done()
	return nil, 0, kv.ErrUnavailable
}

// A configuration is acknowledged right after the last confirmation of the copies, and
// the routers that follow the store lose it silently. The delays until another router
// lists the records add up to less than the time in which a configuration has to be in
// force, on installations of each size.
func TestDelaysAddUpToLessThanTheApplyBound(t *testing.T) {
	// listTime is the time for a question and a list of several pages, on a busy host.
	const listTime = 200 * time.Millisecond
	for _, installation := range []struct {
		routers int
		bound   time.Duration
	}{{4, 2 * time.Second}, {23, 3 * time.Second}, {31, 3 * time.Second}, {79, 4 * time.Second}, {413, 4 * time.Second}} {
		members := peering.NewMemberList("r", 1)
		for n := range installation.routers - 1 {
			members.RecordDigest(confirmStart, peering.Router{Name: strconv.Itoa(n)})
		}
		sum := mirror.MaxUnconfirmed(members.PropagationTime()) + peering.RoundInterval + nonFollowerCatchUpDelay + listTime
		if sum >= installation.bound {
			t.Errorf("%d routers: the delays add up to %v, want less than %v", installation.routers, sum, installation.bound)
		}
	}
}

// A list arrives late, since the store is slow or this router stood still. The copy was
// complete when the list was requested, not when it arrived.
func TestListConfirmsTheCopyAsOfItsRequest(t *testing.T) {
	const took = 3 * time.Second
	c := controlAt(t, 10)
	now := confirmStart.Add(took)
	storeUpdate{update: mirror.Update{Full: true, Revision: 12, AskedAt: confirmStart}}.apply(c, now)
	if age := c.records.freshness.Age(now); age != took {
		t.Errorf("age of the confirmation: got %v, want %v", age, took)
	}
}

// A digest waits in the socket's buffer while this router stands still. The confirmation
// in it is older than the digest says, and must not be passed on as a recent one.
func TestConfirmationAgesWhileTheDigestWaits(t *testing.T) {
	const stood, age, sent = 3 * time.Second, 200 * time.Millisecond, time.Hour
	c := controlAt(t, 10)
	c.edge.options.Store = unreachableStore{}
	receive := func(now time.Time, after time.Duration) {
		r := digestFrom(8, 10, age)
		r.Router.SentAt = sent + after
		digestReceived{received: r}.apply(c, now)
	}
	receive(confirmStart, 0)
	c.records.freshness = mirror.Freshness{}
	wake := confirmStart.Add(peering.RoundInterval + stood)
	receive(wake, peering.RoundInterval)
	if got := c.records.freshness.Age(wake); got != age+stood {
		t.Errorf("age of the confirmation: got %v, want %v", got, age+stood)
	}
	if reported := c.digest(wake).GetConfirmedAgeMs(); reported != uint32((age + stood).Milliseconds()) {
		t.Errorf("reported age: %d ms", reported)
	}
	receive(wake.Add(time.Millisecond), peering.RoundInterval+stood)
	if got := c.records.freshness.Age(wake.Add(time.Millisecond)); got > age+time.Millisecond {
		t.Errorf("age after a digest that did not wait: %v", got)
	}
}

// The host is suspended: the steady clock stands still, but confirmations age. The other
// routers were not silent.
func TestSuspensionAgesConfirmations(t *testing.T) {
	const suspended = 4 * time.Second
	clock := suspensionClock{sinceBoot: confirmStart, steady: confirmStart}
	if _, got := clock.read(confirmStart.Add(time.Second), confirmStart.Add(time.Second)); got != 0 {
		t.Errorf("suspended for %v, want 0", got)
	}
	now, got := clock.read(confirmStart.Add(time.Second+suspended), confirmStart.Add(time.Second))
	if got != suspended || !now.Equal(confirmStart.Add(time.Second+suspended)) {
		t.Errorf("suspended for %v at %v, want %v", got, now, suspended)
	}
	if _, again := clock.read(now, confirmStart.Add(time.Second)); again != 0 {
		t.Errorf("the same suspension counts again: %v", again)
	}
	c := controlAt(t, 10)
	c.confirmed(confirmStart, confirmStart)
	c.members.RecordDigest(confirmStart, peering.Router{Name: "other"})
	c.members.Suspended(suspended)
	if age := c.records.freshness.Age(now); age != time.Second+suspended {
		t.Errorf("age of the confirmation: %v", age)
	}
	if changes := c.members.Tick(confirmStart.Add(suspended + peering.RoundInterval)); len(changes) != 0 {
		t.Errorf("routers count as silent after a suspension: %+v", changes)
	}
}

// Records change all the time, and the copy follows the store with a delay: each
// revision that the store reports is reached only after the next question.
func TestCopyIsConfirmedWhileRecordsChangeAllTheTime(t *testing.T) {
	const every, delayed, rounds = 600 * time.Millisecond, 10, 20
	c := controlAt(t, 10)
	now := confirmStart
	for n := range int64(rounds) {
		now = now.Add(every)
		reported := 10 + (n+1)*delayed
		revisionResult{revision: reported, asked: now}.apply(c, now)
		storeUpdate{update: mirror.Update{Revision: reported - delayed/2}}.apply(c, now.Add(every/2))
	}
	if age := c.records.freshness.Age(now); age > 2*every {
		t.Errorf("age of the confirmation: %v, want at most %v", age, 2*every)
	}
}
