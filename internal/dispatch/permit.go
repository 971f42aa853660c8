package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/boottime"
	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/ratelimit"
)

const (
	// maxPreferred bounds the instances in one request for a permit, so that it fits in one
	// packet.
	maxPreferred = 8
	// lastWaitDivisor sets the part of the objective, a quarter, for which a call waits for
	// a permit if no instance without a rate limit takes it. If there is one, it waits for
	// a part of that.
	lastWaitDivisor      = 4
	otherWaitDivisor     = 4
	defaultPermitWait    = 100 * time.Millisecond
	unreachablePermitGap = 250 * time.Millisecond
	// minExhausted and maxExhausted bound the time for which an instance gets no requests for
	// permits after one was denied. The latter is the interval of the lowest rate limit.
	minExhausted = 10 * time.Millisecond
	maxExhausted = 5 * time.Second
	// maxWaitFactor bounds the wait of a permit, relative to the longest in its request: the
	// router that decides lets some calls wait longer.
	maxWaitFactor = 2
	// permitLifetime is how long after its time a permit may be used. It covers the opening
	// of a connection; a process that was paused for longer has to ask again.
	permitLifetime = 500 * time.Millisecond
)

// Permits asks the router that shares out the rate limits of a service for permits.
type Permits interface {
	// Acquire returns the decision on a request. If no router can decide, it is denied.
	Acquire(ctx context.Context, r *peerpb.PermitRequest) *peerpb.PermitResponse
}

// UndecidedPermit returns the denial of a request that no router can decide.
func UndecidedPermit() *peerpb.PermitResponse {
	return &peerpb.PermitResponse{NextUs: uint32(unreachablePermitGap.Microseconds())}
}

// selection are the instances that a call may be placed at.
type selection struct {
	candidates []instances.Candidate
	// sources take no call now; cached prompt parts can be fetched from them.
	sources []instances.Instance
	// limited and unlimited are all that could take the call, with and without a rate limit.
	limited, unlimited []instances.Candidate
	// last is set if only those with a rate limit are left.
	last bool
}

// selectInstances leaves out the instances whose rate limit is used up for the moment and,
// while others have a limit, those without one that have no room for a prompt. If none is
// left without a limit, all that have one are selected.
func (b *Balancer) selectInstances(now time.Time, c *call.Call, t target, all []instances.Candidate) selection {
	var s selection
	for _, candidate := range all {
		if b.registry.RateLimit(candidate.Instance) > 0 {
			s.limited = append(s.limited, candidate)
		} else {
			s.unlimited = append(s.unlimited, candidate)
		}
	}
	if len(s.limited) == 0 {
		s.candidates = all
		return s
	}
	for _, candidate := range s.unlimited {
		s.add(candidate, len(c.Prompt.Parts) == 0 || b.hasRoom(now, candidate))
	}
	if len(s.candidates) == 0 {
		return s.onlyLimited()
	}
	for _, candidate := range s.limited {
		s.add(candidate, !t.avoidLimited && !now.Before(b.exhausted[candidate.ID]))
	}
	return s
}

// add adds an instance that takes the call now, or as a source of cached parts only.
func (s *selection) add(c instances.Candidate, takes bool) {
	if takes {
		s.candidates = append(s.candidates, c)
		return
	}
	s.sources = append(s.sources, c.Instance)
}

// onlyLimited returns the selection of the instances with a rate limit.
func (s selection) onlyLimited() selection {
	out := selection{candidates: s.limited, limited: s.limited, last: true}
	for _, c := range s.unlimited {
		out.sources = append(out.sources, c.Instance)
	}
	return out
}

// hasRoom reports whether an instance has fewer calls than it begins to answer in time.
func (b *Balancer) hasRoom(now time.Time, c instances.Candidate) bool {
	return c.Slots <= 0 || b.loads.Load(now, c.ID).Calls < b.concurrency[c.ID].Limit(c.Slots)
}

