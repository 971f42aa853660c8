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
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// BalancerOptions configure a Balancer.
type BalancerOptions struct {
	Zone        string
	Retries     retry.WindowSettings
	Containment containment.Settings
	Log         *decisionlog.Log
	// Strike is called for each strike that other routers should hear of. It
	// must not block.
	Strike func(*peerpb.Strike)
	// News is called when other routers should hear what instances read. It must
	// not block.
	News func()
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
	holdings *placement.Holdings
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
	if o.Strike == nil {
		o.Strike = func(*peerpb.Strike) {}
	}
	if o.News == nil {
		o.News = func() {}
	}
	return &Balancer{
		options: o, registry: instances.New(), loads: loadshare.New(), holdings: placement.NewHoldings(),
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
	load   int
	mean   float64
	// candidates is the number of instances that were considered.
	candidates int
	// loadAge is the age of the oldest word of another router in the loads.
	loadAge time.Duration
}

// choose picks an instance and counts the call there; false when there is none.
// The caller must call done.
func (b *Balancer) choose(c *call.Call, service string, excluded []string) (pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Now()
	candidates := b.registry.Candidates(now, service, excluded)
	if len(candidates) == 0 {
		return pick{}, false
	}
	var p pick
	if len(c.Prompt.Parts) > 0 {
		p = b.chooseByPrompt(now, c, service, candidates)
	} else {
		p = b.chooseByLoad(now, c, candidates)
	}
	p.candidates, p.loadAge = len(candidates), b.loads.Age(now)
	b.loads.Begin(p.instance.ID, p.unread)
	b.expectHeld(now, p)
	return p, true
}

// expectHeld notes that an instance is about to read a prompt's parts, so that
// calls that share them follow it there, and has other routers told.
func (b *Balancer) expectHeld(now time.Time, p pick) {
	if len(p.parts) == 0 || !b.holdings.Note(now, p.instance.ID, p.parts) {
		return
	}
	for _, part := range p.parts {
		b.news = append(b.news, readNews{at: now, instance: p.instance.ID, part: part})
	}
	b.options.News()
}

func (b *Balancer) chooseByPrompt(now time.Time, c *call.Call, service string, candidates []instances.Candidate) pick {
	shared := c.Prompt.Shared()
	parts := make([]placement.PromptPart, 0, len(shared))
	for _, part := range shared {
		parts = append(parts, placement.PromptPart{ID: part.ID, Tokens: part.Tokens})
	}
	hashes := placement.PartHashes(c.Prompt.Model, parts)
	leaving := b.registry.Leaving(now, service)
	scored := make([]placement.PromptCandidate, 0, len(candidates)+len(leaving))
	for _, candidate := range candidates {
		load := b.loads.Load(now, candidate.ID)
		scored = append(scored, placement.PromptCandidate{
			Name: candidate.ID, Load: load.Calls, Reading: load.Reading,
			Depth:    b.holdings.Depth(now, candidate.ID, hashes),
			Degraded: candidate.State == instances.Degraded,
		})
	}
	for _, i := range leaving {
		scored = append(scored, placement.PromptCandidate{
			Name: i.ID, Depth: b.holdings.Depth(now, i.ID, hashes), SourceOnly: true,
		})
	}
	choice := placement.ChoosePrompt(placement.DefaultPromptSettings(), parts, scored)
	chosen := candidates[choice.Index]
	p := pick{
		instance: chosen.Instance, state: chosen.State, parts: hashes, unread: choice.Unread,
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

func (b *Balancer) chooseByLoad(now time.Time, c *call.Call, candidates []instances.Candidate) pick {
	loaded := make([]placement.LoadCandidate, 0, len(candidates))
	for _, candidate := range candidates {
		loaded = append(loaded, placement.LoadCandidate{
			Name: candidate.ID, Load: b.loads.Load(now, candidate.ID).Calls, Slots: candidate.Slots,
			Near: candidate.Zone == b.options.Zone, Degraded: candidate.State == instances.Degraded,
			Cold: now.Before(candidate.WarmAt),
		})
	}
	index, mean := placement.ChooseByLoad(placement.Key(c.ID), loaded)
	return pick{
		instance: candidates[index].Instance, state: candidates[index].State,
		load: loaded[index].Load, mean: mean,
	}
}

// done ends what choose began.
func (b *Balancer) done(p pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads.Read(p.instance.ID, p.unread)
	b.loads.End(p.instance.ID)
}

// firstByte tells that an instance began to answer: it has read the prompt.
func (b *Balancer) firstByte(p *pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads.Read(p.instance.ID, p.unread)
	p.unread = 0
}

// notRead tells that an instance did not read what it was expected to.
func (b *Balancer) notRead(p pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.unread > 0 {
		b.holdings.Drop(p.instance.ID, p.parts)
	}
}

// report takes the result of a send. Took is the time to the first byte, zero
// when it says nothing about the instance's speed.
func (b *Balancer) report(p pick, route *routing.Route, result instances.Result, took time.Duration) {
	b.mu.Lock()
	now := b.options.Now()
	slowness := 0.0
	if took > 0 {
		slowness = b.expected.slowness(route.Name, took)
	}
	changes := b.registry.Report(now, p.instance.ID, result, slowness)
	b.mu.Unlock()
	b.logChanges(changes)
}

// heardLoad takes an instance's own word about its load.
func (b *Balancer) heardLoad(p pick, load *call.Load) {
	if load == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads.HearInstance(b.options.Now(), p.instance.ID, load.Running+load.Waiting)
}

// requested counts a caller's call of a service.
func (b *Balancer) requested(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).Requested(b.options.Now())
}

// takeRepeat counts a repeat to a service if this router's share of the
// fleet's budget allows it.
func (b *Balancer) takeRepeat(service string, need retry.Need) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).Take(b.options.Now(), b.routers, need)
}

