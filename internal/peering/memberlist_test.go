package peering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_800_000_000, 0)

func router(n int) Router {
	return Router{Name: fmt.Sprintf("r%03d", n), Incarnation: 1, PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250+1), Accepting: true}
}

func TestSilentRoutersAreExcludedAndRecover(t *testing.T) {
	l := NewMemberList("self", 1)
	l.RecordDigest(start, router(1))
	changes := l.Tick(start.Add(l.SilenceTimeout() + 1))
	if len(changes) != 1 || changes[0].Kind != WentSilent || len(l.Live()) != 0 {
		t.Errorf("changes %+v, live %+v", changes, l.Live())
	}
	if targets := l.Targets(); len(targets) != 1 {
		t.Errorf("a silent router is no longer sent digests: %v", targets)
	}
	if _, isNew := l.RecordDigest(start.Add(time.Minute), router(1)); !isNew || len(l.Live()) != 1 {
		t.Error("a router that is heard again is not sent a digest at once")
	}
	l.Tick(start.Add(time.Minute + forgetAfter + 1))
	if l.RouterCount() != 1 {
		t.Error("a router is not removed after forgetAfter")
	}
}

func TestOlderIncarnationsAreIgnored(t *testing.T) {
	l := NewMemberList("self", 1)
	newer := router(1)
	newer.Incarnation = 2
	l.RecordDigest(start, newer)
	older := router(1)
	older.Leaving = true
	if changes, _ := l.RecordDigest(start, older); len(changes) != 0 || l.Live()[0].Leaving {
		t.Error("a delayed datagram of an earlier incarnation is accepted")
	}
}

// A router whose clock was set back restarts with a lower incarnation. It must not
// be ignored once its earlier incarnation is silent.
func TestRouterRejoinsAfterClockWasSetBack(t *testing.T) {
	l := NewMemberList("self", 1)
	before := router(1)
	before.Incarnation = 100
	l.RecordDigest(start, before)
	now := start.Add(l.SilenceTimeout() + 1)
	l.Tick(now)
	if _, isNew := l.RecordDigest(now, router(1)); !isNew || len(l.Live()) != 1 {
		t.Error("the restarted router is not live")
	}
}

func TestOwnDatagramsAreIgnored(t *testing.T) {
	l := NewMemberList("r001", 1)
	if changes, isNew := l.RecordDigest(start, router(1)); changes != nil || isNew {
		t.Error("a router accepts its own datagram")
	}
}

// The number of digests per round is bounded in a fleet of any size, and every
// member is sent one before any is sent a second.
func TestRoundsAreBounded(t *testing.T) {
	for _, n := range []int{3, 16, 31, 413} {
		l := NewMemberList("self", 1)
		for i := range n {
			l.RecordDigest(start, router(i))
		}
		covered := map[string]bool{}
		for range (n + Fanout - 1) / Fanout {
			targets := l.Targets()
			if len(targets) > Fanout || len(l.DirectlyHeard()) > maxHeardPerDigest {
				t.Fatalf("%d routers: a round has %d targets and relays %d hashes", n, len(targets), len(l.DirectlyHeard()))
			}
			for _, target := range targets {
				covered[target] = true
			}
		}
		if len(covered) != n {
			t.Errorf("%d routers: %d were sent a digest", n, len(covered))
		}
	}
}

// simulatedFleet is a fleet whose routers exchange digests, some of which are
// lost.
type simulatedFleet struct {
	lists  []*MemberList
	up     []bool
	byPeer map[string]int
	random *rand.Rand
	now    time.Time
}

func newSimulatedFleet(n int) *simulatedFleet {
	f := &simulatedFleet{byPeer: map[string]int{}, random: rand.New(rand.NewPCG(3, 0)), now: start}
	for i := range n {
		f.lists = append(f.lists, NewMemberList(router(i).Name, uint64(i)))
		f.up = append(f.up, true)
		f.byPeer[router(i).PeerAddress] = i
	}
	for i, l := range f.lists {
		for j := range n {
			if i != j {
				l.RecordDigest(start, router(j))
			}
		}
	}
	return f
}

