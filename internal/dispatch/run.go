package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/attempt"
	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/memquota"
	"github.com/verbenatrail/verbenatrail/internal/overload"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// run is the state of one call while it is served, over all its attempts.
type run struct {
	ctx        context.Context
	dispatcher *Dispatcher
	call       *call.Call
	out        Responder
	route      *routing.Route
	workspace  *routing.Workspace
	config     int64
	service    string
	deadline   time.Time
	// identity is what containment knows of the call.
	identity containment.Request

	// excluded are the instances that have failed this call and don't get it
	// again.
	excluded    []string
	attempts    int
	failedDials int
	// mayHaveRun is set once an instance may have run the call.
	mayHaveRun bool
	// stream is the caller's position in a streamed response, origin its beginning.
	stream streamPosition
	origin origin
	// failure is an error response of an instance. It is forwarded if no other
	// instance gives a better response.
	failure *bufferedResponse
	// buffers are the shares of this call in the memory for responses.
	buffers []*memquota.Reservation
	// outcome is how the call ended, for logs and metrics.
	outcome string
	status  int
	// framing is how the end of the last response of an instance is told, NoFraming if there
	// was none.
	framing upstream.Framing
	// permitNext is the time until a permit is due for a call that is rejected for lack of
	// one, zero otherwise.
	permitNext time.Duration
	// refusal is what the caller got instead of a response.
	refusal *refusal.Refusal

	// mu guards retryReserved, which the attempt's timer sets.
	mu sync.Mutex
	// retryReserved is set if the next retry has already been taken from the
	// budget.
	retryReserved bool
}

// bufferedResponse is a complete response that isn't a stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// respond forwards a complete response to the caller.
func (r *run) respond(b *bufferedResponse) {
	r.status, r.outcome = b.status, "answered"
	r.out.WriteResponse(b.status, b.header, b.body)
}

// reserve returns a share of the memory for responses that is released at the end of
// the call.
func (r *run) reserve() *memquota.Reservation {
	reservation := r.dispatcher.options.Buffers.Reserve()
	r.buffers = append(r.buffers, reservation)
	return reservation
}

// streamPosition is how much of a stream the caller has received.
type streamPosition struct {
	started bool
	lastID  string
	events  int
	// unknown is set if data without an ID has followed lastID.
	unknown bool
}

// advance records that an event has been forwarded.
func (p *streamPosition) advance(event upstream.Event) {
	p.events++
	switch {
	case event.ID != "":
		p.lastID, p.unknown = event.ID, false
	case event.HasData:
		p.unknown = true
	}
}

// resumable reports whether another instance can be told where to go on: if the position
// is unknown, the caller would get events twice.
func (p *streamPosition) resumable() bool { return !p.unknown }