// newPermitRequest returns the request for the permit that a pick needs.
func (b *Balancer) newPermitRequest(now time.Time, c *call.Call, t target, p *pick, s selection, excluded []string) *peerpb.PermitRequest {
	r := &peerpb.PermitRequest{
		Service: t.service, Last: s.last, Workspace: t.workspace, Random: placement.Uniform(c.ID),
		MaxWaitUs: uint32(permitWait(now, t, s.last).Microseconds()),
	}
	preferred := []instances.Instance{p.instance}
	if s.last {
		preferred = append(preferred, b.nextPreferred(now, c, p, s)...)
	}
	for _, i := range preferred {
		r.Preferred = append(r.Preferred, encodeLimit(now, b.registry.Statement(i)))
	}
	for _, id := range excluded {
		r.Excluded = append(r.Excluded, loadshare.Hash(id))
	}
	return r
}

// permitWait returns how long a call may wait for a permit.
func permitWait(now time.Time, t target, last bool) time.Duration {
	wait := defaultPermitWait
	if t.objective > 0 {
		wait = t.objective / lastWaitDivisor
	}
	if !last {
		wait /= otherWaitDivisor
	}
	return max(min(wait, t.deadline.Sub(now)/lastWaitDivisor), 0)
}

// nextPreferred returns the instances after the picked one: those that have cached most of
// the prompt, then those with the lowest load.
func (b *Balancer) nextPreferred(now time.Time, c *call.Call, p *pick, s selection) []instances.Instance {
	type scored struct {
		instance     instances.Instance
		cached, load int
	}
	_, hashes := promptParts(c)
	var others []scored
	for _, candidate := range s.candidates {
		if candidate.ID != p.instance.ID {
			others = append(others, scored{
				instance: candidate.Instance, cached: b.prefixIndex.CachedParts(now, candidate.ID, hashes),
				load: b.loads.Load(now, candidate.ID).Calls,
			})
		}
	}
	slices.SortStableFunc(others, func(a, b scored) int {
		if a.cached != b.cached {
			return b.cached - a.cached
		}
		return a.load - b.load
	})
	var out []instances.Instance
	for _, o := range others[:min(len(others), maxPreferred-1)] {
		out = append(out, o.instance)
	}
	return out
}

// usePermit applies the decision on the request of a pick. It returns the pick to send the
// call to, which may be another one, and nil if the permit is denied.
func (b *Balancer) usePermit(c *call.Call, service string, p *pick, response *peerpb.PermitResponse) *pick {
	b.mu.Lock()
	now := b.options.Now()
	changes := b.setRateLimits(now, response.GetLimits())
	granted := b.permittedPick(now, c, service, p, response)
	if granted == nil {
		b.exhausted[p.instance.ID] = now.Add(min(max(micros(response.GetNextUs()), minExhausted), maxExhausted))
	} else {
		b.begin(now, granted)
	}
	b.mu.Unlock()
	b.logRateLimits(now, changes, response.GetDecidedBy())
	return granted
}

// permittedPick returns the pick that a permit is for, nil if there is none. The caller
// holds the lock.
func (b *Balancer) permittedPick(now time.Time, c *call.Call, service string, p *pick, response *peerpb.PermitResponse) *pick {
	longest := maxWaitFactor * micros(p.permitRequest.GetMaxWaitUs())
	if !response.GetGranted() || micros(response.GetWaitUs()) > longest {
		return nil
	}
	if loadshare.Hash(p.instance.ID) == response.GetInstance() {
		return p
	}
	s := selection{}
	for _, candidate := range b.registry.Candidates(now, service, nil) {
		if loadshare.Hash(candidate.ID) == response.GetInstance() {
			s.candidates = append(s.candidates, candidate)
			continue
		}
		s.sources = append(s.sources, candidate.Instance)
	}
	if len(s.candidates) == 0 {
		return nil
	}
	return b.place(now, c, service, s)
}

func micros(us uint32) time.Duration { return time.Duration(us) * time.Microsecond }

