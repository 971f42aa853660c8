package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// afterFailure prepares the next attempt, or returns the refusal that ends the
// call.
func (s *session) afterFailure(ctx context.Context, a attempt, err error) *refusal.Refusal {
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		return s.afterContext(ctx)
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
	return s.afterLink(ctx, a)
}

func (s *session) afterContext(ctx context.Context) *refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return s.giveUp(refusal.DeadlineExceeded, "the call's own time limit passed: retry with a longer one", 0)
	}
	return s.giveUp(refusal.DeadlineExceeded, "the caller closed its connection", 0)
}

func (s *session) afterRefusal(ctx context.Context, a attempt, refused *refusal.Refusal) *refusal.Refusal {
	switch refused.Kind {
	case refusal.OverBound:
		s.full = append(s.full, a.ask.Upstream)
		return s.afterNoRoom(a, refused)
	case refusal.AboveMean, refusal.QueueTimeout:
		return s.afterNoRoom(a, refused)
	case refusal.StreamLost:
		return s.afterStreamLost(ctx, a, refused)
	case refusal.Leaving:
		return s.afterLeaving(a, refused)
	case refusal.UpstreamFailed, refusal.NoLiveUpstream, refusal.TooManyHops:
		return s.afterUpstreamFailure(ctx, a, refused)
	default:
		return s.final(refused)
	}
}

// afterNoRoom goes on to the next question, after the last one it ends the call.
func (s *session) afterNoRoom(a attempt, refused *refusal.Refusal) *refusal.Refusal {
	if a.ask.LastResort {
		return s.final(refused)
	}
	if s.loads == nil {
		s.loads = make(map[string]float64)
	}
	s.loads[a.ask.Upstream] = refused.UpstreamLoad
	s.asks = s.asks[1:]
	s.relay.Metrics.Spilled.Inc(1)
	return nil
}

// afterLeaving goes on elsewhere at no cost for the retry budget: an upstream
// that takes no new work is named once in a call.
func (s *session) afterLeaving(a attempt, refused *refusal.Refusal) *refusal.Refusal {
	if s.resumeOnly || (s.headSent && s.call.Chat == nil) {
		return s.final(refused)
	}
	s.progress.failed = append(s.progress.failed, a.ask.Upstream)
	s.progress.stream = Position{}
	return nil
}

// afterStreamLost goes on at another engine with the text that came so far.
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
		return s.final(refused)
	}
	s.progress.failed = append(s.progress.failed, a.ask.Upstream)
	s.progress.stream = Position{}
	return s.retryOrGiveUp(ctx, s.crashPause(refused))
}

// crashPause keeps a request whose engine crashed until other routers know.
func (s *session) crashPause(refused *refusal.Refusal) time.Duration {
	if refused.UpstreamCrashed {
		return s.relay.CrashRetryDelay
	}
	return 0
}

// afterLink resumes a started answer through the next owner, and otherwise
// repeats the call there.
func (s *session) afterLink(ctx context.Context, a attempt) *refusal.Refusal {
	s.relay.Metrics.LinkFailures.Inc(1)
	s.unreachable = append(s.unreachable, a.router.Name)
	s.dispatched = true
	if s.headSent && s.call.Chat == nil {
		return s.giveUp(refusal.OwnerUnreachable, "the connection failed during the response: repeat the call", retryAfterExhausted)
	}
	return s.retryOrGiveUp(ctx, 0)
}

func (s *session) retryOrGiveUp(ctx context.Context, least time.Duration) *refusal.Refusal {
	s.attempts++
	delay, ok := s.relay.Retrier.Failed(time.Now(), s.call.Workspace, s.call.Target, s.attempts, s.call.Deadline)
	if !ok {
		s.relay.Metrics.RetriesExhausted.Inc(1)
		return s.giveUp(refusal.RetriesExhausted, "the retry budget is spent: come back after the given time", retryAfterExhausted)
	}
	s.relay.Metrics.Retries.Inc(1)
	return s.pause(ctx, max(delay, least))
}

func (s *session) pause(ctx context.Context, delay time.Duration) *refusal.Refusal {
	if pause.For(ctx, delay) != nil {
		return s.afterContext(ctx)
	}
	return nil
}

// final returns an owner's refusal with the outcome that holds for the whole
// call.
func (s *session) final(refused *refusal.Refusal) *refusal.Refusal {
	if s.dispatched && refused.Outcome == refusal.NotRun {
		refused.Outcome = refusal.Unknown
	}
	return refused
}
