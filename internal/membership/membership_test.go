package membership

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func routerHost(i int) hostlist.Host {
	return hostlist.Host{Name: fmt.Sprintf("router-%03d", i), Kind: hostlist.KindRouter, State: hostlist.StateLive}
}

func engineHost(state hostlist.State) hostlist.Host {
	return hostlist.Host{Name: "engine", Kind: hostlist.KindEngine, State: state}
}

// group simulates a group of routers in rounds; loss is the probability that a
// datagram is lost.
type group struct {
	now    time.Time
	nodes  []*Members
	down   []bool
	random *rand.Rand
	loss   float64
}

const roundInterval = 500 * time.Millisecond

func newGroup(n int, seed int64) *group {
	g := &group{now: epoch, down: make([]bool, n), random: rand.New(rand.NewSource(seed))}
	list := make([]hostlist.Host, n)
	for i := range list {
		list[i] = routerHost(i)
	}
	for i := range n {
		m := New(Options{Self: list[i], Incarnation: 1, Settings: DefaultSettings(), Seed: uint64(seed) + uint64(i)})
		m.ApplyHostList(g.now, list)
		g.nodes = append(g.nodes, m)
	}
	return g
}

func (g *group) index(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "router-%d", &i)
	return i
}

// send delivers one datagram with updates. It returns false if it was lost.
func (g *group) send(from, to int) bool {
	if g.down[from] || g.down[to] || g.random.Float64() < g.loss {
		return false
	}
	sender, receiver := g.nodes[from], g.nodes[to]
	receiver.RecordHeartbeat(g.now, sender.self.Name, sender.Incarnation())
	for _, update := range sender.TakeUpdates(receiver.self.Name, 8) {
		receiver.ApplyUpdate(g.now, update)
	}
	return true
}

func (g *group) apply(from int, effects []Effect) {
	for _, e := range effects {
		target := g.index(e.Host)
		switch e.Kind {
		case SendProbe:
			if g.send(from, target) && g.send(target, from) {
				g.nodes[from].ProbeAnswered(e.Host, e.Sequence)
			}
		case SendRelayedProbe:
			via := g.index(e.Via)
			if g.send(from, via) && g.send(via, target) && g.send(target, via) && g.send(via, from) {
				g.nodes[from].ProbeAnswered(e.Host, e.Sequence)
			}
		}
	}
}

func (g *group) rounds(n int) {
	for range n {
		g.now = g.now.Add(roundInterval)
		for i, m := range g.nodes {
			if !g.down[i] {
				g.apply(i, m.ProbeRound(g.now))
				g.apply(i, m.Tick(g.now))
			}
		}
	}
}

// disagreement describes the first difference between a router's view and the
// actual set of live routers, or returns an empty string.
func (g *group) disagreement() string {
	for i, m := range g.nodes {
		if g.down[i] {
			continue
		}
		inUse := make(map[int]bool)
		for _, r := range m.Routers(g.now) {
			inUse[g.index(r.Host.Name)] = true
		}
		for j, down := range g.down {
			if inUse[j] == down {
				return fmt.Sprintf("router %d has router %d in use: %v, down: %v", i, j, inUse[j], down)
			}
		}
	}
	return ""
}

func TestViewsConvergeAfterFailures(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("all live routers have exactly the live routers in use", prop.ForAll(
		func(n int, seed int64) string {
			g := newGroup(n, seed)
			g.loss = 0.05
			g.rounds(5)
			for i := range n / 4 {
				g.down[i*3%n] = true
			}
			g.rounds(40 + 2*n)
			g.loss = 0
			g.rounds(40 + 2*n)
			return g.disagreement()
		},
		gen.IntRange(2, 32), gen.Int64(),
	))
	properties.TestingRun(t)
}

func TestPartitionHeals(t *testing.T) {
	g := newGroup(12, 1)
	g.rounds(10)
	g.loss = 1
	g.rounds(60)
	g.loss = 0
	g.rounds(60)
	if d := g.disagreement(); d != "" {
		t.Fatal(d)
	}
}

func TestLiveSuspectRefutes(t *testing.T) {
	g := newGroup(5, 2)
	g.rounds(10)
	g.nodes[0].suspect(g.now, g.nodes[0].routers["router-003"])
	g.rounds(20)
	for i, m := range g.nodes {
		if r := m.routers["router-003"]; r != nil && r.condition != Alive {
			t.Errorf("at router %d, router-003 is %v", i, r.condition)
		}
	}
}

func TestLeavingRouterFailsAfterItStops(t *testing.T) {
	g := newGroup(4, 3)
	g.rounds(10)
	g.nodes[2].Leave()
	g.rounds(6)
	if got := g.nodes[0].routers["router-002"].effectiveCondition(g.now); got != Leaving {
		t.Fatalf("got %v", got)
	}
	g.down[2] = true
	g.rounds(20)
	if d := g.disagreement(); d != "" {
		t.Fatal(d)
	}
}

func TestHoldDownDoublesForAFlappingUpstream(t *testing.T) {
	m := New(Options{Self: routerHost(0), Settings: DefaultSettings()})
	m.ApplyHostList(at(0), []hostlist.Host{engineHost(hostlist.StateLive)})
	now := at(0)
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		m.ReportUpstream(now, "engine", ConnRefused)
		start := now
		for m.Upstreams(now)[0].Condition == Suspect {
			now = now.Add(100 * time.Millisecond)
			m.Tick(now)
		}
		if got := now.Sub(start); got != want {
			t.Errorf("held down for %v, want %v", got, want)
		}
	}
}

