package owner

import (
	"context"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/admission"
	"github.com/verbenatrail/verbenatrail/internal/engineclient"
)

// gateTick is the time between two looks at the deadlines of a gate.
const gateTick = 20 * time.Millisecond

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

func (g *gate) expectedRun() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.MeanServiceTime()
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
