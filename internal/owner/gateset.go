package owner

import (
	"sort"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/status"
)

// gateSet holds the gates of the upstreams that this router has served.
type gateSet struct {
	options Options

	mu    sync.Mutex
	gates map[string]*gate
	// topology is the View.Topology for which ownership was last computed.
	topology uint64
	// overlaps are newly owned gates, whose upstreams may still run a previous
	// owner's requests.
	overlaps []*gate
	// recovering are gates whose upstream must answer a probe before it gets
	// requests.
	recovering []*gate
}

func newGateSet(options Options) *gateSet {
	return &gateSet{options: options, gates: make(map[string]*gate)}
}

// gate returns the gate of an upstream and creates it on first use.
func (s *gateSet) gate(upstream *fleet.Upstream) *gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gates[upstream.Name]
	if g == nil {
		g = newGate(upstream.Name, s.options.Settings.Admission, upstream.Capacity)
		g.scheduler.SetMean(time.Now(), s.mean(upstream))
		s.gates[upstream.Name] = g
		s.overlaps = append(s.overlaps, g)
		s.suspendIfRecentlySuspect(time.Now(), g)
	}
	return g
}

// suspendIfRecentlySuspect suspends a gate new to this router if its upstream may
// still be hanging. The upstream must answer a probe first.
func (s *gateSet) suspendIfRecentlySuspect(now time.Time, g *gate) {
	if s.options.View().Upstreams[g.name].RecentlySuspect {
		g.suspend(now)
	}
}

// updateState suspends a gate while its upstream isn't live. When the upstream is
// live again, it must answer a probe first.
func (s *gateSet) updateState(now time.Time, g *gate) {
	state := s.options.View().Upstreams[g.name].State
	if state != cluster.Live {
		g.suspend(now)
		return
	}
	if g.beginProbe() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recovering = append(s.recovering, g)
	}
}

// takeRecovering removes and returns the gates whose upstream must be probed.
func (s *gateSet) takeRecovering() []*gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	recovering := s.recovering
	s.recovering = nil
	return recovering
}

// takeOverlaps returns the gates that this router came to own since the last call.
func (s *gateSet) takeOverlaps() []*gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateOwnership()
	overlaps := s.overlaps
	s.overlaps = nil
	return overlaps
}

// updateOwnership updates the ownership of all gates and adds those that this
// router has come to own to overlaps. The caller holds the lock.
func (s *gateSet) updateOwnership() {
	view := s.options.View()
	if view.TopologyVersion == s.topology {
		return
	}
	s.topology = view.TopologyVersion
	for _, g := range s.gates {
		name, _ := view.Owner(g.name, nil)
		owned := name == s.options.Self
		if owned && !g.owned {
			s.overlaps = append(s.overlaps, g)
			s.suspendIfRecentlySuspect(time.Now(), g)
		}
		g.owned = owned
	}
}

func (s *gateSet) all() []*gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	gates := make([]*gate, 0, len(s.gates))
	for _, g := range s.gates {
		gates = append(gates, g)
	}
	return gates
}

// load returns the requests in flight by pool hash, using the current pool
// declarations. Like liveWeight it counts live upstreams only, since the mean
// applies to the upstreams that may take a request.
func (s *gateSet) load() map[uint32]int {
	load := make(map[uint32]int)
	snapshot := s.options.Config()
	if snapshot == nil {
		return load
	}
	view := s.options.View()
	for _, g := range s.all() {
		upstream := snapshot.Upstreams[g.name]
		if upstream == nil || upstream.Pool >= len(snapshot.Pools) || view.Upstreams[g.name].State != cluster.Live {
			continue
		}
		load[snapshot.Pools[upstream.Pool].Hash] += g.inFlight()
	}
	return load
}

func (s *gateSet) tick(now time.Time) {
	snapshot := s.options.Config()
	if snapshot == nil {
		return
	}
	for _, g := range s.all() {
		if upstream := snapshot.Upstreams[g.name]; upstream != nil {
			g.tick(now, upstream.Capacity, s.mean(upstream))
			s.updateState(now, g)
			continue
		}
		s.removeIdle(g)
	}
}

// removeIdle removes the gate of an upstream that is no longer declared, unless it
// has requests in flight.
func (s *gateSet) removeIdle(g *gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.inFlight() == 0 {
		delete(s.gates, g.name)
	}
}

// mean returns the expected number of requests in flight at an upstream: the
// pool's load per unit of weight, multiplied by the upstream's weight.
func (s *gateSet) mean(upstream *fleet.Upstream) float64 {
	snapshot := s.options.Config()
	view := s.options.View()
	if snapshot == nil || upstream.Pool >= len(snapshot.Pools) {
		return 0
	}
	pool := snapshot.Pools[upstream.Pool]
	weight := liveWeight(view, pool)
	if weight == 0 {
		return 0
	}
	return view.PoolLoad(pool.Hash) / weight * float64(upstream.Weight)
}

// liveWeight returns the total weight of the pool's live upstreams.
func liveWeight(view *cluster.View, pool *fleet.Pool) float64 {
	total := 0.0
	for _, upstream := range pool.Upstreams {
		state, known := view.Upstreams[upstream.Name]
		if known && state.State == cluster.Live {
			total += float64(upstream.Weight)
		}
	}
	return total
}

func (s *gateSet) inFlight() int {
	total := 0
	for _, g := range s.all() {
		total += g.inFlight()
	}
	return total
}

func (s *gateSet) loads(now time.Time) []status.Load {
	gates := s.all()
	loads := make([]status.Load, 0, len(gates))
	for _, g := range gates {
		loads = append(loads, g.status(now))
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Upstream < loads[j].Upstream })
	return loads
}

func (g *gate) status(now time.Time) status.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return status.Load{
		Upstream: g.name, InFlight: g.scheduler.InFlight() + g.forced, Queued: g.scheduler.Queued(),
		Limit: g.scheduler.Limit(now), Mean: g.mean, Foreign: g.foreign,
	}
}
