package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/attempt"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/serving"
)

// checkStop returns a refusal if a router that ends its calls at stopAt must not take the
// call. The zero time means that the router doesn't leave.
func (r *run) checkStop(stopAt time.Time) *refusal.Refusal {
	if stopAt.IsZero() {
		return nil
	}
	now, m := time.Now(), r.dispatcher.metrics
	left := attempt.TimeToStop{
		Repeatable: r.route.Repeatable(), Deadline: r.deadline.Sub(now), Objective: r.route.Objective, Stop: stopAt.Sub(now),
	}
	if left.Allows() {
		m.stopTaken.Inc(1)
		return nil
	}
	m.stopRefused.Inc(1)
	return refusal.NewLeaving()
}

// endCanceled ends a call whose context is done, or whose caller can't be written to.
func (r *run) endCanceled(progress attempt.Progress) {
	r.outcome = "abandoned"
	if errors.Is(context.Cause(r.ctx), serving.ErrStopping) {
		r.endByStop(progress)
	}
}

// endByStop ends a call that isn't complete when the router stops. The argument progress
// is that of the attempt in flight.
func (r *run) endByStop(progress attempt.Progress) {
	left := time.Until(r.deadline)
	verdict := attempt.FinalVerdict(attempt.Failure{
		Progress: progress, EarlierMayHaveRun: r.mayHaveRun, ResponseStarted: r.stream.started, TimeLeft: left,
	})
	r.dispatcher.metrics.stopEnded.Inc(1)
	r.dispatcher.options.Log.Decision("call ended by the stop of the router", decisionlog.Fields{
		"call": r.call.ID, "route": r.route.Name, "kind": r.route.Kind.String(), "progress": progress.String(),
		"verdict": verdict.String(), "failed_sends": r.attempts, "events": r.stream.events,
		"took_ms": time.Since(r.call.ReceivedAt).Milliseconds(), "time_left_ms": left.Milliseconds(),
	})
	switch {
	case r.failure != nil || verdict == attempt.Abort || verdict == attempt.Expire:
		r.end(verdict, attemptResult{progress: progress})
	case verdict == attempt.Refuse:
		r.refuse(refusal.NewLeaving())
	default:
		r.refuse(refusal.NewEndedByStop(r.route.Repeatable()))
	}
	r.outcome = "stopped"
}
