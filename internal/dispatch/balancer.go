// Package dispatch takes calls to instances: it picks one, sends, decides about
// failures, and passes the answer on. Its decisions are in the packages
// placement, instances, loadshare, retry, attempt and containment.
package dispatch

import (
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/locality"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/retry"
)

// BalancerOptions configure a Balancer.
type BalancerOptions struct {
	// Place is this router's.
	Place       locality.Place
	RetryBudget retry.WindowSettings
	Containment containment.Settings
	Log         *decisionlog.Log
	// OnStrike is called for each strike that other routers should hear of. It
	// must not block.
	OnStrike func(*peerpb.Strike)
	// OnDigestChange is called when other routers should hear what instances read. It must
	// not block.
	OnDigestChange func()
	// Now is the clock; nil takes the machine's.
	Now func() time.Time
}

// Balancer holds the state that decides where calls go. One mutex guards it;
// no method does I/O.
type Balancer struct {
	options BalancerOptions

	mu       sync.Mutex
	registry *instances.Registry
	loads    *loadshare.Table
	holdings *placement.PrefixIndex
	expected *expectations
	windows  map[string]*retry.Window
	crashes  *containment.Containment
	routers  int
	// names maps hashes of listed instances to their IDs.
	names map[uint32]string
	// news are the parts that were read lately.
	news []readNews
}

// NewBalancer returns a Balancer that knows no instances.
func NewBalancer(o BalancerOptions) *Balancer {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnStrike == nil {
		o.OnStrike = func(*peerpb.Strike) {}
	}
	if o.OnDigestChange == nil {
		o.OnDigestChange = func() {}
	}
	return &Balancer{
		options: o, registry: instances.New(), loads: loadshare.New(), holdings: placement.NewPrefixIndex(),
		expected: newExpectations(),
		windows:  make(map[string]*retry.Window), crashes: containment.New(o.Containment), routers: 1,
		names: make(map[uint32]string),
	}
}

// pick is the choice of an instance for one send.
type pick struct {
	instance instances.Instance
	state    instances.State
	// fetchFrom is the address of an instance that holds more of the prompt.
	fetchFrom string
	parts     []uint64
	// unread is the number of shared tokens that the instance has to read.
	unread int
	// read is set once it has.
	read bool
	load int
	mean float64
	// candidates is the number of instances that were considered.
	candidates int
	// loadAge is the age of the oldest word of another router in the loads.
	loadAge time.Duration
}

// choose picks an instance and counts the call there; false when there is none.
// The caller must call done.
func (b *Balancer) choose(c *call.Call, service string, excluded []string) (*pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Now()
	candidates := b.registry.Candidates(now, service, excluded)
	if len(candidates) == 0 {
		return nil, false
	}
	var p *pick
	if len(c.Prompt.Parts) > 0 {
		p = b.chooseByPrompt(now, c, service, candidates)
	} else {
		p = b.chooseByLoad(now, c, candidates)
	}
	p.candidates, p.loadAge = len(candidates), b.loads.OldestPeerAge(now)
	b.loads.Begin(p.instance.ID, p.unread)
	b.expectHeld(now, p)
	return p, true
}

// expectHeld notes that an instance is about to read a prompt's parts, so that
// calls that share them follow it there, and has other routers told.
func (b *Balancer) expectHeld(now time.Time, p *pick) {
	if len(p.parts) == 0 || !b.holdings.Add(now, p.instance.ID, p.parts) {
		return
	}
	for _, part := range p.parts {
		b.news = append(b.news, readNews{at: now, instance: p.instance.ID, part: part})
	}
	b.options.OnDigestChange()
}

func (b *Balancer) chooseByPrompt(now time.Time, c *call.Call, service string, candidates []instances.Candidate) *pick {
	shared := c.Prompt.Shared()
	parts := make([]placement.PromptPart, 0, len(shared))
	for _, part := range shared {
		parts = append(parts, placement.PromptPart{ID: part.ID, Tokens: part.Tokens})
	}
	hashes := placement.PartHashes(c.Prompt.Model, parts)
	leaving := b.registry.Draining(now, service)
	scored := make([]placement.PromptCandidate, 0, len(candidates)+len(leaving))
	for _, candidate := range candidates {
		load := b.loads.Load(now, candidate.ID)
		scored = append(scored, placement.PromptCandidate{
			Name: candidate.ID, Load: load.Calls, PendingPrefillTokens: load.PendingPrefillTokens,
			CachedParts: b.holdings.CachedParts(now, candidate.ID, hashes),
			Degraded:    candidate.State == instances.Degraded, Distance: b.options.Place.DistanceTo(candidate.Place),
		})
	}
	for _, i := range leaving {
		scored = append(scored, placement.PromptCandidate{
			Name: i.ID, CachedParts: b.holdings.CachedParts(now, i.ID, hashes), SourceOnly: true,
		})
	}
	choice := placement.ChoosePrompt(placement.DefaultPromptSettings(), parts, scored)
	chosen := candidates[choice.Index]
	p := &pick{
		instance: chosen.Instance, state: chosen.State, parts: hashes, unread: choice.UncachedTokens,
		load: scored[choice.Index].Load, mean: choice.Mean,
	}
	switch {
	case choice.Source >= len(candidates):
		p.fetchFrom = leaving[choice.Source-len(candidates)].Address
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
			Distance: b.options.Place.DistanceTo(candidate.Place), Degraded: candidate.State == instances.Degraded,
			Cold: now.Before(candidate.WarmUpEnd),
		})
	}
	index, mean := placement.ChooseByLoad(placement.Key(c.ID), loaded)
	return &pick{
		instance: candidates[index].Instance, state: candidates[index].State,
		load: loaded[index].Load, mean: mean,
	}
}

// done ends what choose began.
func (b *Balancer) done(p *pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readPrompt(p)
	b.loads.End(p.instance.ID)
}

// firstByte tells that an instance began to answer: it has read the prompt.
func (b *Balancer) firstByte(p *pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readPrompt(p)
}

// readPrompt takes what a call had to read off its instance's load, once.
func (b *Balancer) readPrompt(p *pick) {
	if !p.read {
		p.read = true
		b.loads.Prefilled(p.instance.ID, p.unread)
	}
}

// notRead tells that a send failed: what the instance was expected to read is
// no longer expected there. It comes before done.
func (b *Balancer) notRead(p *pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.read && p.unread > 0 {
		b.holdings.Remove(p.instance.ID, p.parts)
	}
}