// round has all routers that are up send their digests. It returns, by router
// name, the number of routers that consider it silent.
func (f *simulatedFleet) round(loss float64) map[string]int {
	f.now = f.now.Add(RoundInterval)
	for i, l := range f.lists {
		if !f.up[i] {
			continue
		}
		sender := router(i)
		l.BeginRound()
		for _, to := range l.Targets() {
			j := f.byPeer[to]
			heard := l.DirectlyHeard()
			if f.up[j] && f.random.Float64() >= loss {
				f.lists[j].RecordDigest(f.now, sender)
				f.lists[j].RecordIndirect(f.now, heard)
			}
		}
	}
	silent := map[string]int{}
	for i, l := range f.lists {
		if !f.up[i] {
			continue
		}
		l.Tick(f.now)
		for name, m := range l.members {
			if m.silent {
				silent[name]++
			}
		}
	}
	return silent
}

// A router that is heard several times in a round is relayed once, in the next
// round only.
func TestEvidenceIsRelayedOnce(t *testing.T) {
	l := NewMemberList("self", 1)
	for i := range Fanout + 1 {
		l.RecordDigest(start, router(i))
	}
	l.BeginRound()
	l.BeginRound()
	if got := l.DirectlyHeard(); got != nil {
		t.Errorf("evidence of an earlier round is relayed: %v", got)
	}
	for range 3 {
		l.RecordDigest(start, router(1))
	}
	l.BeginRound()
	if got := l.DirectlyHeard(); len(got) != 1 || got[0] != incarnationHash(router(1)) {
		t.Errorf("relayed: %v", got)
	}
}

// In a fleet of any size, all routers consider a failed router silent within a few
// seconds, and hardly ever one that is alive, with one datagram in fifty lost.
func TestFailedRoutersAreDetectedInLargeFleets(t *testing.T) {
	const loss = 0.02
	for n, bound := range map[int]time.Duration{17: 1500 * time.Millisecond, 31: 1500 * time.Millisecond, 300: 5 * time.Second} {
		f := newSimulatedFleet(n)
		falseDetections := 0
		for range 40 {
			for _, routers := range f.round(loss) {
				falseDetections += routers
			}
		}
		if most := n * n * 40 / 10_000; falseDetections > most {
			t.Errorf("%d routers: %d false detections, want at most %d", n, falseDetections, most)
		}
		f.up[0] = false
		detected := time.Duration(0)
		for f.round(loss)[router(0).Name] < n-1 && detected < time.Minute {
			detected += RoundInterval
		}
		t.Logf("%d routers: detected by all within %v, %d false detections", n, detected, falseDetections)
		if detected > bound {
			t.Errorf("%d routers: all detected the failed one after %v, want at most %v", n, detected, bound)
		}
	}
}

func TestListedAddressesAreTargets(t *testing.T) {
	l := NewMemberList("self", 1)
	l.RecordDigest(start, router(1))
	l.SetListed([]string{router(1).PeerAddress, "10.9.9.9:7000"})
	targets := l.Targets()
	if len(targets) != 2 || targets[1] != "10.9.9.9:7000" {
		t.Errorf("targets %v", targets)
	}
}

func TestFollowersInOrder(t *testing.T) {
	total := 0
	for i := range 5 {
		l := NewMemberList(router(i).Name, 1)
		for j := range 5 {
			other := router(j)
			other.FollowsStore = true
			l.RecordDigest(start, other)
		}
		all, before := l.Followers(0)
		if all != 4 {
			t.Errorf("router %d sees %d followers", i, all)
		}
		total += before
	}
	if total != 0+1+2+3+4 {
		t.Errorf("the routers disagree on their precedence: %d", total)
	}
}

func TestLeavingRoutersDoNotFollow(t *testing.T) {
	l := NewMemberList("self", 1)
	other := router(1)
	other.FollowsStore, other.Leaving = true, true
	l.RecordDigest(start, other)
	if all, _ := l.Followers(0); all != 0 {
		t.Error("a leaving router counts as a follower")
	}
}

