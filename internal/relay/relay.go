// Package relay serves one idempotent call at the router that received it from
// its caller: it chooses an upstream, forwards the call to the upstream's owner
// and passes the answer on. When an attempt fails it resumes or retries through
// another owner or at another upstream, so that the caller receives each part
// once and in order.
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
	// maxUpstreams bounds the upstreams whose owners are asked for capacity.
	maxUpstreams = 16
	// bytesPerToken is the typical length of a token in a request's body.
	bytesPerToken = 4
	// maxUnreachable is the number of unreachable routers that one call tolerates.
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
	// Fingerprint is the hash of the call's content, see call.Fingerprint.
	Fingerprint uint64
	// Keys are hashes of what other calls may have in common with this one, see
	// call.SharedKeys.
	Keys        []uint64
	Traceparent string
	// Chat is set for an engine, Service for a service, by Kind.
	Chat    *peerpb.ChatCall
	Service *peerpb.ServiceCall
}

// Transport forwards a request to a router, which may be this one.
type Transport interface {
	// Forward passes the events of the answer to receive until its end. A
	// refusal is returned as the error, not passed to receive. An error of
	// receive ends the call and is returned. ErrConnectionLost and
	// ErrOwnerUnreachable report failures of the connection to the router.
	Forward(ctx context.Context, router cluster.RouterView, request *peerpb.ForwardRequest,
		receive func(*peerpb.ForwardEvent) error) error
}

// Retrier decides whether and when a failed attempt may be repeated.
type Retrier interface {
	// Failed takes one retry from the budget of a workspace and target, and
	// returns the delay before it; false means that the call must not be
	// retried. attempt is the number of failed attempts so far, from one.
	Failed(now time.Time, workspace, target string, attempt int, deadline time.Time) (time.Duration, bool)
	// Succeeded credits the budget for a completed call.
	Succeeded(now time.Time, workspace, target string)
}

// Options are what a Relay needs. All fields are required.
type Options struct {
	Planner   *Planner
	View      func() *cluster.View
	Transport Transport
	Retrier   Retrier
	Metrics   *Metrics
	// CrashRetryDelay is the minimum delay before a request whose engine crashed
	// is sent again, so that other routers learn of the crash first.
	CrashRetryDelay time.Duration
	Settings        Settings
}

// Relay serves calls. It is safe for concurrent use.
type Relay struct {
	Options
}

// New returns a relay.
func New(o Options) *Relay { return &Relay{Options: o} }

// Serve places and runs a call. It returns nil after the complete answer, and
// otherwise the refusal to send to the caller.
func (r *Relay) Serve(ctx context.Context, call Call, answer AnswerWriter) *refusal.Refusal {
	plan, refused := r.Planner.Plan(call.Workspace, call.Target, call.AffinityKey, call.Kind)
	if refused != nil {
		return refused
	}
	session := &session{relay: r, call: call, plan: plan, answer: answer, remaining: r.planAttempts(call, plan)}
	refused = session.run(ctx)
	if refused == nil {
		r.Retrier.Succeeded(time.Now(), call.Workspace, call.Target)
	}
	return refused
}

// planAttempts returns the attempts of a call, in order.
func (r *Relay) planAttempts(call Call, plan Plan) []placement.Attempt {
	options := placement.AttemptOptions{Cached: plan.Cached, MaxUpstreams: maxUpstreams}
	if plan.Cached > 0 {
		tokens := len(call.Chat.GetBody()) / bytesPerToken
		wait := placement.CacheWait(tokens, r.Settings.PrefillTokensPerSecond, r.Settings.PatienceFactor)
		options.CacheWait = min(wait, r.Settings.MaxPatience.Std())
	}
	return placement.PlanAttempts(plan.Ranked, options)
}

// Resume sends the rest of a chat's answer after the last position that the
// caller received.
func (r *Relay) Resume(ctx context.Context, call Call, after Position, answer AnswerWriter) *refusal.Refusal {
	plan := Plan{Key: placement.Key(call.AffinityKey), Sticky: placement.Sticky(r.Planner.strategy)}
	session := &session{relay: r, call: call, plan: plan, answer: answer, resumeOnly: true}
	session.progress.tokens = after.Index + 1
	session.progress.stream = after
	return session.run(ctx)
}
