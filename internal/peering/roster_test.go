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

func TestSilentRoutersAreLeftOutAndFoundAgain(t *testing.T) {
	r := NewMemberList("self", 1)
	r.RecordDigest(start, router(1))
	changes := r.Tick(start.Add(r.SilenceTimeout() + 1))
	if len(changes) != 1 || changes[0].Kind != WentSilent || len(r.Live()) != 0 {
		t.Errorf("changes %+v, live %+v", changes, r.Live())
	}
	if targets := r.Targets(); len(targets) != 1 {
		t.Errorf("a silent router is no longer told: %v", targets)
	}
	if _, isNew := r.RecordDigest(start.Add(time.Minute), router(1)); !isNew || len(r.Live()) != 1 {
		t.Error("a router that is heard again is not answered at once")
	}
	r.Tick(start.Add(time.Minute + forgetAfter + 1))
	if r.RouterCount() != 1 {
		t.Error("a router that was silent for long is not forgotten")
	}
}

func TestOlderIncarnationsAreIgnored(t *testing.T) {
	r := NewMemberList("self", 1)
	newer := router(1)
	newer.Incarnation = 2
	r.RecordDigest(start, newer)
	older := router(1)
	older.Leaving = true
	if changes, _ := r.RecordDigest(start, older); len(changes) != 0 || r.Live()[0].Leaving {
		t.Error("a late datagram of an earlier process counts")
	}
}

// A router whose clock was set back starts again with a lower incarnation.
func TestAClockThatWasSetBackHidesNoRouter(t *testing.T) {
	r := NewMemberList("self", 1)
	before := router(1)
	before.Incarnation = 100
	r.RecordDigest(start, before)
	now := start.Add(r.SilenceTimeout() + 1)
	r.Tick(now)
	if _, isNew := r.RecordDigest(now, router(1)); !isNew || len(r.Live()) != 1 {
		t.Error("the router is not heard")
	}
}

func TestOwnDatagramsAreIgnored(t *testing.T) {
	r := NewMemberList("r001", 1)
	if changes, isNew := r.RecordDigest(start, router(1)); changes != nil || isNew {
		t.Error("a router hears itself")
	}
}

// The cost of a round is bounded in a fleet of any size, and everyone is told by
// turns.
func TestRoundsAreBounded(t *testing.T) {
	for _, n := range []int{3, 16, 31, 413} {
		r := NewMemberList("self", 1)
		for i := range n {
			r.RecordDigest(start, router(i))
		}
		told := map[string]bool{}
		for range (n + Fanout - 1) / Fanout {
			targets := r.Targets()
			if len(targets) > Fanout || len(r.DirectlyHeard()) > heardPerDigest {
				t.Fatalf("%d routers: a round tells %d of %d", n, len(targets), len(r.DirectlyHeard()))
			}
			for _, target := range targets {
				told[target] = true
			}
		}
		if len(told) != n {
			t.Errorf("%d routers: %d were told", n, len(told))
		}
	}
}

// rosterFleet is a fleet whose routers tell each other by datagrams, some of
// which are lost.
type rosterFleet struct {
	rosters []*MemberList
	up      []bool
	byPeer  map[string]int
	random  *rand.Rand
	now     time.Time
}

func newRosterFleet(n int) *rosterFleet {
	f := &rosterFleet{byPeer: map[string]int{}, random: rand.New(rand.NewPCG(3, 0)), now: start}
	for i := range n {
		f.rosters = append(f.rosters, NewMemberList(router(i).Name, uint64(i)))
		f.up = append(f.up, true)
		f.byPeer[router(i).PeerAddress] = i
	}
	for i, r := range f.rosters {
		for j := range n {
			if i != j {
				r.RecordDigest(start, router(j))
			}
		}
	}
	return f
}

// round lets all routers that are up tell others, and returns how many count as
// silent, by router.
func (f *rosterFleet) round(loss float64) map[string]int {
	f.now = f.now.Add(RoundInterval)
	for i, r := range f.rosters {
		if !f.up[i] {
			continue
		}
		said := router(i)
		r.BeginRound()
		for _, to := range r.Targets() {
			j := f.byPeer[to]
			heard := r.DirectlyHeard()
			if f.up[j] && f.random.Float64() >= loss {
				f.rosters[j].RecordDigest(f.now, said)
				f.rosters[j].RecordIndirect(f.now, heard)
			}
		}
	}
	silent := map[string]int{}
	for i, r := range f.rosters {
		if !f.up[i] {
			continue
		}
		r.Tick(f.now)
		for name, m := range r.members {
			if m.silent {
				silent[name]++
			}
		}
	}
	return silent
}

// A router that is heard several times in a round is passed on once, in the next
// round only.
func TestEvidenceIsPassedOnOnce(t *testing.T) {
	r := NewMemberList("self", 1)
	for i := range Fanout + 1 {
		r.RecordDigest(start, router(i))
	}
	r.BeginRound()
	r.BeginRound()
	if got := r.DirectlyHeard(); got != nil {
		t.Errorf("evidence of an earlier round: %v", got)
	}
	for range 3 {
		r.RecordDigest(start, router(1))
	}
	r.BeginRound()
	if got := r.DirectlyHeard(); len(got) != 1 || got[0] != incarnationHash(router(1)) {
		t.Errorf("passed on: %v", got)
	}
}

