package owner

import (
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/admission"
	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// newSnapshot returns a configuration with engines a and b in one pool that has
// the given hash.
func newSnapshot(hash uint32, capacity int) *fleet.Snapshot {
	pool := &fleet.Pool{Hash: hash}
	s := &fleet.Snapshot{Upstreams: map[string]*fleet.Upstream{}, Pools: []*fleet.Pool{pool}}
	for _, name := range []string{"a", "b"} {
		u := &fleet.Upstream{Name: name, Weight: 1, Capacity: capacity}
		s.Upstreams[name] = u
		pool.Upstreams = append(pool.Upstreams, u)
	}
	return s
}

func newTestGateSet(snapshot **fleet.Snapshot, view *cluster.View) *gateSet {
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

func TestLoadUsesDeclaredPools(t *testing.T) {
	snapshot, view := newSnapshot(1, 0), liveView()
	s := newTestGateSet(&snapshot, view)
	start(s, snapshot.Upstreams["a"])
	start(s, snapshot.Upstreams["b"])
	snapshot = newSnapshot(2, 0)
	if load := s.load(); load[2] != 2 || load[1] != 0 {
		t.Fatalf("load by pool = %v, want 2 in pool 2 only", load)
	}
	view.Upstreams["b"] = cluster.UpstreamView{State: cluster.Leaving}
	if load := s.load(); load[2] != 1 {
		t.Fatalf("load by pool = %v with one upstream leaving, want 1 in pool 2", load)
	}
}

func TestGateUsesDeclaredCapacity(t *testing.T) {
	snapshot := newSnapshot(1, 8)
	s := newTestGateSet(&snapshot, liveView())
	g := s.gate(snapshot.Upstreams["a"])
	snapshot = newSnapshot(1, 1)
	g.scheduler.SetMean(at(0), 8)
	s.tick(at(0))
	if got := g.scheduler.Limit(at(0)); got != 1 {
		t.Fatalf("limit = %d, want 1", got)
	}
	snapshot = &fleet.Snapshot{}
	s.tick(at(0))
	if len(s.all()) != 0 {
		t.Fatal("gate of an undeclared upstream was not removed")
	}
}

// A chat that prefers the engine with its cached prompt limits its wait to less than
// the service time. The service time must not be subtracted from that limit.
func TestRequestedWaitIsNotReducedByServiceTime(t *testing.T) {
	request := &peerpb.ForwardRequest{TimeoutMs: 60_000, WaitMs: 1000}
	if got := startDeadline(at(0), request, 6*time.Second); !got.Equal(at(1000)) {
		t.Fatalf("start deadline = %v, want 1 s after the epoch", got)
	}
	request.TimeoutMs = 6500
	if got := startDeadline(at(0), request, 6*time.Second); !got.Equal(at(500)) {
		t.Fatalf("start deadline = %v, want 0.5 s after the epoch", got)
	}
}

// A new owner has no record of an engine that hung under the previous owner, so it
// must not send requests before a probe succeeds.
func TestNewGateOfRecentlySuspectUpstreamAdmitsNothingBeforeProbe(t *testing.T) {
	snapshot, view := newSnapshot(1, 0), liveView()
	view.Upstreams["a"] = cluster.UpstreamView{State: cluster.Live, RecentlySuspect: true}
	s := newTestGateSet(&snapshot, view)
	g := s.gate(snapshot.Upstreams["a"])
	start(s, snapshot.Upstreams["a"])
	if g.inFlight() != 0 {
		t.Fatalf("%d requests in flight before the probe, want 0", g.inFlight())
	}
	s.updateState(at(0), g)
	if got := s.takeRecovering(); len(got) != 1 || !g.resume() {
		t.Fatalf("%d gates to probe, want 1 that can be resumed", len(got))
	}
	start(s, snapshot.Upstreams["a"])
	if g.inFlight() != 1 {
		t.Fatalf("%d requests in flight after the probe, want 1", g.inFlight())
	}
}
