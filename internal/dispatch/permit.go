package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

const (
	// maxPreferred bounds the instances in one request for a permit, so that it fits in one
	// packet.
	maxPreferred = 8
	// lastWaitDivisor sets the part of the objective, and of the time left, for which a call
	// waits for a permit if no instance without a rate limit takes it: a quarter. If there
	// is one, otherWaitDivisor sets the part of that.
	lastWaitDivisor  = 4
	otherWaitDivisor = 4
	// defaultPermitWait is the wait of calls without an objective.
	defaultPermitWait = 100 * time.Millisecond
	// undecidedRetry is the time until a permit is asked for again if no router could decide.
	undecidedRetry = 250 * time.Millisecond
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
	return &peerpb.PermitResponse{NextUs: uint32(undecidedRetry.Microseconds())}
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
	for _, other := range b.registry.Candidates(now, t.service, excluded) {
		if t.version != "" && other.Version != t.version {
			r.Excluded = append(r.Excluded, loadshare.Hash(other.ID))
		}
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
	for _, candidate := range b.registry.CandidatesAt(now, service, p.version, nil) {
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