// In a fleet of any size, a router that dies counts as silent everywhere within a
// few seconds, and one that lives hardly ever, though one datagram in fifty is
// lost.
func TestDeadRoutersAreFoundInLargeFleets(t *testing.T) {
	const loss = 0.02
	for n, bound := range map[int]time.Duration{17: 1500 * time.Millisecond, 31: 1500 * time.Millisecond, 300: 5 * time.Second} {
		f := newRosterFleet(n)
		wrong := 0
		for range 40 {
			for _, routers := range f.round(loss) {
				wrong += routers
			}
		}
		if most := n * n * 40 / 10_000; wrong > most {
			t.Errorf("%d routers: one that lives was thought silent %d times, want at most %d", n, wrong, most)
		}
		f.up[0] = false
		found := time.Duration(0)
		for f.round(loss)[router(0).Name] < n-1 && found < time.Minute {
			found += RoundInterval
		}
		t.Logf("%d routers: found everywhere within %v, %d wrong", n, found, wrong)
		if found > bound {
			t.Errorf("%d routers: a dead one was found everywhere after %v, want %v", n, found, bound)
		}
	}
}

func TestListedAddressesAreTried(t *testing.T) {
	r := NewMemberList("self", 1)
	r.RecordDigest(start, router(1))
	r.SetListed([]string{router(1).PeerAddress, "10.9.9.9:7000"})
	targets := r.Targets()
	if len(targets) != 2 || targets[1] != "10.9.9.9:7000" {
		t.Errorf("targets %v", targets)
	}
}

func TestFollowersInOrder(t *testing.T) {
	total := 0
	for i := range 5 {
		r := NewMemberList(router(i).Name, 1)
		for j := range 5 {
			other := router(j)
			other.FollowsStore = true
			r.RecordDigest(start, other)
		}
		all, before := r.Followers()
		if all != 4 {
			t.Errorf("router %d sees %d followers", i, all)
		}
		total += before
	}
	if total != 0+1+2+3+4 {
		t.Errorf("the routers disagree on who goes first: %d", total)
	}
}

func TestLeavingRoutersDoNotFollow(t *testing.T) {
	r := NewMemberList("self", 1)
	other := router(1)
	other.FollowsStore, other.Leaving = true, true
	r.RecordDigest(start, other)
	if all, _ := r.Followers(); all != 0 {
		t.Error("a stopping router counts as one that follows the store")
	}
}

func TestSourcesOfACopy(t *testing.T) {
	r := NewMemberList("self", 1)
	if _, ok := r.Source(0, nil); ok || r.NewestChange() != 0 {
		t.Error("a source among no routers")
	}
	for i := range 3 {
		other := router(i)
		other.ChangedRevision, other.StateRevision = int64(10+i), 100
		r.RecordDigest(start, other)
	}
	if got := r.NewestChange(); got != 12 {
		t.Errorf("newest change %d", got)
	}
	if source, ok := r.Source(11, nil); !ok || source.Name != router(2).Name {
		t.Errorf("source %+v", source)
	}
	if _, ok := r.Source(11, []string{router(2).Name}); ok {
		t.Error("a router that was ruled out is a source")
	}
	if _, ok := r.Source(12, nil); ok {
		t.Error("a router without a newer change is a source")
	}
	r.Advance(router(0).Name, 20, 120)
	if source, _ := r.Source(12, nil); source.Name != router(0).Name || source.StateRevision != 120 {
		t.Errorf("source %+v", source)
	}
}

// When all but one lack a copy, they take it from many different routers as soon
// as these have it.
func TestSourcesAreSpread(t *testing.T) {
	const n = 300
	count := map[string]int{}
	for i := range n {
		r := NewMemberList(router(i).Name, 1)
		for j := range n {
			other := router(j)
			other.ChangedRevision = 1
			r.RecordDigest(start, other)
		}
		source, _ := r.Source(0, nil)
		count[source.Name]++
	}
	for name, asked := range count {
		if asked > 10 {
			t.Errorf("%d of %d routers ask %s", asked, n, name)
		}
	}
}

func TestSpreadTime(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 0, 16: 0, 17: RoundInterval, 256: RoundInterval, 413: 2 * RoundInterval} {
		r := NewMemberList("self", 1)
		for i := range n {
			r.RecordDigest(start, router(i))
		}
		if got := r.PropagationTime(); got != want {
			t.Errorf("%d others: %v, want %v", n, got, want)
		}
	}
}

// Whatever is heard in whatever order: routers that were heard within the
// patience and don't say otherwise are live, silent ones are not, and a late word
// of an earlier process changes nothing.
func TestRostersInAnyOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(8)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("live routers", prop.ForAll(rosterIsTrue, gen.SliceOfN(80, gen.UInt16())))
	properties.TestingRun(t)
}

func rosterIsTrue(codes []uint16) bool {
	r := NewMemberList("self", 1)
	now := start
	heard := map[string]time.Time{}
	incarnation := map[string]uint64{}
	for _, code := range codes {
		now = now.Add(time.Duration(code%16) * 50 * time.Millisecond)
		r.Tick(now)
		said := router(int(code>>4) % 4)
		said.Incarnation = uint64(code >> 8 % 4)
		lastHeard, known := heard[said.Name]
		late := known && now.Sub(lastHeard) <= r.SilenceTimeout() && said.Incarnation < incarnation[said.Name]
		r.RecordDigest(now, said)
		if !late {
			heard[said.Name], incarnation[said.Name] = now, said.Incarnation
		}
		live := r.Live()
		for _, l := range live {
			if now.Sub(heard[l.Name]) > r.SilenceTimeout() || l.Incarnation != incarnation[l.Name] {
				return false
			}
		}
		for name, at := range heard {
			isLive := slices.ContainsFunc(live, func(l Router) bool { return l.Name == name })
			if now.Sub(at) <= r.SilenceTimeout() && !isLive {
				return false
			}
		}
	}
	return true
}
