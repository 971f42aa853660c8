// Package dispatch proxies calls to instances: it picks an instance, sends the
// call, decides what to do about failures and forwards the response. The
// decision logic is in the packages placement, instances, loadshare, retry,
// attempt and containment.
package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/locality"
	"github.com/verbenatrail/verbenatrail/internal/overload"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/ratelimit"
	"github.com/verbenatrail/verbenatrail/internal/retry"
)

// BalancerOptions configure a Balancer.
type BalancerOptions struct {
	// Location is where this router runs.
	Location    locality.Location
	RetryBudget retry.WindowSettings
	// LastResortPeriod is how long an instance that leaves may take calls that no
	// other instance can take.
	LastResortPeriod time.Duration
	Containment      containment.Settings
	Log              *decisionlog.Log
	// OnStrikes is called with the strikes of one crash to send to the other routers. It
	// must not block.
	OnStrikes func([]*peerpb.Strike)
	// OnTrials is called with the trials of one call to send to the other routers. It must
	// not block.
	OnTrials func([]*peerpb.Trial)
	// OnDigestChange is called when instances are about to cache prompt parts
	// that the other routers don't know of. It must not block.
	OnDigestChange func()
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Registry is where the counters are registered; nil means a new registry.
	Registry metrics.Registry
}

// Balancer holds the state that is used to pick instances. One mutex guards it;
// no method does I/O.
type Balancer struct {
	options BalancerOptions

	mu          sync.Mutex
	registry    *instances.Registry
	loads       *loadshare.Table
	prefixIndex *placement.PrefixIndex
	baselines   *latencyBaselines
	windows     map[string]*retry.Window
	containment *containment.Containment
	overload    map[string]*overload.Service
	routers     int
	// coverageTime is how long it takes until each router has been sent a digest.
	coverageTime time.Duration
	// idByHash maps the hashes of listed instances to their IDs.
	idByHash map[uint32]string
	// recentParts are the prompt parts to report in digests.
	recentParts []recentPart
	// invalidLimits are the last rate limits of instances that can't be decoded, by ID.
	invalidLimits map[string]string
	// exhausted is until when no permit for instances with a rate limit is due, by ID.
	exhausted map[string]time.Time
	// concurrency is how many calls with a prompt instances begin to answer in time, by ID.
	concurrency map[string]*overload.Concurrency
	// allocators decide on the permits of services for the whole fleet, by service.
	allocators map[string]*ratelimit.Allocator
	// limitShare is the part of each rate limit that this router shares out.
	limitShare float64
	limitNews  limitNews
	// broken are the calls whose instances may have crashed and restarted.
	broken []brokenCall

	strikes, acquittals metrics.Counter
}

