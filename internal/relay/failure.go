package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/serving"
)

// afterFailure prepares the next attempt, or returns the refusal that ends the
// call.
func (s *session) afterFailure(ctx context.Context, a attempt, err error) *refusal.Refusal {
	if errors.Is(err, errCallerDisconnected) || ctx.Err() != nil {
		s.dispatched = s.dispatched || mayHaveRun(err)
		return s.contextRefusal(ctx)
	}
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return s.afterRefusal(ctx, a, refused)
	}
	if errors.Is(err, ErrOwnerUnreachable) {
		s.unreachable = append(s.unreachable, a.router.Name)
		s.relay.Metrics.OwnerUnreachable.Inc(1)
		return nil
	}
	return s.afterConnectionLost(ctx, a)
}

// mayHaveRun reports whether an upstream may have received the call in an attempt that
// failed.
func mayHaveRun(err error) bool {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused.Outcome != refusal.NotRun
	}
	return !errors.Is(err, ErrOwnerUnreachable)
}

func (s *session) contextRefusal(ctx context.Context) *refusal.Refusal {
	if errors.Is(context.Cause(ctx), serving.ErrStopping) {
		return s.stopRefusal()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return s.refuse(refusal.DeadlineExceeded, "the call's own time limit passed: retry with a longer one", 0)
	}
	return s.refuse(refusal.DeadlineExceeded, "the caller closed its connection", 0)
}

// stopRefusal returns the refusal of a call that this router ends because it stops.
func (s *session) stopRefusal() *refusal.Refusal {
	if s.dispatched {
		return refusal.NewEndedByStop(true)
	}
	return refusal.NewLeaving()
}

func (s *session) afterRefusal(ctx context.Context, a attempt, refused *refusal.Refusal) *refusal.Refusal {
	switch refused.Kind {
	case refusal.OverBound:
		s.overBound = append(s.overBound, a.planned.Upstream)
		return s.afterNoCapacity(a, refused)
	case refusal.AboveMean, refusal.QueueTimeout:
		return s.afterNoCapacity(a, refused)
	case refusal.StreamLost:
		return s.afterStreamLost(ctx, a, refused)
	case refusal.Leaving:
		return s.afterLeaving(a, refused)
	case refusal.UpstreamFailed, refusal.NoLiveUpstream, refusal.TooManyHops:
		return s.afterUpstreamFailure(ctx, a, refused)
	default:
		return s.finalRefusal(refused)
	}
}

// afterNoCapacity moves on to the next planned attempt. If the last-resort attempt
// was refused, the call ends.
func (s *session) afterNoCapacity(a attempt, refused *refusal.Refusal) *refusal.Refusal {
	if a.planned.LastResort {
		return s.finalRefusal(refused)
	}
	if s.loads == nil {
		s.loads = make(map[string]float64)
	}
	s.loads[a.planned.Upstream] = refused.UpstreamLoad
	s.remaining = s.remaining[1:]
	s.relay.Metrics.Spilled.Inc(1)
	return nil
}

// afterLeaving tries another upstream without charging the retry budget: a
// leaving upstream is tried at most once per call.
func (s *session) afterLeaving(a attempt, refused *refusal.Refusal) *refusal.Refusal {
	if s.resumeOnly || (s.headSent && s.call.Chat == nil) {
		return s.finalRefusal(refused)
	}
	s.progress.failed = append(s.progress.failed, a.planned.Upstream)
	s.progress.stream = Position{}
	return nil
}

// afterStreamLost continues at another engine from the text received so far.
func (s *session) afterStreamLost(ctx context.Context, a attempt, refused *refusal.Refusal) *refusal.Refusal {
	if s.resumeOnly {
		return refusal.NewUnknown(refusal.StreamLost,
			"the engine no longer holds this answer: send the request again without Last-Event-ID")
	}
	return s.afterUpstreamFailure(ctx, a, refused)
}

func (s *session) afterUpstreamFailure(ctx context.Context, a attempt, refused *refusal.Refusal) *refusal.Refusal {
	if s.resumeOnly {
		return s.afterStreamLost(ctx, a, refused)
	}
	if refused.Outcome != refusal.NotRun {
		s.dispatched = true
	}
	if s.headSent && s.call.Chat == nil {
		return s.finalRefusal(refused)
	}
	s.progress.failed = append(s.progress.failed, a.planned.Upstream)
	s.progress.stream = Position{}
	return s.retryOrRefuse(ctx, s.crashRetryDelay(refused))
}

// crashRetryDelay returns the minimum delay before the next attempt. A request
// whose engine crashed is held until other routers have learned of the crash.
func (s *session) crashRetryDelay(refused *refusal.Refusal) time.Duration {
	if refused.UpstreamCrashed {
		return s.relay.CrashRetryDelay
	}
	return 0
}

// afterConnectionLost resumes a started answer through the next owner, or repeats
// the call there if none has started.
func (s *session) afterConnectionLost(ctx context.Context, a attempt) *refusal.Refusal {
	s.relay.Metrics.LinkFailures.Inc(1)
	s.unreachable = append(s.unreachable, a.router.Name)
	s.dispatched = true
	if s.headSent && s.call.Chat == nil {
		return s.refuse(refusal.OwnerUnreachable, "the connection failed during the response: repeat the call", retryAfterExhausted)
	}
	return s.retryOrRefuse(ctx, 0)
}

func (s *session) retryOrRefuse(ctx context.Context, minDelay time.Duration) *refusal.Refusal {
	s.failedAttempts++
	delay, ok := s.relay.Retrier.Failed(time.Now(), s.call.Workspace, s.call.Target, s.failedAttempts, s.call.Deadline)
	if !ok {
		s.relay.Metrics.RetriesExhausted.Inc(1)
		return s.refuse(refusal.RetriesExhausted, "the retry budget is spent: come back after the given time", retryAfterExhausted)
	}
	s.relay.Metrics.Retries.Inc(1)
	return s.wait(ctx, max(delay, minDelay))
}

func (s *session) wait(ctx context.Context, delay time.Duration) *refusal.Refusal {
	if pause.For(ctx, delay) != nil {
		return s.contextRefusal(ctx)
	}
	return nil
}

// finalRefusal returns an owner's refusal with the outcome for the whole call:
// the owner's "not run" doesn't cover earlier attempts that may have run.
func (s *session) finalRefusal(refused *refusal.Refusal) *refusal.Refusal {
	if s.dispatched && refused.Outcome == refusal.NotRun {
		refused.Outcome = refusal.Unknown
	}
	return refused
}
