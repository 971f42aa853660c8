package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/ratelimit"
)

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

// decidePermit decides on a request. The caller holds the lock.
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

// allocator returns what decides on the permits of a service.
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