func TestSource(t *testing.T) {
	l := NewMemberList("self", 1)
	if _, ok := l.Source(0, nil); ok || l.NewestChange() != 0 {
		t.Error("an empty member list returns a source")
	}
	for i := range 3 {
		other := router(i)
		other.ChangedRevision, other.StateRevision = int64(10+i), 100
		l.RecordDigest(start, other)
	}
	if got := l.NewestChange(); got != 12 {
		t.Errorf("newest change %d", got)
	}
	if source, ok := l.Source(11, nil); !ok || source.Name != router(2).Name {
		t.Errorf("source %+v", source)
	}
	if _, ok := l.Source(11, []string{router(2).Name}); ok {
		t.Error("an excluded router is returned as source")
	}
	if _, ok := l.Source(12, nil); ok {
		t.Error("a router without a newer change is returned as source")
	}
	l.Advance(router(0).Name, 20, 120)
	if source, _ := l.Source(12, nil); source.Name != router(0).Name || source.StateRevision != 120 {
		t.Errorf("source %+v", source)
	}
}

// Routers that all lack the same change spread their requests over the routers
// that have it.
func TestSourcesAreDistributed(t *testing.T) {
	const n = 300
	count := map[string]int{}
	for i := range n {
		l := NewMemberList(router(i).Name, 1)
		for j := range n {
			other := router(j)
			other.ChangedRevision = 1
			l.RecordDigest(start, other)
		}
		source, _ := l.Source(0, nil)
		count[source.Name]++
	}
	for name, requests := range count {
		if requests > 10 {
			t.Errorf("%d of %d routers choose %s", requests, n, name)
		}
	}
}

// After the coverage time, rounds of targets have reached every member.
func TestCoverageTimeReachesAllMembers(t *testing.T) {
	for _, members := range []int{1, Fanout, Fanout + 1, 78, 412} {
		l := NewMemberList("self", 1)
		for i := range members {
			l.RecordDigest(time.Now(), Router{Name: fmt.Sprint("r-", i), PeerAddress: fmt.Sprint("p-", i)})
		}
		reached := map[string]bool{}
		for range l.CoverageTime() / RoundInterval {
			for _, address := range l.Targets() {
				reached[address] = true
			}
		}
		if len(reached) != members {
			t.Errorf("%d of %d members are reached within %v", len(reached), members, l.CoverageTime())
		}
	}
}

func TestPropagationTime(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 0, 16: 0, 17: RoundInterval, 256: RoundInterval, 413: 2 * RoundInterval} {
		l := NewMemberList("self", 1)
		for i := range n {
			l.RecordDigest(start, router(i))
		}
		if got := l.PropagationTime(); got != want {
			t.Errorf("%d others: %v, want %v", n, got, want)
		}
	}
}

// For digests in any order: the live routers are those heard within the silence
// timeout, each with its latest incarnation, and a delayed digest of an earlier
// incarnation changes nothing.
func TestDigestsInAnyOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(8)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("live routers", prop.ForAll(liveMatchesHeard, gen.SliceOfN(80, gen.UInt16())))
	properties.TestingRun(t)
}

func liveMatchesHeard(codes []uint16) bool {
	l := NewMemberList("self", 1)
	now := start
	heard := map[string]time.Time{}
	incarnation := map[string]uint64{}
	for _, code := range codes {
		now = now.Add(time.Duration(code%16) * 50 * time.Millisecond)
		l.Tick(now)
		sender := router(int(code>>4) % 4)
		sender.Incarnation = uint64(code >> 8 % 4)
		lastHeard, known := heard[sender.Name]
		late := known && now.Sub(lastHeard) <= l.SilenceTimeout() && sender.Incarnation < incarnation[sender.Name]
		l.RecordDigest(now, sender)
		if !late {
			heard[sender.Name], incarnation[sender.Name] = now, sender.Incarnation
		}
		live := l.Live()
		for _, r := range live {
			if now.Sub(heard[r.Name]) > l.SilenceTimeout() || r.Incarnation != incarnation[r.Name] {
				return false
			}
		}
		for name, at := range heard {
			isLive := slices.ContainsFunc(live, func(r Router) bool { return r.Name == name })
			if now.Sub(at) <= l.SilenceTimeout() && !isLive {
				return false
			}
		}
	}
	return true
}
