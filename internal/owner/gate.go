package owner

import (
	"context"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/admission"
	"github.com/verbenatrail/verbenatrail/internal/engineclient"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

const (
	// gateTick is the time between two looks at the deadlines of a gate.
	gateTick = 20 * time.Millisecond
	// waitingNotice is the time between two notices to a request that waits.
	waitingNotice = time.Second
)

// gate admits the requests of one upstream.
type gate struct {
	name string
	// owned is guarded by the gateSet: this router owns the upstream.
	owned bool

	mu        sync.Mutex
	scheduler *admission.Scheduler
	nextID    uint64
	waiters   map[uint64]chan admission.Effect
	// forced counts streams that run without an admission, being resumed.
	forced  int
	resumed map[*slot]struct{}
	// foreign estimates what a former owner still runs on the upstream.
	foreign int
	// overlapUntil is how long that estimate is kept.
	overlapUntil time.Time
	history      loadHistory
	// waits ends the waits for first tokens when the upstream hangs.
	waits    context.Context
	endWaits context.CancelCauseFunc
	use      use
	// check is done once before the first request.
	check sync.Once
	// mean is the latest expected load.
	mean float64
}

// slot is the place of one running request at its gate.
type slot struct {
	gate     *gate
	id       uint64
	forced   bool
	started  time.Time
	finished func(end End)
	once     sync.Once
}

func newGate(name string, settings admission.Settings, capacity int) *gate {
	g := &gate{
		name:      name,
		scheduler: admission.New(settings, capacity),
		waiters:   make(map[uint64]chan admission.Effect),
		resumed:   make(map[*slot]struct{}),
	}
	g.waits, g.endWaits = context.WithCancelCause(context.Background())
	return g
}

// offer asks for a place. The channel delivers the end of the wait when the
// request was queued.
func (g *gate) offer(now time.Time, request admission.Request) (uint64, admission.Decision, <-chan admission.Effect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	request.ID = g.nextID
	decision := g.scheduler.Offer(now, request)
	g.deliver(decision.Effects)
	if decision.Verdict != admission.Queued {
		return request.ID, decision, nil
	}
	waiter := make(chan admission.Effect, 1)
	g.waiters[request.ID] = waiter
	return request.ID, decision, waiter
}

// startDeadline returns the latest start of a request. Up to its time limit it
// leaves time for a whole answer, but a request whose limit is shorter than
// usual answers may still start at once. A wait that the request names bounds
// the start itself.
func startDeadline(now time.Time, request *peerpb.ForwardRequest, run time.Duration) time.Time {
	limit := time.Duration(request.GetTimeoutMs()) * time.Millisecond
	wait := max(limit-run, gateTick)
	if named := time.Duration(request.GetWaitMs()) * time.Millisecond; named > 0 {
		wait = min(wait, named)
	}
	return now.Add(wait)
}

func (g *gate) expectedRun() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.ExpectedRun()
}

// force takes a place without admission: the engine runs the stream already.
func (g *gate) force() *slot {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &slot{gate: g, forced: true, started: time.Now(), finished: func(End) {}}
	g.resumed[s] = struct{}{}
	g.addForced(1)
	return s
}

// addForced changes the number of resumed streams, which count against the
// bound like a former owner's.
func (g *gate) addForced(n int) {
	g.forced += n
	g.deliver(g.scheduler.SetForeignLoad(time.Now(), g.foreign+g.forced))
}

func (g *gate) cancel(now time.Time, id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.deliver(g.scheduler.Cancel(now, id))
}

// tick takes the declared capacity and the expected load as they are now.
func (g *gate) tick(now time.Time, capacity int, mean float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mean = mean
	g.history.record(loadSample{at: now, inFlight: g.scheduler.InFlight() + g.forced})
	g.deliver(g.scheduler.SetCapacity(now, capacity))
	g.deliver(g.scheduler.SetMean(now, mean))
	g.deliver(g.scheduler.Tick(now))
}

// setForeign changes the estimate of a former owner's requests. The caller
// holds the lock.
func (g *gate) setForeign(now time.Time, load int) {
	g.foreign = load
	g.deliver(g.scheduler.SetForeignLoad(now, g.foreign+g.forced))
}

