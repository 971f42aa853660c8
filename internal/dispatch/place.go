package dispatch

import (
	"github.com/verbenatrail/verbenatrail/internal/attempt"
	"github.com/verbenatrail/verbenatrail/internal/boottime"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// maxDenials is the number of permits that a call is denied before it avoids instances
// with a rate limit, or is rejected if there are no others.
const maxDenials = 1

// place returns the instance for the next attempt, nil if the call has ended. It takes the
// permit that the instance needs.
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
			r.endCanceled(attempt.Unsent)
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
