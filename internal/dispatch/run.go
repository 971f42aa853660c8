package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/attempt"
	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// run is one call on its way.
type run struct {
	ctx         context.Context
	dispatcher  *Dispatcher
	call        *call.Call
	out         Responder
	route       *routing.Route
	workspace   *routing.Workspace
	config      int64
	service     string
	deadline    time.Time
	fingerprint uint64

	// excluded are the instances that the call is not sent to again.
	excluded []string
	sends    int
	dials    int
	// mayHaveRun is set once an instance may have run the call.
	mayHaveRun bool
	// stream is what the caller has of a stream.
	stream streamPosition
	// failure is an instance's own failure that is passed on if no other instance
	// does better.
	failure *wholeAnswer
	// outcome is how the call ended, for the log.
	outcome string
	status  int
	// refusal is what the caller was told instead of an answer.
	refusal *refusal.Refusal

	// mu guards prepaid, which the timer of a silent instance sets.
	mu sync.Mutex
	// prepaid is set when the budget has counted the next repeat already.
	prepaid bool
}

// wholeAnswer is an instance's answer that isn't a stream.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// answer passes a whole answer on.
func (r *run) answer(a *wholeAnswer) {
	r.status, r.outcome = a.status, "answered"
	r.out.WriteResponse(a.status, a.header, a.body)
}

// streamPosition is how far the caller's answer has got.
type streamPosition struct {
	begun  bool
	lastID string
	events int
}

