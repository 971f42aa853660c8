package relay

import (
	"sync"
	"sync/atomic"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// Plan is the order in which upstreams are tried for one call.
type Plan struct {
	// Ranked are the names of the live, admitted upstreams, best first.
	Ranked []string
	// Cached is the number of upstreams at the front that are likely to hold
	// part of the chat's prompt.
	Cached int
	// Key identifies the chat to the memory of chats.
	Key uint64
	// Sticky is set when later turns of the chat go where earlier ones ran.
	Sticky bool
	// Revision is the configuration that the plan was made under.
	Revision uint64
}

// Planner ranks upstreams from the current configuration and view.
type Planner struct {
	config   func() *fleet.Snapshot
	view     func() *cluster.View
	drained  func(upstream string) bool
	strategy placement.Strategy
	nonce    atomic.Uint64

	mu     sync.Mutex
	memory *placement.AffinityCache
}

// NewPlanner returns a planner over the given sources, which remembers where a
// number of chats ran. The configuration may be nil before the first revision
// is known.
func NewPlanner(config func() *fleet.Snapshot, view func() *cluster.View,
	drained func(string) bool, strategy placement.Strategy, rememberedChats int) *Planner {
	return &Planner{
		config: config, view: view, drained: drained, strategy: strategy,
		memory: placement.NewAffinityCache(rememberedChats),
	}
}

// Plan ranks the upstreams that a workspace's traffic for a target may use.
func (p *Planner) Plan(workspace, target, affinity string, kind fleet.UpstreamKind) (Plan, *refusal.Refusal) {
	snapshot := p.config()
	if snapshot == nil {
		return Plan{}, refusal.New(refusal.NoConfiguration,
			"this router has no configuration yet: retry, or ask the directory for another address").
			WithRetryAfter(retryAfterStart)
	}
	if r := checkTarget(snapshot, workspace, target, kind); r != nil {
		return Plan{}, r
	}
	admitted := snapshot.Candidates(workspace, target)
	if len(admitted) == 0 {
		return Plan{}, refusal.New(refusal.NoMatchingUpstream,
			"no selector admits workspace "+workspace+" to "+target+": add a selector or labels and apply them")
	}
	candidates := p.live(admitted)
	if len(candidates) == 0 {
		return Plan{}, refusal.New(refusal.NoLiveUpstream,
			"every upstream admitted for "+target+" is leaving or down: retry later").
			WithRetryAfter(retryAfterNoUpstream)
	}
	plan := Plan{
		Ranked: p.rank(affinity, candidates), Key: placement.Key(affinity),
		Sticky: kind == fleet.KindEngine && placement.Sticky(p.strategy), Revision: snapshot.Revision,
	}
	plan.Cached = p.promote(plan)
	return plan, nil
}

// promote moves the upstreams that ran the chat lately to the front.
func (p *Planner) promote(plan Plan) int {
	if !plan.Sticky {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	places, known := p.memory.Lookup(plan.Key)
	if !known {
		return 0
	}
	return places.Promote(plan.Ranked)
}

// RecordUpstream records that an upstream runs a turn of the chat.
func (p *Planner) RecordUpstream(plan Plan, upstream string) {
	if !plan.Sticky {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memory.Record(plan.Key, upstream)
}

func checkTarget(s *fleet.Snapshot, workspace, target string, kind fleet.UpstreamKind) *refusal.Refusal {
	if s.Workspaces[workspace] == nil {
		return refusal.New(refusal.UnknownWorkspace,
			"workspace "+workspace+" is not declared: check the Verbenatrail-Workspace header, or declare it")
	}
	if kind == fleet.KindEngine && !s.Models[target] {
		return refusal.New(refusal.UnknownModel,
			"model "+target+" is served by no declared engine: check the model's name")
	}
	if kind == fleet.KindService && s.Services[target] == nil {
		return refusal.New(refusal.UnknownService,
			"service "+target+" is not declared: check the path")
	}
	return nil
}

// live returns the candidates to rank: the live upstreams, or the suspect ones
// when none is live, since trying one of these beats refusing.
func (p *Planner) live(admitted []*fleet.Upstream) []placement.Candidate {
	view := p.view()
	candidates := p.inState(view, admitted, cluster.Live)
	if len(candidates) == 0 {
		return p.inState(view, admitted, cluster.Suspect)
	}
	return candidates
}

func (p *Planner) inState(view *cluster.View, admitted []*fleet.Upstream, state cluster.UpstreamState) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(admitted))
	for _, upstream := range admitted {
		if view.Upstreams[upstream.Name].State != state || p.drained(upstream.Name) {
			continue
		}
		candidates = append(candidates, placement.Candidate{Name: upstream.Name, Weight: float64(upstream.Weight)})
	}
	return candidates
}

func (p *Planner) rank(affinity string, candidates []placement.Candidate) []string {
	order := p.strategy.Rank(placement.Request{Key: placement.Key(affinity), Nonce: p.nonce.Add(1)}, candidates, nil)
	ranked := make([]string, 0, len(order))
	for _, index := range order {
		ranked = append(ranked, candidates[index].Name)
	}
	return ranked
}
