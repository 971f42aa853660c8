package owner

import (
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/admission"
	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// snapshotOf declares two engines in one pool of a hash.
func snapshotOf(hash uint32, capacity int) *fleet.Snapshot {
	pool := &fleet.Pool{Hash: hash}
	s := &fleet.Snapshot{Upstreams: map[string]*fleet.Upstream{}, Pools: []*fleet.Pool{pool}}
	for _, name := range []string{"a", "b"} {
		u := &fleet.Upstream{Name: name, Weight: 1, Capacity: capacity}
		s.Upstreams[name] = u
		pool.Upstreams = append(pool.Upstreams, u)
	}
	return s
}

func testGates(snapshot **fleet.Snapshot, view *cluster.View) *gateSet {
	return newGateSet(Options{
		Settings: Settings{Admission: admission.DefaultSettings()},
		Config:   func() *fleet.Snapshot { return *snapshot },
		View:     func() *cluster.View { return view },
	})
}

func liveView() *cluster.View {
	return &cluster.View{Upstreams: map[string]cluster.UpstreamView{
		"a": {State: cluster.Live}, "b": {State: cluster.Live},
	}}
}

func start(s *gateSet, u *fleet.Upstream) {
	s.gate(u).offer(at(0), admission.Request{Workspace: "w", Deadline: at(1000)})
}

func TestLoadFollowsTheDeclaredPools(t *testing.T) {
	snapshot, view := snapshotOf(1, 0), liveView()
	s := testGates(&snapshot, view)
	start(s, snapshot.Upstreams["a"])
	start(s, snapshot.Upstreams["b"])
	snapshot = snapshotOf(2, 0)
	if load := s.load(); load[2] != 2 || load[1] != 0 {
		t.Fatalf("got %v", load)
	}
	view.Upstreams["b"] = cluster.UpstreamView{State: cluster.Leaving}
	if load := s.load(); load[2] != 1 {
		t.Fatalf("got %v with one leaving", load)
	}
}

func TestGateFollowsTheDeclaredCapacity(t *testing.T) {
	snapshot := snapshotOf(1, 8)
	s := testGates(&snapshot, liveView())
	g := s.gate(snapshot.Upstreams["a"])
	snapshot = snapshotOf(1, 1)
	g.scheduler.SetMean(at(0), 8)
	s.tick(at(0))
	if got := g.scheduler.Limit(at(0)); got != 1 {
		t.Fatalf("limit %d", got)
	}
	snapshot = &fleet.Snapshot{}
	s.tick(at(0))
	if len(s.all()) != 0 {
		t.Fatal("an undeclared upstream keeps its gate")
	}
}

// The wait that a returning chat names is shorter than an answer takes; time
// for the answer must not be taken off it.
func TestNamedWaitIsNotCutByTheTimeOfAnAnswer(t *testing.T) {
	request := &peerpb.ForwardRequest{TimeoutMs: 60_000, WaitMs: 1000}
	if got := startDeadline(at(0), request, 6*time.Second); !got.Equal(at(1000)) {
		t.Fatalf("starts until %v", got)
	}
	request.TimeoutMs = 6500
	if got := startDeadline(at(0), request, 6*time.Second); !got.Equal(at(500)) {
		t.Fatalf("starts until %v", got)
	}
}

// A new owner knows nothing of an engine that hung at the one before it.
func TestNewGateOfAnUnprovenUpstreamTakesNothingBeforeAProbe(t *testing.T) {
	snapshot, view := snapshotOf(1, 0), liveView()
	view.Upstreams["a"] = cluster.UpstreamView{State: cluster.Live, RecentlySuspect: true}
	s := testGates(&snapshot, view)
	g := s.gate(snapshot.Upstreams["a"])
	start(s, snapshot.Upstreams["a"])
	if g.inFlight() != 0 {
		t.Fatalf("%d in flight before the probe", g.inFlight())
	}
	s.updateUse(at(0), g)
	if got := s.takeReturning(); len(got) != 1 || !g.resume() {
		t.Fatalf("%d probes", len(got))
	}
	start(s, snapshot.Upstreams["a"])
	if g.inFlight() != 1 {
		t.Fatalf("%d in flight after the probe", g.inFlight())
	}
}
