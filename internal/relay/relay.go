// Package relay serves one idempotent call at the router that faces its
// caller: it places the call, passes the answer on, and goes on elsewhere when
// an attempt fails, so that the caller receives each part once and in order.
package relay

import (
	"context"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

const (
	retryAfterStart      = time.Second
	retryAfterNoUpstream = 2 * time.Second
	retryAfterExhausted  = time.Second
	// maxProbes bounds the upstreams whose owners are asked for room.
	maxProbes = 16
	// bytesPerToken is the usual length of a token in a request's body.
	bytesPerToken = 4
	// maxUnreachable bounds the owners that can't be reached in one call.
	maxUnreachable = 6
)

// Call is one idempotent call of a caller.
type Call struct {
	RequestID   string
	Workspace   string
	AffinityKey string
	Target      string
	Kind        fleet.UpstreamKind
	Priority    fleet.Priority
	Deadline    time.Time
	Fingerprint uint64
	Traceparent string
	// Chat or Service is set, by Kind.
	Chat    *peerpb.ChatCall
	Service *peerpb.ServiceCall
}

// Transport forwards a request to a router, which may be this one.
type Transport interface {
	// Forward passes the events of the answer to receive until its end. A
	// refusal is returned, not passed. Errors of receive end the call and are
	// returned; ErrLink and ErrOwnerUnreachable tell of the way to the router.
	Forward(ctx context.Context, router cluster.RouterView, request *peerpb.ForwardRequest,
		receive func(*peerpb.ForwardEvent) error) error
}

// Retrier decides whether and when a failed attempt may be repeated.
type Retrier interface {
	// Failed takes one retry from the budget of a workspace and target, and
	// returns the pause before it; false when there must be none. attempt
	// counts the sends so far, from one.
	Failed(now time.Time, workspace, target string, attempt int, deadline time.Time) (time.Duration, bool)
	// Succeeded adds to the budget for a call that was answered.
	Succeeded(now time.Time, workspace, target string)
}

// Options are what a Relay needs. All fields are required.
type Options struct {
	Planner   *Planner
	View      func() *cluster.View
	Transport Transport
	Retrier   Retrier
	Metrics   *Metrics
	// CrashRetryDelay is the least pause before a request whose engine crashed is
	// sent again, in which other routers learn of the crash.
	CrashRetryDelay time.Duration
	Settings        Settings
}

// Relay serves calls. It is safe for concurrent use.
type Relay struct {
	Options
}

// New returns a relay.
func New(o Options) *Relay { return &Relay{Options: o} }

// Serve places and runs a call. It returns nil after the whole answer, and
// otherwise the refusal that the caller has to be told.
func (r *Relay) Serve(ctx context.Context, call Call, answer AnswerWriter) *refusal.Refusal {
	plan, refused := r.Planner.Plan(call.Workspace, call.Target, call.AffinityKey, call.Kind)
	if refused != nil {
		return refused
	}
	session := &session{relay: r, call: call, plan: plan, answer: answer, asks: r.asks(call, plan)}
	refused = session.run(ctx)
	if refused == nil {
		r.Retrier.Succeeded(time.Now(), call.Workspace, call.Target)
	}
	return refused
}

// asks returns the questions to owners for a call, in order.
func (r *Relay) asks(call Call, plan Plan) []placement.Attempt {
	options := placement.AttemptOptions{Cached: plan.Cached, MaxUpstreams: maxProbes}
	if plan.Cached > 0 {
		tokens := len(call.Chat.GetBody()) / bytesPerToken
		wait := placement.CacheWait(tokens, r.Settings.PrefillTokensPerSecond, r.Settings.PatienceFactor)
		options.CacheWait = min(wait, r.Settings.MaxPatience.Std())
	}
	return placement.PlanAttempts(plan.Ranked, options)
}

// Resume passes on the rest of a chat's answer after a position that the
// caller received.
func (r *Relay) Resume(ctx context.Context, call Call, after Position, answer AnswerWriter) *refusal.Refusal {
	plan := Plan{Key: placement.Key(call.AffinityKey), Sticky: placement.Sticky(r.Planner.strategy)}
	session := &session{relay: r, call: call, plan: plan, answer: answer, resumeOnly: true}
	session.progress.tokens = after.Index + 1
	session.progress.stream = after
	return session.run(ctx)
}
