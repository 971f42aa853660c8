package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// Errors of a Transport. Callers test for them with errors.Is.
var (
	// ErrOwnerUnreachable means that the request surely didn't reach the router.
	ErrOwnerUnreachable = errors.New("router can't be reached: ask the next owner")
	// ErrConnectionLost means that the connection to the router failed during the call.
	ErrConnectionLost = errors.New("connection to the router failed: resume through the next owner")
	// errCallerGone means that the caller no longer reads.
	errCallerGone = errors.New("caller has gone")
)

// session is the state of one call at the router that faces its caller.
type session struct {
	relay    *Relay
	call     Call
	plan     Plan
	answer   AnswerWriter
	progress progress

	// asks are the questions that are left, in order.
	asks []placement.Attempt
	// full are the upstreams that had no room.
	full []string
	// loads are what owners named when they had no room, by upstream.
	loads map[string]float64
	// unreachable are the routers that can't be reached.
	unreachable []string
	// attempts counts the sends that ended in a failure.
	attempts int
	// dispatched is set once an upstream may have got the call.
	dispatched bool
	// resumeOnly is set when the call's content isn't known here.
	resumeOnly bool
	headSent   bool
}

// attempt is one request to one owner.
type attempt struct {
	ask    placement.Attempt
	router cluster.RouterView
	resume bool
}

func (s *session) run(ctx context.Context) *refusal.Refusal {
	for {
		next, refused := s.next()
		if refused != nil {
			return refused
		}
		err := s.try(ctx, next)
		if err == nil {
			return nil
		}
		if final := s.afterFailure(ctx, next, err); final != nil {
			return final
		}
	}
}

// next chooses the upstream and the owner to ask.
func (s *session) next() (attempt, *refusal.Refusal) {
	if s.progress.stream.Stream != "" {
		return s.withOwner(attempt{ask: placement.Attempt{Upstream: s.progress.stream.Engine}, resume: true})
	}
	for len(s.asks) > 0 && !s.asks[0].LastResort {
		ask := s.asks[0]
		if !s.skip(ask) {
			return s.withOwner(attempt{ask: ask})
		}
		s.asks = s.asks[1:]
	}
	return s.lastResort()
}

// skip leaves out the upstreams that can't take the call.
func (s *session) skip(ask placement.Attempt) bool {
	if slices.Contains(s.progress.failed, ask.Upstream) || s.stateOf(ask.Upstream) != cluster.Live {
		return true
	}
	return slices.Contains(s.full, ask.Upstream)
}

func (s *session) stateOf(upstream string) cluster.UpstreamState {
	return s.relay.View().Upstreams[upstream].State
}

// lastResort waits at the least loaded upstream that has not failed. With the
// mean of the pool known, it has room there unless the pool is at its capacity.
func (s *session) lastResort() (attempt, *refusal.Refusal) {
	chosen, ok := s.leastLoaded(cluster.Live)
	if !ok {
		chosen, ok = s.leastLoaded(cluster.Suspect)
	}
	if !ok {
		return attempt{}, s.giveUp(refusal.NoLiveUpstream, "every admitted upstream failed: retry later", retryAfterNoUpstream)
	}
	s.asks = []placement.Attempt{{Upstream: chosen, LastResort: true, PoolFull: len(s.plan.Ranked) <= maxProbes}}
	return s.withOwner(attempt{ask: s.asks[0]})
}

// leastLoaded returns the upstream in a state that named the lowest load, the
// best in rank among equals; false when all in that state have failed.
func (s *session) leastLoaded(state cluster.UpstreamState) (string, bool) {
	best, found := "", false
	for _, upstream := range s.plan.Ranked {
		if slices.Contains(s.progress.failed, upstream) || s.stateOf(upstream) != state {
			continue
		}
		if !found || s.loads[upstream] < s.loads[best] {
			best, found = upstream, true
		}
	}
	return best, found
}

func (s *session) withOwner(a attempt) (attempt, *refusal.Refusal) {
	view := s.relay.View()
	owner, ok := view.Owner(a.ask.Upstream, s.unreachable)
	if !ok || len(s.unreachable) > maxUnreachable {
		return a, s.giveUp(refusal.OwnerUnreachable, "no router can be reached for the upstream: retry later", retryAfterNoUpstream)
	}
	a.router, _ = view.Router(owner)
	return a, nil
}

func (s *session) try(ctx context.Context, a attempt) error {
	request := s.request(a)
	receiver := &receiver{session: s, attempt: a}
	return s.relay.Transport.Forward(ctx, a.router, request, receiver.receive)
}

func (s *session) request(a attempt) *peerpb.ForwardRequest {
	request := &peerpb.ForwardRequest{
		RequestId: s.call.RequestID, Workspace: s.call.Workspace, AffinityKey: s.call.AffinityKey,
		Upstream: a.ask.Upstream, ConfigRevision: s.plan.Revision,
		TimeoutMs:   uint32(max(0, time.Until(s.call.Deadline).Milliseconds())),
		Traceparent: s.call.Traceparent,
		MayWait:     a.ask.LastResort || a.ask.Wait > 0, WaitMs: uint32(a.ask.Wait.Milliseconds()),
		PoolFull: a.ask.PoolFull, PoolMean: float32(s.poolMean(a)), Flexible: a.ask.Flexible,
		Priority: uint32(s.call.Priority), Fingerprint: s.call.Fingerprint,
	}
	switch {
	case a.resume:
		request.Call = &peerpb.ForwardRequest_Resume{Resume: s.resumeCall()}
	case s.call.Chat != nil:
		request.Call = &peerpb.ForwardRequest_Chat{Chat: s.chatCall()}
	default:
		request.Call = &peerpb.ForwardRequest_Service{Service: s.call.Service}
	}
	return request
}

// poolMean returns the mean of the loads that owners named, once all upstreams
// in rank have been asked and none has failed.
func (s *session) poolMean(a attempt) float64 {
	if !a.ask.LastResort || len(s.loads) == 0 || len(s.loads)+len(s.progress.failed) < len(s.plan.Ranked) {
		return 0
	}
	sum := 0.0
	for _, load := range s.loads {
		sum += load
	}
	return sum / float64(len(s.loads))
}

func (s *session) resumeCall() *peerpb.ResumeCall {
	stream := s.progress.stream
	return &peerpb.ResumeCall{
		StreamId: stream.Stream, StreamRequestId: stream.Request,
		AfterToken: s.progress.tokens - stream.Base, BaseToken: stream.Base,
	}
}

func (s *session) chatCall() *peerpb.ChatCall {
	return &peerpb.ChatCall{
		Body:            s.call.Chat.GetBody(),
		GeneratedText:   s.progress.text.String(),
		GeneratedTokens: s.progress.tokens,
	}
}

// giveUp ends the call with the outcome that is true for it.
func (s *session) giveUp(kind refusal.Kind, message string, retryAfter time.Duration) *refusal.Refusal {
	refused := refusal.New(kind, message).WithRetryAfter(retryAfter)
	if s.dispatched {
		refused.Outcome = refusal.Unknown
	}
	return refused
}
