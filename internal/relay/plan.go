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
	// Ranked are the names of the admitted upstreams that are live, or suspect
	// if none is live, best first.
	Ranked []string
	// Cached is the number of upstreams at the front of Ranked that are likely to
	// have part of the chat's prompt in their cache.
	Cached int
	// Key identifies the chat in the affinity cache.
	Key uint64
	// Sticky is set when later turns of the chat prefer the engines that ran
	// earlier ones.
	Sticky bool
	// Revision is the configuration revision that the plan was made under.
	Revision uint64
}

// Planner ranks upstreams from the current configuration and cluster view.
type Planner struct {
	config   func() *fleet.Snapshot
	view     func() *cluster.View
	drained  func(upstream string) bool
	strategy placement.Strategy
	nonce    atomic.Uint64

	mu            sync.Mutex
	affinityCache *placement.AffinityCache
}

// NewPlanner returns a planner over the given sources. It remembers the latest
// engines of up to rememberedChats chats. The configuration may be nil before the
// first revision is known.
func NewPlanner(config func() *fleet.Snapshot, view func() *cluster.View,
	drained func(string) bool, strategy placement.Strategy, rememberedChats int) *Planner {
	return &Planner{
		config: config, view: view, drained: drained, strategy: strategy,
		affinityCache: placement.NewAffinityCache(rememberedChats),
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
	candidates := p.usable(admitted)
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

// promote moves the upstreams that recently ran the chat to the front of the
// ranking and returns their number.
func (p *Planner) promote(plan Plan) int {
	if !plan.Sticky {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	recent, known := p.affinityCache.Lookup(plan.Key)
	if !known {
		return 0
	}
	return recent.Promote(plan.Ranked)
}

// RecordUpstream records in the affinity cache that an upstream runs a turn of
// the chat.
func (p *Planner) RecordUpstream(plan Plan, upstream string) {
	if !plan.Sticky {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.affinityCache.Record(plan.Key, upstream)
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

// usable returns the candidates to rank: the live upstreams, or the suspect ones
// when none is live, since an attempt at one of these is better than a refusal.
func (p *Planner) usable(admitted []*fleet.Upstream) []placement.Candidate {
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
