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
	// ErrOwnerUnreachable means that the request certainly didn't reach the
	// router.
	ErrOwnerUnreachable = errors.New("router can't be reached: try the next owner")
	// ErrConnectionLost means that the connection to the router failed during the
	// call, which may have run.
	ErrConnectionLost = errors.New("connection to the router failed: resume through the next owner")
	// errCallerDisconnected means that the answer can't be written to the caller.
	errCallerDisconnected = errors.New("caller disconnected")
)

// session is the state of one call at the router that received it.
type session struct {
	relay    *Relay
	call     Call
	plan     Plan
	answer   AnswerWriter
	progress progress

	// remaining are the planned attempts that are left, in order.
	remaining []placement.Attempt
	// overBound are the upstreams whose owners refused because the upstream's load
	// has reached its bound.
	overBound []string
	// loads are the loads that owners reported when they refused for lack of
	// capacity, by upstream.
	loads map[string]float64
	// unreachable are the routers that couldn't be reached or whose connection
	// failed.
	unreachable []string
	// failedAttempts counts the failed attempts that are charged to the retry
	// budget.
	failedAttempts int
	// dispatched is set once an upstream may have received the call.
	dispatched bool
	// resumeOnly is set when the call resumes an answer by its position alone:
	// its content isn't known here, so it can't be sent again.
	resumeOnly bool
	headSent   bool
}

// attempt is one request to one owner.
type attempt struct {
	planned placement.Attempt
	router  cluster.RouterView
	resume  bool
}

func (s *session) run(ctx context.Context) *refusal.Refusal {
	for {
		next, refused := s.nextAttempt()
		if refused != nil {
			return refused
		}
		err := s.forward(ctx, next)
		if err == nil {
			return nil
		}
		if final := s.afterFailure(ctx, next, err); final != nil {
			return final
		}
	}
}

// nextAttempt chooses the upstream and its owner.
func (s *session) nextAttempt() (attempt, *refusal.Refusal) {
	if s.progress.stream.Stream != "" {
		return s.withOwner(attempt{planned: placement.Attempt{Upstream: s.progress.stream.Engine}, resume: true})
	}
	for len(s.remaining) > 0 && !s.remaining[0].LastResort {
		planned := s.remaining[0]
		if !s.skip(planned) {
			return s.withOwner(attempt{planned: planned})
		}
		s.remaining = s.remaining[1:]
	}
	return s.lastResort()
}

// skip reports whether an attempt's upstream can't take the call.
func (s *session) skip(planned placement.Attempt) bool {
	if slices.Contains(s.progress.failed, planned.Upstream) || s.stateOf(planned.Upstream) != cluster.Live {
		return true
	}
	return slices.Contains(s.overBound, planned.Upstream)
}

func (s *session) stateOf(upstream string) cluster.UpstreamState {
	return s.relay.View().Upstreams[upstream].State
}

// lastResort queues the call at the least loaded upstream that has not failed.
// With the pool's mean load known, that upstream's load is below its bound unless
// the pool is at its capacity.
func (s *session) lastResort() (attempt, *refusal.Refusal) {
	chosen, ok := s.leastLoaded(cluster.Live)
	if !ok {
		chosen, ok = s.leastLoaded(cluster.Suspect)
	}
	if !ok {
		return attempt{}, s.refuse(refusal.NoLiveUpstream, "every admitted upstream failed: retry later", retryAfterNoUpstream)
	}
	s.remaining = []placement.Attempt{{Upstream: chosen, LastResort: true, PoolFull: len(s.plan.Ranked) <= maxUpstreams}}
	return s.withOwner(attempt{planned: s.remaining[0]})
}

// leastLoaded returns the upstream in the given state with the lowest reported
// load, the best ranked among equals; false when all in that state have failed.
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
	owner, ok := view.Owner(a.planned.Upstream, s.unreachable)
	if !ok || len(s.unreachable) > maxUnreachable {
		return a, s.refuse(refusal.OwnerUnreachable, "no router can be reached for the upstream: retry later", retryAfterNoUpstream)
	}
	a.router, _ = view.Router(owner)
	return a, nil
}

func (s *session) forward(ctx context.Context, a attempt) error {
	request := s.request(a)
	receiver := &receiver{session: s, attempt: a}
	return s.relay.Transport.Forward(ctx, a.router, request, receiver.receive)
}

func (s *session) request(a attempt) *peerpb.ForwardRequest {
	request := &peerpb.ForwardRequest{
		RequestId: s.call.RequestID, Workspace: s.call.Workspace, AffinityKey: s.call.AffinityKey,
		Upstream: a.planned.Upstream, ConfigRevision: s.plan.Revision,
		TimeoutMs:   uint32(max(0, time.Until(s.call.Deadline).Milliseconds())),
		Traceparent: s.call.Traceparent,
		MayWait:     a.planned.LastResort || a.planned.Wait > 0, WaitMs: uint32(a.planned.Wait.Milliseconds()),
		PoolFull: a.planned.PoolFull, PoolMean: float32(s.poolMean(a)), Flexible: a.planned.Flexible,
		Priority: uint32(s.call.Priority), Fingerprint: s.call.Fingerprint, Keys: s.call.Keys,
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

// poolMean returns the mean of the loads that owners reported, once every ranked
// upstream has reported one or failed; zero before.
func (s *session) poolMean(a attempt) float64 {
	if !a.planned.LastResort || len(s.loads) == 0 || len(s.loads)+len(s.progress.failed) < len(s.plan.Ranked) {
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

// refuse returns a refusal of the call. Its outcome is unknown once an upstream
// may have received the call.
func (s *session) refuse(kind refusal.Kind, message string, retryAfter time.Duration) *refusal.Refusal {
	refused := refusal.New(kind, message).WithRetryAfter(retryAfter)
	if s.dispatched {
		refused.Outcome = refusal.Unknown
	}
	return refused
}