// Acquire implements Permits for a router without others.
func (b *Balancer) Acquire(_ context.Context, r *peerpb.PermitRequest) *peerpb.PermitResponse {
	return b.DecidePermit("", r)
}

// DecidePermit decides on a request for the whole fleet, as the router that shares out the
// rate limits of its service.
func (b *Balancer) DecidePermit(router string, r *peerpb.PermitRequest) *peerpb.PermitResponse {
	b.mu.Lock()
	now := b.options.Now()
	changes := b.setRateLimits(now, r.GetPreferred())
	response := b.decidePermit(now, r)
	b.mu.Unlock()
	b.logRateLimits(now, changes, router)
	return response
}

func (b *Balancer) decidePermit(now time.Time, r *peerpb.PermitRequest) *peerpb.PermitResponse {
	response := &peerpb.PermitResponse{}
	request := ratelimit.Request{Last: r.GetLast(), MaxWait: micros(r.GetMaxWaitUs()), Workspace: r.GetWorkspace(), Random: r.GetRandom()}
	for _, asked := range r.GetPreferred() {
		if !validRateLimit(asked) {
			continue
		}
		known := b.knownLimit(now, asked)
		if known.GetPerSecond() != asked.GetPerSecond() {
			response.Limits = append(response.Limits, known)
		}
		if known.GetPerSecond() == 0 {
			// The limit has ended since.
			response.Granted, response.Instance = true, asked.GetInstance()
			return response
		}
		request.Preferred = append(request.Preferred, b.sharedLimit(known.GetInstance(), known.GetStartedMs(), known.GetPerSecond()))
	}
	if r.GetLast() {
		request.Others = b.otherLimits(now, r)
	}
	d := b.allocator(r.GetService()).Decide(now, request)
	response.Granted, response.Instance, response.WaitUs = d.Granted, d.Limit.Instance, uint32(d.Wait.Microseconds())
	response.NextUs, response.MaxWaitUs, response.Share = uint32(d.Next.Microseconds()), uint32(d.MaxWait.Microseconds()), d.Share.String()
	b.permits(r.GetService(), d.Granted).Inc(1)
	return response
}

// knownLimit returns the latest statement on an instance: this router's, or that of
// the request if the instance isn't known here.
func (b *Balancer) knownLimit(now time.Time, asked *peerpb.RateLimit) *peerpb.RateLimit {
	i, ok := b.registry.Instance(b.idByHash[asked.GetInstance()])
	if !ok || startMillis(i.StartedAt) != asked.GetStartedMs() {
		return asked
	}
	return encodeLimit(now, b.registry.Statement(i))
}

// otherLimits returns the limits of the other instances of a service.
func (b *Balancer) otherLimits(now time.Time, r *peerpb.PermitRequest) []ratelimit.Limit {
	named := slices.Clone(r.GetExcluded())
	for _, l := range r.GetPreferred() {
		named = append(named, l.GetInstance())
	}
	var out []ratelimit.Limit
	for _, c := range b.registry.Candidates(now, r.GetService(), nil) {
		rate, hash := b.registry.RateLimit(c.Instance), loadshare.Hash(c.ID)
		if rate > 0 && !slices.Contains(named, hash) {
			out = append(out, b.sharedLimit(hash, startMillis(c.StartedAt), rate))
		}
	}
	return out
}

// sharedLimit returns the part of an instance's limit that this router shares out.
func (b *Balancer) sharedLimit(instance uint32, startedMS int64, rate float64) ratelimit.Limit {
	return ratelimit.Limit{Instance: instance, StartedMS: startedMS, Rate: max(rate, instances.MinRateLimit) * b.limitShare}
}

func (b *Balancer) allocator(service string) *ratelimit.Allocator {
	a, ok := b.allocators[service]
	if !ok {
		a = ratelimit.NewAllocator()
		b.allocators[service] = a
	}
	return a
}

// permits returns the counter of the permits that were granted or denied for a service.
func (b *Balancer) permits(service string, granted bool) metrics.Counter {
	outcome := "denied."
	if granted {
		outcome = "granted."
	}
	return metrics.GetOrRegisterCounter("permits."+outcome+service, b.options.Registry)
}