// firstTokenContext returns a context that also ends, with
// engineclient.ErrStalled, when the upstream is found to hang. The returned
// function ends that after the first token.
func (g *gate) firstTokenContext(ctx context.Context) (context.Context, func()) {
	g.mu.Lock()
	waits := g.waits
	g.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(waits, func() { cancel(engineclient.ErrStalled) })
	return ctx, func() { stop() }
}

// hang ends all waits for first tokens: the upstream answers nobody.
func (g *gate) hang() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endWaits(engineclient.ErrStalled)
	g.waits, g.endWaits = context.WithCancelCause(context.Background())
}

func (g *gate) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.InFlight() + g.forced
}

// load counts what runs on the upstream, a former owner's requests included.
func (g *gate) load() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.InFlight() + g.forced + g.foreign
}

// deliver hands effects to the requests that wait for them.
func (g *gate) deliver(effects []admission.Effect) {
	for _, effect := range effects {
		waiter := g.waiters[effect.ID]
		if waiter == nil {
			continue
		}
		delete(g.waiters, effect.ID)
		waiter <- effect
	}
}

// release frees the place.
func (s *slot) release(end End) {
	s.once.Do(func() {
		s.finished(end)
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		if s.forced {
			delete(s.gate.resumed, s)
			s.gate.addForced(-1)
			return
		}
		s.gate.deliver(s.gate.scheduler.Finish(time.Now(), s.id))
	})
}

// admit waits for a place at the request's upstream.
func (o *Owner) admit(ctx context.Context, request *peerpb.ForwardRequest, t *target, sink Sink) (*slot, *refusal.Refusal) {
	g := o.gates.gate(t.declared)
	if !o.checkNew(ctx, g) {
		return nil, g.refusal(t, admission.ReasonDraining, retryAfterBusy)
	}
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
	return o.guarded(g, id, request.GetFingerprint())
}

// guarded registers the admitted request with the guard.
func (o *Owner) guarded(g *gate, id uint64, fingerprint uint64) (*slot, *refusal.Refusal) {
	if refused := o.Guard.Start(time.Now(), g.name, fingerprint); refused != nil {
		g.cancel(time.Now(), id)
		return nil, refused
	}
	finished := func(end End) { o.Guard.Finish(time.Now(), g.name, fingerprint, end) }
	return &slot{gate: g, id: id, finished: finished}, nil
}

func (o *Owner) admissionRequest(request *peerpb.ForwardRequest, t *target, g *gate, now time.Time) admission.Request {
	weight := 1
	if workspace := t.snapshot.Workspaces[request.GetWorkspace()]; workspace != nil {
		weight = workspace.Weight
	}
	return admission.Request{
		Workspace: request.GetWorkspace(), Weight: weight,
		Class:    fleet.Priority(request.GetPriority()),
		Deadline: startDeadline(now, request, g.expectedRun()),
		MayWait:  request.GetMayWait(), PoolFull: request.GetPoolFull(),
		Flexible: request.GetFlexible(), PoolMean: float64(request.GetPoolMean()) * float64(max(t.declared.Weight, 1)),
	}
}

// wait blocks until a queued request starts or is refused.
func (o *Owner) wait(ctx context.Context, g *gate, id uint64, waiter <-chan admission.Effect, t *target, sink Sink) *refusal.Refusal {
	notice := time.NewTicker(waitingNotice)
	defer notice.Stop()
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
		case <-notice.C:
			if err := sink(waitingEvent()); err != nil {
				g.cancel(time.Now(), id)
				return refusal.New(refusal.DeadlineExceeded, "the caller stopped waiting: retry with a longer time limit")
			}
		}
	}
}

// refusal names the present load, from which the asking router learns the
// pool's mean.
func (g *gate) refusal(t *target, reason admission.Reason, retryAfter time.Duration) *refusal.Refusal {
	refused := admissionRefusal(t.declared.Name, reason, retryAfter)
	refused.UpstreamLoad = float64(g.load()) / float64(max(t.declared.Weight, 1))
	return refused
}

func admissionRefusal(upstream string, reason admission.Reason, retryAfter time.Duration) *refusal.Refusal {
	var refused *refusal.Refusal
	switch reason {
	case admission.ReasonOverBound:
		refused = refusal.New(refusal.OwnerBusy, upstream+" is at its bound: try another or retry later")
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
