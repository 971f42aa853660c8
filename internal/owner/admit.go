package owner

import (
	"context"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/admission"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// waitingEventInterval is the time between two waiting events sent for a queued
// request.
const waitingEventInterval = time.Second

// admit waits for an admission slot at the request's upstream.
func (o *Owner) admit(ctx context.Context, request *peerpb.ForwardRequest, t *target, sink Sink) (*slot, *refusal.Refusal) {
	g := o.gates.gate(t.declared)
	start := time.Now()
	id, decision, waiter := g.offer(start, o.admissionRequest(request, t, g, start))
	switch decision.Verdict {
	case admission.Refused:
		o.Metrics.Refused.Inc(1)
		return nil, g.refusal(t, decision.Reason, decision.RetryAfter)
	case admission.Queued:
		o.Metrics.Queued.Inc(1)
		if refused := o.wait(ctx, g, id, waiter, t, sink); refused != nil {
			return nil, refused
		}
		o.Metrics.QueueWait.UpdateSince(start)
	}
	o.Metrics.Admitted.Inc(1)
	return o.guardedSlot(g, id, identityOf(request))
}

// guardedSlot registers an admitted request with the crash guard and returns its
// slot.
func (o *Owner) guardedSlot(g *gate, id uint64, request containment.Request) (*slot, *refusal.Refusal) {
	if refused := o.Guard.Start(time.Now(), g.name, request); refused != nil {
		g.cancel(time.Now(), id)
		return nil, refused
	}
	finished := func(end End) { o.Guard.Finish(time.Now(), g.name, request, end) }
	return &slot{gate: g, id: id, finished: finished}, nil
}

// resumedSlot returns a slot for a stream that the upstream already runs. The
// request is registered with the crash guard, unless the guard refuses it.
func (o *Owner) resumedSlot(g *gate, request containment.Request) *slot {
	s := g.forceAdmit()
	if o.Guard.Start(time.Now(), g.name, request) == nil {
		s.finished = func(end End) { o.Guard.Finish(time.Now(), g.name, request, end) }
	}
	return s
}

func (o *Owner) admissionRequest(request *peerpb.ForwardRequest, t *target, g *gate, now time.Time) admission.Request {
	weight := 1
	if workspace := t.snapshot.Workspaces[request.GetWorkspace()]; workspace != nil {
		weight = workspace.Weight
	}
	return admission.Request{
		Workspace: request.GetWorkspace(), Weight: weight,
		Class:    fleet.Priority(request.GetPriority()),
		Deadline: startDeadline(now, request, g.meanServiceTime()),
		MayWait:  request.GetMayWait(), PoolFull: request.GetPoolFull(),
		Flexible: request.GetFlexible(), PoolMean: float64(request.GetPoolMean()) * float64(max(t.declared.Weight, 1)),
	}
}

// wait blocks until a queued request starts or is refused.
func (o *Owner) wait(ctx context.Context, g *gate, id uint64, waiter <-chan admission.Effect, t *target, sink Sink) *refusal.Refusal {
	ticker := time.NewTicker(waitingEventInterval)
	defer ticker.Stop()
	for {
		select {
		case effect := <-waiter:
			if effect.Kind == admission.Start {
				return nil
			}
			o.Metrics.Refused.Inc(1)
			return g.refusal(t, effect.Reason, effect.RetryAfter)
		case <-ctx.Done():
			g.cancel(time.Now(), id)
			return refusal.New(refusal.DeadlineExceeded, "the caller stopped waiting: retry with a longer time limit")
		case <-ticker.C:
			if err := sink(waitingEvent()); err != nil {
				g.cancel(time.Now(), id)
				return refusal.New(refusal.DeadlineExceeded, "the caller stopped waiting: retry with a longer time limit")
			}
		}
	}
}

// refusal includes the current load, from which the requesting router computes
// the mean load of the pool.
func (g *gate) refusal(t *target, reason admission.Reason, retryAfter time.Duration) *refusal.Refusal {
	refused := admissionRefusal(t.declared.Name, reason, retryAfter)
	refused.UpstreamLoad = float64(g.load()) / float64(max(t.declared.Weight, 1))
	return refused
}

func admissionRefusal(upstream string, reason admission.Reason, retryAfter time.Duration) *refusal.Refusal {
	var refused *refusal.Refusal
	switch reason {
	case admission.ReasonOverBound:
		refused = refusal.New(refusal.OverBound, upstream+" is at its bound: try another or retry later")
	case admission.ReasonAboveMean:
		refused = refusal.New(refusal.AboveMean, upstream+" is above the mean of its pool: try another")
	case admission.ReasonQueueFull:
		refused = refusal.New(refusal.Overloaded, "too many requests wait for "+upstream+": retry after the given time")
	case admission.ReasonDraining:
		refused = refusal.New(refusal.Leaving, upstream+" is leaving: try another")
	case admission.ReasonDeadline:
		refused = refusal.New(refusal.QueueTimeout, upstream+" can't start the request within its time limit: retry after the given time")
	default:
		refused = refusal.New(refusal.InternalError, "admission failed: "+reason.String())
	}
	return refused.WithRetryAfter(max(retryAfter, retryAfterBusy))
}

// startDeadline returns the latest time at which a request may start. It leaves
// serviceTime for the response before the request's timeout; a request whose
// timeout is shorter than that may still start immediately. A wait limit in the
// request applies to the start itself.
func startDeadline(now time.Time, request *peerpb.ForwardRequest, serviceTime time.Duration) time.Time {
	limit := time.Duration(request.GetTimeoutMs()) * time.Millisecond
	wait := max(limit-serviceTime, gateTick)
	if maxWait := time.Duration(request.GetWaitMs()) * time.Millisecond; maxWait > 0 {
		wait = min(wait, maxWait)
	}
	return now.Add(wait)
}