// NewBalancer returns a Balancer without instances.
func NewBalancer(o BalancerOptions) *Balancer {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnStrikes == nil {
		o.OnStrikes = func([]*peerpb.Strike) {}
	}
	if o.OnTrials == nil {
		o.OnTrials = func([]*peerpb.Trial) {}
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.OnDigestChange == nil {
		o.OnDigestChange = func() {}
	}
	registry := instances.New()
	registry.SetLastResortPeriod(o.LastResortPeriod)
	return &Balancer{
		options: o, registry: registry, loads: loadshare.New(), prefixIndex: placement.NewPrefixIndex(),
		baselines: newLatencyBaselines(),
		windows:   make(map[string]*retry.Window), containment: containment.New(o.Containment), routers: 1,
		idByHash: make(map[uint32]string), invalidLimits: make(map[string]string), limitShare: 1,
		exhausted: make(map[string]time.Time), concurrency: make(map[string]*overload.Concurrency), allocators: make(map[string]*ratelimit.Allocator), overload: make(map[string]*overload.Service),
		strikes:    metrics.GetOrRegisterCounter("containment.strikes", o.Registry),
		acquittals: metrics.GetOrRegisterCounter("containment.acquittals", o.Registry),
	}
}

// pick is the instance chosen for one attempt, with the reasons for the choice.
type pick struct {
	instance instances.Instance
	state    instances.State
	// fetchFrom is the address of an instance that has more of the prompt in its
	// cache; empty if there is none.
	fetchFrom string
	parts     []uint64
	// prefillTokens is the number of tokens in shared prompt parts that the
	// instance has not cached and has to process.
	prefillTokens int
	// prefilled is set once these tokens are no longer counted as pending.
	prefilled bool
	load      int
	mean      float64
	// loadAtReply is the number of calls at the instance when it replied, as it reported
	// itself; before, and without a report, it is the estimate at the choice.
	loadAtReply int
	// candidates is the number of instances that were considered.
	candidates int
	// oldestLoadAge is the age of the oldest peer report in the load estimates.
	oldestLoadAge time.Duration
	// permitRequest is what the pick needs a permit for before the call is sent, nil if
	// the instance has no rate limit.
	permitRequest *peerpb.PermitRequest
	// version is the only software version that may take the call, empty for any.
	version string
	// permitEnd is until when the permit may be used, by package boottime; zero if none is
	// needed.
	permitEnd time.Time
}

// target is what a call is to be placed at.
type target struct {
	service   string
	workspace string
	// objective is the latency within which the caller wants the answer, zero if none
	// is known.
	objective time.Duration
	// timeLeft is the time that the caller waited at most when the call arrived.
	timeLeft time.Duration
	// deadline is when the call must be answered.
	deadline time.Time
	// version is the only software version that may take the call, empty for any.
	version string
	// versions are those at which the call is better begun, in order of preference.
	versions [][]string
	// avoidLimited is set if no instance with a rate limit is to be picked while there is
	// another one.
	avoidLimited bool
}

// choose picks an instance and adds the call to its load, unless the pick needs a permit:
// usePermit adds it then. It returns nil if no instance can take the call, and the
// decision that rejects it if the service is short of places. The caller must call done
// after the attempt.
func (b *Balancer) choose(c *call.Call, t target, excluded []string) (*pick, *overload.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Now()
	candidates := b.candidates(now, t, excluded)
	if len(candidates) == 0 {
		return nil, nil
	}
	s := b.selectInstances(now, c, t, candidates)
	p, rejected := b.placeAdmitted(now, c, t, s)
	if rejected != nil && len(s.limited) > 0 && !s.last {
		// What exceeds the room of the others waits for a permit.
		s = s.onlyLimited()
		p, rejected = b.placeAdmitted(now, c, t, s)
	}
	if rejected != nil {
		return nil, rejected
	}
	if b.registry.RateLimit(p.instance) > 0 {
		p.version = t.version
		p.permitRequest = b.newPermitRequest(now, c, t, p, s, excluded)
		return p, nil
	}
	b.begin(now, p)
	return p, nil
}

// candidates returns the instances that may take a call, of the versions at which it is
// better begun if there are any.
func (b *Balancer) candidates(now time.Time, t target, excluded []string) []instances.Candidate {
	all := b.registry.CandidatesAt(now, t.service, t.version, excluded)
	for _, versions := range t.versions {
		preferred := slices.DeleteFunc(slices.Clone(all), func(c instances.Candidate) bool { return !slices.Contains(versions, c.Version) })
		if len(preferred) > 0 {
			all = preferred
		}
	}
	return all
}

// placeAdmitted picks one of the selected instances. It returns the decision that rejects
// a plain call if they are short of places.
func (b *Balancer) placeAdmitted(now time.Time, c *call.Call, t target, s selection) (*pick, *overload.Decision) {
	p := b.place(now, c, t.service, s)
	if len(c.Prompt.Parts) > 0 {
		return p, nil
	}
	if d := b.decideOverload(now, c, t, p); !d.Admitted {
		return nil, &d
	}
	return p, nil
}

// place picks one of the selected instances.
func (b *Balancer) place(now time.Time, c *call.Call, service string, s selection) *pick {
	var p *pick
	if len(c.Prompt.Parts) > 0 {
		p = b.chooseByPrompt(now, c, service, s)
	} else {
		p = b.chooseByLoad(now, c, s.candidates)
	}
	p.loadAtReply = p.load
	p.candidates, p.oldestLoadAge = len(s.candidates), b.loads.OldestPeerAge(now)
	return p
}

// begin adds the call of a pick to the load of its instance.
func (b *Balancer) begin(now time.Time, p *pick) {
	b.loads.Begin(p.instance.ID, p.prefillTokens)
	b.recordExpectedParts(now, p)
}

// recordExpectedParts records that an instance is about to cache a prompt's
// parts, so that later calls that share them go to the same instance, and queues
// the parts for the next digest.
func (b *Balancer) recordExpectedParts(now time.Time, p *pick) {
	if len(p.parts) == 0 || !b.prefixIndex.Add(now, p.instance.ID, p.parts) {
		return
	}
	for _, part := range p.parts {
		b.recentParts = append(b.recentParts, recentPart{at: now, instance: p.instance.ID, part: part})
	}
	b.options.OnDigestChange()
}

// promptParts returns the shared parts of a call's prompt, and their hashes.
func promptParts(c *call.Call) (parts []placement.PromptPart, hashes []uint64) {
	for _, part := range c.Prompt.Shared() {
		parts = append(parts, placement.PromptPart{ID: part.ID, Tokens: part.Tokens})
	}
	return parts, placement.PartHashes(c.Prompt.Model, parts)
}

func (b *Balancer) chooseByPrompt(now time.Time, c *call.Call, service string, s selection) *pick {
	parts, hashes := promptParts(c)
	candidates, sources := s.candidates, append(b.registry.Draining(now, service), s.sources...)
	scored := make([]placement.PromptCandidate, 0, len(candidates)+len(sources))
	for _, candidate := range candidates {
		load := b.loads.Load(now, candidate.ID)
		scored = append(scored, placement.PromptCandidate{
			Name: candidate.ID, Load: load.Calls, PendingPrefillTokens: load.PendingPrefillTokens,
			CachedParts: b.prefixIndex.CachedParts(now, candidate.ID, hashes),
			Degraded:    candidate.State == instances.Degraded, Distance: b.options.Location.DistanceTo(candidate.Location),
		})
	}
	for _, i := range sources {
		scored = append(scored, placement.PromptCandidate{
			Name: i.ID, CachedParts: b.prefixIndex.CachedParts(now, i.ID, hashes), SourceOnly: true,
		})
	}
	choice := placement.ChoosePrompt(placement.DefaultPromptSettings(), parts, scored)
	chosen := candidates[choice.Index]
	p := &pick{
		instance: chosen.Instance, state: chosen.State, parts: hashes, prefillTokens: choice.UncachedTokens,
		load: scored[choice.Index].Load, mean: choice.Mean,
	}
	switch {
	case choice.Source >= len(candidates):
		p.fetchFrom = sources[choice.Source-len(candidates)].Address
	case choice.Source >= 0:
		p.fetchFrom = candidates[choice.Source].Address
	}
	return p
}

func (b *Balancer) chooseByLoad(now time.Time, c *call.Call, candidates []instances.Candidate) *pick {
	loaded := make([]placement.LoadCandidate, 0, len(candidates))
	for _, candidate := range candidates {
		loaded = append(loaded, placement.LoadCandidate{
			Name: candidate.ID, Load: b.loads.Load(now, candidate.ID).Calls, Slots: candidate.Slots,
			Distance: b.options.Location.DistanceTo(candidate.Location), Degraded: candidate.State == instances.Degraded,
			Cold: now.Before(candidate.WarmUpEnd),
		})
	}
	index, mean := placement.ChooseByLoad(placement.Key(c.ID), loaded)
	return &pick{
		instance: candidates[index].Instance, state: candidates[index].State,
		load: loaded[index].Load, mean: mean,
	}
}

// done removes the call from the instance's load.
func (b *Balancer) done(p *pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.markPrefilled(p)
	b.loads.End(p.instance.ID)
}

// recordFirstByte records that the response has started, which means that the
// instance has processed the whole prompt.
func (b *Balancer) recordFirstByte(p *pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.markPrefilled(p)
}

// markPrefilled subtracts the call's prefill tokens from the instance's load. Only
// the first call for a pick has an effect. The caller holds the lock.
func (b *Balancer) markPrefilled(p *pick) {
	if !p.prefilled {
		p.prefilled = true
		b.loads.Prefilled(p.instance.ID, p.prefillTokens)
	}
}

// cancelPrefill drops the prompt parts that the instance was expected to cache,
// after a failed attempt. It must be called before done.
func (b *Balancer) cancelPrefill(p *pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.prefilled && p.prefillTokens > 0 {
		b.prefixIndex.Remove(p.instance.ID, p.parts)
	}
}