func (b *Balancer) window(service string) *retry.Window {
	w, ok := b.windows[service]
	if !ok {
		w = retry.NewWindow(b.options.Retries)
		b.windows[service] = w
	}
	return w
}

// contained returns the verdict on a call that may crash instances.
func (b *Balancer) contained(fingerprint uint64) containment.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Check(b.options.Now(), fingerprint)
}

// finished clears a call that an instance has run to its end.
func (b *Balancer) finished(fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes.Finished(b.options.Now(), fingerprint)
}

// crashed gives a strike to a call whose instance crashed while it ran it.
func (b *Balancer) crashed(p pick, fingerprint uint64) {
	b.mu.Lock()
	crash := placement.Key(p.instance.ID)
	strikes := b.crashes.Crash(b.options.Now(), p.instance.ID, crash, []uint64{fingerprint})
	b.mu.Unlock()
	for _, strike := range strikes {
		b.options.Log.Decision("call suspected of a crash", decisionlog.Fields{
			"fingerprint": fingerprint, "instance": p.instance.ID, "strikes_sent": len(strikes),
		})
		b.options.Strike(strike)
	}
}

// HearStrike takes a strike of another router, and reports whether it was news.
func (b *Balancer) HearStrike(s *peerpb.Strike) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Merge(b.options.Now(), s)
}

// HearPeer takes what another router tells of its calls.
func (b *Balancer) HearPeer(name string, d *peerpb.Digest) {
	work := make(map[uint32]loadshare.Work, len(d.GetLoads()))
	for _, l := range d.GetLoads() {
		work[l.GetInstance()] = loadshare.Work{Calls: int(l.GetInFlight()), Reading: int(l.GetReading())}
	}
	b.mu.Lock()
	b.loads.HearPeer(b.options.Now(), name, work)
	b.mu.Unlock()
	b.HearHeld(d.GetHeld())
}

// ForgetPeer drops the loads of a router that has gone.
func (b *Balancer) ForgetPeer(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads.ForgetPeer(name)
}

// SetRetries changes the budget of repeats; what was counted is forgotten.
func (b *Balancer) SetRetries(s retry.WindowSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == b.options.Retries {
		return
	}
	b.options.Retries = s
	clear(b.windows)
}

// SetRouters sets the number of routers that share the budget of repeats.
func (b *Balancer) SetRouters(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = max(n, 1)
}

// SetInstances takes the platform's whole listing.
func (b *Balancer) SetInstances(listed []instances.Instance) {
	b.mu.Lock()
	changes := b.registry.Replace(b.options.Now(), listed)
	for _, i := range listed {
		b.names[loadshare.Hash(i.ID)] = i.ID
	}
	b.forgetLost(changes)
	b.mu.Unlock()
	b.logChanges(changes)
}

// ListingLost tells that the platform's listing was not confirmed since a
// moment.
func (b *Balancer) ListingLost(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.ListingLost(since)
}

// ListingBack tells that the platform's listing can be read again.
func (b *Balancer) ListingBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.ListingBack(b.options.Now())
}

// Tick ends time spans; call it a few times a second.
func (b *Balancer) Tick() {
	b.mu.Lock()
	now := b.options.Now()
	b.loads.Tick(now)
	changes := b.registry.Tick(now)
	b.forgetLost(changes)
	b.mu.Unlock()
	b.logChanges(changes)
}

// forgetLost drops what is known of instances that have gone or begun anew.
func (b *Balancer) forgetLost(changes []instances.Change) {
	for _, change := range changes {
		if change.State == instances.Gone || change.Reason == instances.ReasonStarted {
			b.holdings.Forget(change.Instance.ID)
			b.loads.Forget(change.Instance.ID)
		}
		if change.State == instances.Gone {
			delete(b.names, loadshare.Hash(change.Instance.ID))
		}
	}
}

// InstanceCount returns the number of instances that may take work.
func (b *Balancer) InstanceCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.registry.Counts(b.options.Now())
	return counts[instances.Healthy] + counts[instances.Degraded] + counts[instances.Suspect]
}

func (b *Balancer) logChanges(changes []instances.Change) {
	for _, change := range changes {
		b.options.Log.Decision("instance changed", decisionlog.Fields{
			"instance": change.Instance.ID, "service": change.Instance.Service,
			"address": change.Instance.Address, "state": change.State.String(), "reason": change.Reason,
		})
	}
}

// hasOther reports whether a service has a healthy instance besides some.
func (b *Balancer) hasOther(service string, excluded []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.registry.Candidates(b.options.Now(), service, excluded)
	return len(candidates) > 0 && candidates[0].State < instances.Suspect
}