func newRun(ctx context.Context, d *Dispatcher, c *call.Call, out Responder, config int64, route *routing.Route, w *routing.Workspace) *run {
	timeout := c.Timeout
	if route.Timeout > 0 && (timeout <= 0 || route.Timeout < timeout) {
		timeout = route.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	key := c.Prompt.AffinityKey()
	if key == "" {
		key = c.ID
	}
	r := &run{
		ctx: ctx, dispatcher: d, call: c, out: out, route: route, workspace: w, config: config,
		service: route.Service(key), deadline: c.ReceivedAt.Add(timeout),
	}
	if route.Kind != routing.Streaming || route.Resumable {
		// Other streams can't be resumed: the caller gets a whole one.
		r.stream.lastID = c.ResumeAfter
		r.origin.call = c.BegunBy
	}
	r.identity = containment.Request{
		Fingerprint: c.Fingerprint(r.workspaceName()), Keys: c.SharedKeys(r.workspaceName(), r.service),
	}
	return r
}

func (r *run) workspaceName() string {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.Name
}

// target returns what the call is to be placed at.
func (r *run) target() target {
	timeLeft := r.call.Timeout
	if timeLeft <= 0 {
		timeLeft = r.deadline.Sub(r.call.ReceivedAt)
	}
	return target{
		service: r.service, workspace: r.workspaceName(), objective: r.route.Objective, timeLeft: timeLeft,
		deadline: r.deadline, version: r.requiredVersion(), versions: r.preferredVersions(),
	}
}

// serve makes attempts until one succeeds or a verdict ends the call.
func (r *run) serve() {
	b := r.dispatcher.options.Balancer
	r.dispatcher.metrics.inFlight.Inc(1)
	b.recordRequest(r.service)
	r.out.SetDeadline(r.deadline)
	if !r.findOrigin() {
		return
	}
	for {
		if r.ctx.Err() != nil {
			r.endCanceled(attempt.Unsent)
			return
		}
		if v := b.allowSend(r.identity); v.Kind == containment.Refused {
			r.refuseContained(v)
			return
		}
		p := r.place()
		if p == nil {
			return
		}
		r.logPlaced(p)
		s := r.sendRecorded(p)
		if !s.responded {
			b.cancelPrefill(p)
		}
		b.done(p)
		r.dispatcher.metrics.attempts(s.result).Inc(1)
		if s.responded {
			return
		}
		if r.ctx.Err() != nil {
			r.endCanceled(s.progress)
			return
		}
		if !r.handleFailure(p, s) {
			return
		}
	}
}

// handleFailure decides what follows a failed attempt. It returns true for a
// retry, and ends the call otherwise.
func (r *run) handleFailure(p *pick, s attemptResult) bool {
	r.countAttempt(p, s)
	now := time.Now()
	verdict := attempt.Decide(attempt.Failure{
		Progress: s.progress, Repeatable: r.route.Repeatable() && r.stream.resumable(), Attempts: r.attempts, MaxAttempts: r.route.MaxAttempts,
		FailedDials: r.failedDials, EarlierMayHaveRun: r.mayHaveRun, ResponseStarted: r.stream.started,
		TimeLeft: r.deadline.Sub(now), MinTime: r.minAttemptTime(),
	}, func() bool { return r.mayResend(s) && r.takeRetry(s.result) })
	r.dispatcher.options.Log.Decision("send failed", decisionlog.Fields{
		"call": r.call.ID, "instance": p.instance.ID, "address": p.instance.Address, "result": s.result.String(),
		"progress": s.progress.String(), "error": s.reason, "sends": r.attempts, "dials": r.failedDials,
		"max_attempts": r.route.MaxAttempts, "kind": r.route.Kind.String(),
		"time_left_ms": r.deadline.Sub(now).Milliseconds(), "events": r.stream.events, "framing": r.framing.String(), "verdict": verdict.String(),
	})
	if s.progress == attempt.MayHaveRun {
		r.mayHaveRun = true
	}
	if verdict == attempt.Retry {
		return true
	}
	r.end(verdict, s)
	return false
}

// countAttempt counts a failed attempt, by whether the instance was reached, and
// excludes its instance.
func (r *run) countAttempt(p *pick, s attemptResult) {
	r.excluded = append(r.excluded, p.instance.ID)
	if s.progress == attempt.Unsent {
		r.failedDials++
		return
	}
	r.attempts++
}

// takeRetry takes a retry from the budget, unless the timer of the last attempt
// has already done so.
func (r *run) takeRetry(result instances.Result) bool {
	priority := retry.HighPriority
	if result == instances.Failed {
		priority = retry.LowPriority
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retryReserved {
		r.retryReserved = false
		return true
	}
	return r.dispatcher.options.Balancer.takeRetry(r.service, priority)
}

const (
	// objectiveDivisor sets the share of the latency objective, a quarter, that
	// must be left before the deadline for a retry to be worthwhile.
	objectiveDivisor = 4
	// minAttemptFloor is the lower bound of this time, for short objectives.
	minAttemptFloor = 20 * time.Millisecond
)

func (r *run) minAttemptTime() time.Duration {
	return max(r.route.Objective/objectiveDivisor, minAttemptFloor)
}

// reject ends a call that its service has no place for.
func (r *run) reject(d *overload.Decision) {
	r.dispatcher.options.Log.Decision("service overloaded", decisionlog.Fields{
		"call": r.call.ID, "route": r.route.Name, "service": r.service, "workspace": r.workspaceName(),
		"load": d.Load, "limit": d.Limit, "service_time_ms": d.ServiceTime.Milliseconds(),
		"share": d.Share.String(), "retry_after_ms": d.RetryAfter.Milliseconds(), "failed_sends": r.attempts,
	})
	r.end(r.finalVerdict(), attemptResult{result: instances.Shed})
}

// noInstance ends a call for which there is no candidate instance.
func (r *run) noInstance() {
	if r.takenUp() && !r.mayHaveRun {
		r.refuseContinued("no instance of the version takes calls", versionRetryAfter)
		return
	}
	r.end(r.finalVerdict(), attemptResult{result: instances.Unreachable})
}

// finalVerdict returns the verdict on a call that isn't sent again.
func (r *run) finalVerdict() attempt.Verdict {
	return attempt.FinalVerdict(attempt.Failure{
		EarlierMayHaveRun: r.mayHaveRun, ResponseStarted: r.stream.started, TimeLeft: time.Until(r.deadline),
	})
}

// end applies a verdict that ends the call.
func (r *run) end(v attempt.Verdict, s attemptResult) {
	if r.failure != nil && !r.stream.started {
		r.respond(r.failure)
		return
	}
	switch v {
	case attempt.Abort:
		r.outcome = "broken"
		r.out.Abort()
	case attempt.Refuse:
		r.refuse(r.notRunRefusal(s))
	case attempt.Expire:
		r.refuse(refusal.NewUnknown(refusal.DeadlineExceeded, "the time for the call is over and it may have run: "+
			"raise the route's timeout or the call's deadline"))
	default:
		r.refuse(refusal.NewUnknown(refusal.UpstreamFailed, "the instance gave no whole answer and the call may have run: "+
			"check its effect before it is sent again"))
	}
}

const (
	// pauseSpread and minPauseSpread set the range over which callers return after
	// the pause of an instance: a fraction of the pause, but at least this long.
	pauseSpread    = 4
	minPauseSpread = 200 * time.Millisecond
)

// notRunRefusal returns the refusal for a call that provably has not run.
func (r *run) notRunRefusal(s attemptResult) *refusal.Refusal {
	if left, paused := r.dispatcher.options.Balancer.pauseLeft(r.service); paused {
		return refusal.New(refusal.Overloaded, "all instances of the service want no calls for a while: send the call again after the pause").
			WithRetryAfter(left + rand.N(max(left/pauseSpread, minPauseSpread)))
	}
	if r.permitNext > 0 {
		return refusal.New(refusal.Overloaded, "the rate limits of all instances of the service are used up: send the call again after the pause").
			WithRetryAfter(max(r.permitNext, overload.ReturnAfter(overloadCall(r.call, r.target()))))
	}
	if s.result == instances.Shed {
		return refusal.New(refusal.Overloaded, "the service is full: send the call again after the pause").
			WithRetryAfter(overload.ReturnAfter(overloadCall(r.call, r.target())))
	}
	return refusal.New(refusal.NoLiveUpstream, "no instance could be reached: send the call again after the pause").
		WithRetryAfter(unreachableRetryAfter)
}

func (r *run) refuse(refused *refusal.Refusal) {
	r.refusal, r.outcome = refused, "refused"
	r.dispatcher.metrics.refusals(refused.Kind).Inc(1)
	r.out.Refuse(refused)
}

func (r *run) logPlaced(p *pick) {
	r.dispatcher.options.Log.Decision("call placed", decisionlog.Fields{
		"call": r.call.ID, "route": r.route.Name, "service": r.service, "workspace": r.workspaceName(),
		"config": r.config, "instance": p.instance.ID, "version": p.instance.Version, "state": p.state.String(), "load": p.load, "mean": p.mean,
		"load_age_ms":   p.oldestLoadAge.Milliseconds(),
		"unread_tokens": p.prefillTokens, "fetch_from": p.fetchFrom, "candidates": p.candidates,
		"failed_sends": r.attempts, "time_left_ms": time.Until(r.deadline).Milliseconds(),
		"resume_after": r.stream.lastID,
	})
}

// finish releases the call's memory, and records and logs how it ended.
func (r *run) finish() {
	for _, b := range r.buffers {
		b.Release()
	}
	m := r.dispatcher.metrics
	m.inFlight.Dec(1)
	m.ended(r.outcome).Inc(1)
	took := time.Since(r.call.ReceivedAt)
	m.total.Update(microseconds(took))
	fields := decisionlog.Fields{
		"call": r.call.ID, "outcome": r.outcome, "took_ms": took.Milliseconds(),
		"failed_sends": r.attempts, "events": r.stream.events, "framing": r.framing.String(),
	}
	if r.status != 0 {
		fields["status"] = r.status
	}
	if r.refusal != nil {
		fields["kind"] = string(r.refusal.Kind)
		fields["execution"] = string(r.refusal.Outcome)
		fields["retry_after_ms"] = r.refusal.RetryAfter.Milliseconds()
	}
	r.dispatcher.options.Log.Decision("call ended", fields)
}