// SetLimitShare sets the part of each rate limit, above zero and at most one, that this
// router shares out: less than one while it reaches less than half of the routers.
func (b *Balancer) SetLimitShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limitShare = share
}

// maxDenials is the number of permits that a call is denied before it avoids instances
// with a rate limit, or is rejected if there are no others.
const maxDenials = 1

// place returns the instance for the next attempt, nil if the call has ended.
func (r *run) place() *pick {
	for denials := 0; ; denials++ {
		t := r.target()
		t.avoidLimited = denials >= maxDenials
		p, rejected := r.dispatcher.options.Balancer.choose(r.call, t, r.excluded)
		switch {
		case rejected != nil:
			r.reject(rejected)
			return nil
		case p == nil:
			r.noInstance()
			return nil
		case p.permitRequest == nil:
			return p
		}
		permitted, response := r.acquirePermit(p)
		switch {
		case r.ctx.Err() != nil:
			r.outcome = "abandoned"
			return nil
		case permitted != nil:
			return permitted
		case p.permitRequest.GetLast() && (!response.GetGranted() || denials >= maxDenials):
			r.rejectLimited(p, response)
			return nil
		}
	}
}

// acquirePermit asks for the permit that a pick needs and waits for its time. It returns
// no pick if the permit is denied, or couldn't be used in time.
func (r *run) acquirePermit(p *pick) (*pick, *peerpb.PermitResponse) {
	b := r.dispatcher.options.Balancer
	askedAt := boottime.Now()
	response := r.dispatcher.options.Permits.Acquire(r.ctx, p.permitRequest)
	permitted := b.usePermit(r.call, r.service, p, response)
	r.dispatcher.options.Log.Decision("permit decided", decisionlog.Fields{
		"call": r.call.ID, "service": r.service, "instance": p.instance.ID, "per_s": p.permitRequest.GetPreferred()[0].GetPerSecond(),
		"limit_age_ms": p.permitRequest.GetPreferred()[0].GetAgeMs(), "granted": permitted != nil, "last": p.permitRequest.GetLast(),
		"wait_us": response.GetWaitUs(), "max_wait_us": response.GetMaxWaitUs(), "next_us": response.GetNextUs(),
		"share": response.GetShare(), "decided_by": response.GetDecidedBy(), "took_us": boottime.Now().Sub(askedAt).Microseconds(),
	})
	if permitted == nil {
		return nil, response
	}
	wait := micros(response.GetWaitUs())
	permitted.permitEnd = askedAt.Add(wait + permitLifetime)
	if err := pause.For(r.ctx, wait); err == nil && !permitted.permitExpired() {
		return permitted, response
	}
	r.dispatcher.metrics.expiredPermits.Inc(1)
	b.cancelPrefill(permitted)
	b.done(permitted)
	return nil, response
}

// permitExpired reports whether the call of a pick can't be sent any more. The permit's
// time counts from the request for it: the process may have been paused since.
func (p *pick) permitExpired() bool {
	return !p.permitEnd.IsZero() && !boottime.Now().Before(p.permitEnd)
}

// rejectLimited ends a call for which no permit is due in time.
func (r *run) rejectLimited(p *pick, response *peerpb.PermitResponse) {
	r.permitNext = min(max(micros(response.GetNextUs()), minExhausted), maxExhausted)
	r.dispatcher.options.Log.Decision("rate limits used up", decisionlog.Fields{
		"call": r.call.ID, "route": r.route.Name, "service": r.service, "workspace": r.workspaceName(),
		"instance": p.instance.ID, "candidates": p.candidates, "max_wait_us": response.GetMaxWaitUs(), "next_us": response.GetNextUs(),
		"share": response.GetShare(), "decided_by": response.GetDecidedBy(), "failed_sends": r.attempts,
	})
	r.end(r.finalVerdict(), attemptResult{result: instances.Shed})
}