func newRun(ctx context.Context, d *Dispatcher, c *call.Call, out Responder, config int64, route *routing.Route, w *routing.Workspace) *run {
	patience := c.Timeout
	if route.Timeout > 0 && (patience <= 0 || route.Timeout < patience) {
		patience = route.Timeout
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	key := c.Prompt.AffinityKey()
	if key == "" {
		key = c.ID
	}
	r := &run{
		ctx: ctx, dispatcher: d, call: c, out: out, route: route, workspace: w, config: config,
		service: route.Service(key), deadline: c.ReceivedAt.Add(patience),
	}
	r.stream.lastID = c.ResumeAfter
	r.fingerprint = c.Fingerprint(r.workspaceName())
	return r
}

func (r *run) workspaceName() string {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.Name
}

// serve sends the call until it is answered or a verdict ends it.
func (r *run) serve() {
	b := r.dispatcher.options.Balancer
	r.dispatcher.metrics.inFlight.Inc(1)
	b.requested(r.service)
	for {
		p, ok := b.choose(r.call, r.service, r.excluded)
		if !ok {
			r.noInstance()
			return
		}
		r.logPlaced(p)
		s := r.send(p)
		if !s.answered {
			b.notRead(p)
		}
		b.done(p)
		r.dispatcher.metrics.sends(s.result).Inc(1)
		if s.answered {
			return
		}
		if r.ctx.Err() != nil {
			r.outcome = "abandoned"
			return
		}
		if !r.sendAgain(p, s) {
			return
		}
	}
}

// sendAgain decides about a failed send; false when the call has ended.
func (r *run) sendAgain(p *pick, s sent) bool {
	r.count(p, s)
	now := time.Now()
	verdict := attempt.Decide(attempt.Failure{
		Progress: s.progress, Repeatable: r.route.Repeatable(), Attempts: r.sends, MaxAttempts: r.route.MaxAttempts,
		FailedDials: r.dials, EarlierMayHaveRun: r.mayHaveRun, ResponseStarted: r.stream.begun,
		TimeLeft: r.deadline.Sub(now), MinTime: r.leastTime(),
	}, func() bool { return r.takeRepeat(s.result) })
	r.dispatcher.options.Log.Decision("send failed", decisionlog.Fields{
		"call": r.call.ID, "instance": p.instance.ID, "address": p.instance.Address, "result": s.result.String(),
		"progress": s.progress.String(), "error": s.reason, "sends": r.sends, "dials": r.dials,
		"max_attempts": r.route.MaxAttempts, "kind": r.route.Kind.String(),
		"time_left_ms": r.deadline.Sub(now).Milliseconds(), "events": r.stream.events, "verdict": verdict.String(),
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

// count takes a failed send into the run's own numbers.
func (r *run) count(p *pick, s sent) {
	r.excluded = append(r.excluded, p.instance.ID)
	if s.progress == attempt.Unsent {
		r.dials++
		return
	}
	r.sends++
}

// takeRepeat counts a repeat, unless the timer that gave up on the last send
// has counted it.
func (r *run) takeRepeat(result instances.Result) bool {
	need := retry.HighPriority
	if result == instances.Failed {
		need = retry.LowPriority
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.prepaid {
		r.prepaid = false
		return true
	}
	return r.dispatcher.options.Balancer.takeRepeat(r.service, need)
}

const (
	// leastShare is the part of the objective that must be left for another
	// send to be worth while.
	leastShare = 4
	// leastNeeded is the least time for any send.
	leastNeeded = 20 * time.Millisecond
)

func (r *run) leastTime() time.Duration { return max(r.route.Objective/leastShare, leastNeeded) }

// noInstance ends a call that no instance may take.
func (r *run) noInstance() {
	r.end(attempt.FinalVerdict(attempt.Failure{
		EarlierMayHaveRun: r.mayHaveRun, ResponseStarted: r.stream.begun, TimeLeft: time.Until(r.deadline),
	}), sent{})
}

// end carries out a verdict that ends the call.
func (r *run) end(v attempt.Verdict, s sent) {
	if r.failure != nil && !r.stream.begun {
		r.answer(r.failure)
		return
	}
	switch v {
	case attempt.Abort:
		r.outcome = "broken"
		r.out.Abort()
	case attempt.Refuse:
		r.refuse(r.notRun(s))
	case attempt.Expire:
		r.refuse(refusal.NewUnknown(refusal.DeadlineExceeded, "the time for the call is over and it may have run: "+
			"raise the route's timeout or the call's deadline"))
	default:
		r.refuse(refusal.NewUnknown(refusal.UpstreamFailed, "the instance gave no whole answer and the call may have run: "+
			"check its effect before it is sent again"))
	}
}

// notRun is the refusal of a call that provably has not run.
func (r *run) notRun(s sent) *refusal.Refusal {
	if s.result == instances.Shed {
		return refusal.New(refusal.Overloaded, "the service is full: send the call again after the pause").
			WithRetryAfter(fullRetryAfter)
	}
	return refusal.New(refusal.NoLiveUpstream, "no instance could be reached: send the call again after the pause").
		WithRetryAfter(fullRetryAfter)
}

func (r *run) refuse(refused *refusal.Refusal) {
	r.refusal, r.outcome = refused, "refused"
	r.dispatcher.metrics.refusals(refused.Kind).Inc(1)
	r.out.Refuse(refused)
}

func (r *run) logPlaced(p *pick) {
	r.dispatcher.options.Log.Decision("call placed", decisionlog.Fields{
		"call": r.call.ID, "route": r.route.Name, "service": r.service, "workspace": r.workspaceName(),
		"config": r.config, "instance": p.instance.ID, "state": p.state.String(), "load": p.load, "mean": p.mean,
		"load_age_ms":   p.loadAge.Milliseconds(),
		"unread_tokens": p.unread, "fetch_from": p.fetchFrom, "candidates": p.candidates,
		"failed_sends": r.sends, "time_left_ms": time.Until(r.deadline).Milliseconds(),
		"resume_after": r.stream.lastID,
	})
}

// finish logs how the call ended.
func (r *run) finish() {
	m := r.dispatcher.metrics
	m.inFlight.Dec(1)
	m.ended(r.outcome).Inc(1)
	took := time.Since(r.call.ReceivedAt)
	m.whole.Update(microseconds(took))
	fields := decisionlog.Fields{
		"call": r.call.ID, "outcome": r.outcome, "took_ms": took.Milliseconds(),
		"failed_sends": r.sends, "events": r.stream.events,
	}
	if r.status != 0 {
		fields["status"] = r.status
	}
	if r.refusal != nil {
		fields["kind"] = string(r.refusal.Kind)
		fields["execution"] = string(r.refusal.Outcome)
	}
	r.dispatcher.options.Log.Decision("call ended", fields)
}