func TestHoldDownDoesNotDoubleAfterEnoughUptime(t *testing.T) {
	m := New(Options{Self: routerHost(0), Settings: DefaultSettings()})
	m.ApplyHostList(at(0), []hostlist.Host{engineHost(hostlist.StateLive)})
	for i := range 20 {
		now := at(time.Duration(i) * 8 * time.Second)
		m.Tick(now)
		m.ReportUpstream(now, "engine", ConnRefused)
		if got := m.upstreams["engine"].hold.until.Sub(now); got != time.Second {
			t.Fatalf("failure %d: held down for %v", i, got)
		}
	}
}

func TestUpstreamThatReturnsToTheListIsHeldDown(t *testing.T) {
	m := New(Options{Self: routerHost(0), Settings: DefaultSettings()})
	other := hostlist.Host{Name: "other", Kind: hostlist.KindEngine, State: hostlist.StateLive}
	m.ApplyHostList(at(0), []hostlist.Host{other, engineHost(hostlist.StateLive)})
	m.ApplyHostList(at(time.Second), []hostlist.Host{other})
	if len(m.Upstreams(at(time.Second))) != 1 {
		t.Fatal("an unlisted engine is in Upstreams")
	}
	m.ApplyHostList(at(2*time.Second), []hostlist.Host{other, engineHost(hostlist.StateLive)})
	if got := m.Upstreams(at(2 * time.Second))[0].Condition; got != Suspect {
		t.Fatalf("got %v", got)
	}
	if effects := m.Tick(at(4 * time.Second)); len(effects) != 1 || effects[0].Condition != Alive {
		t.Fatalf("got %+v", effects)
	}
}

func TestOneBrokenConnectionDoesNotMakeAnUpstreamSuspect(t *testing.T) {
	m := New(Options{Self: routerHost(0), Settings: DefaultSettings()})
	m.ApplyHostList(at(0), []hostlist.Host{engineHost(hostlist.StateLive)})
	m.ReportUpstream(at(0), "engine", ConnIncomplete)
	m.ReportUpstream(at(0), "engine", ConnOK)
	m.ReportUpstream(at(0), "engine", ConnCrashed)
	if got := m.Upstreams(at(0))[0].Condition; got != Alive {
		t.Fatalf("got %v", got)
	}
	m.ReportUpstream(at(0), "engine", ConnCrashed)
	if got := m.Upstreams(at(0))[0].Condition; got != Suspect {
		t.Fatalf("got %v", got)
	}
}

func TestUpstreamUpdateSpreadsAndLateCopiesAreIgnored(t *testing.T) {
	a := New(Options{Self: routerHost(0), Settings: DefaultSettings()})
	b := New(Options{Self: routerHost(1), Settings: DefaultSettings()})
	list := []hostlist.Host{engineHost(hostlist.StateLive)}
	a.ApplyHostList(at(0), list)
	b.ApplyHostList(at(0), list)
	a.ReportUpstream(at(0), "engine", ConnLeaving)
	var update Update
	for _, candidate := range a.TakeUpdates("router-001", 8) {
		if candidate.Upstream {
			update = candidate
		}
	}
	b.ApplyUpdate(at(0), update)
	if got := b.Upstreams(at(0))[0].Condition; got != Leaving {
		t.Fatalf("got %v", got)
	}
	later := at(DefaultSettings().LeavingNotice.Std())
	b.Tick(later)
	b.ApplyUpdate(later, update)
	if got := b.Upstreams(later)[0].Condition; got != Alive {
		t.Fatalf("got %v", got)
	}
}

func TestFailuresAcrossRegionsAreNotGossiped(t *testing.T) {
	near, far := routerHost(0), routerHost(1)
	near.Region, far.Region = "bagmati", "litoral"
	engine := engineHost(hostlist.StateLive)
	engine.Region = "litoral"
	m := New(Options{Self: near, Settings: DefaultSettings()})
	m.ApplyHostList(at(0), []hostlist.Host{near, far, engine})
	m.ReportUpstream(at(0), "engine", ConnRefused)
	if got := m.Upstreams(at(0))[0].Condition; got != Suspect {
		t.Fatalf("got %v", got)
	}
	for _, update := range m.TakeUpdates(far.Name, 8) {
		if update.Upstream {
			t.Fatalf("update %+v was sent", update)
		}
	}
	m.Tick(at(2 * time.Second))
	if u := m.upstreams["engine"]; u.version != 0 || u.condition != Alive {
		t.Fatalf("version %d, %v", u.version, u.condition)
	}
	m.ApplyHostList(at(3*time.Second), []hostlist.Host{near, engine})
	m.ReportUpstream(at(3*time.Second), "engine", ConnRefused)
	if u := m.upstreams["engine"]; u.version != 1 {
		t.Fatalf("version %d without a router in the region", u.version)
	}
}

func TestEmptyListIsIgnored(t *testing.T) {
	g := newGroup(3, 4)
	g.nodes[0].ApplyHostList(g.now, nil)
	if got := len(g.nodes[0].Routers(g.now)); got != 3 {
		t.Fatalf("%d routers", got)
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{4, 64, 410} {
		b.Run(fmt.Sprint(n, "routers"), func(b *testing.B) {
			g := newGroup(n, 1)
			m := g.nodes[0]
			b.ReportAllocs()
			for range b.N {
				m.Tick(g.now)
			}
		})
	}
}

func BenchmarkRouters(b *testing.B) {
	for _, n := range []int{4, 64, 410} {
		b.Run(fmt.Sprint(n, "routers"), func(b *testing.B) {
			g := newGroup(n, 1)
			b.ReportAllocs()
			for range b.N {
				g.nodes[0].Routers(g.now)
			}
		})
	}
}
