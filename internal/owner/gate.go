package owner

import (
	"context"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/admission"
	"github.com/verbenatrail/verbenatrail/internal/engineclient"
)

// gateTick is the interval at which a gate checks the deadlines of its queue.
const gateTick = 20 * time.Millisecond

// gate controls admission to one upstream.
type gate struct {
	name string
	// owned is set while this router owns the upstream. It is protected by the
	// mutex of the gateSet.
	owned bool

	mu        sync.Mutex
	scheduler *admission.Scheduler
	nextID    uint64
	waiters   map[uint64]chan admission.Effect
	// forced counts resumed streams, which run without admission.
	forced  int
	resumed map[*slot]struct{}
	// foreign is the estimated number of a previous owner's requests that the
	// upstream still runs.
	foreign int
	// overlapUntil is the time until which the foreign load is estimated.
	overlapUntil time.Time
	history      loadHistory
	// firstTokenCtx is cancelled, and replaced, when the upstream hangs. This ends
	// all waits for first tokens.
	firstTokenCtx         context.Context
	cancelFirstTokenWaits context.CancelCauseFunc
	state                 gateState
	// mean is the most recent expected load.
	mean float64
}

// slot is the admission slot of one running request.
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
	g.firstTokenCtx, g.cancelFirstTokenWaits = context.WithCancelCause(context.Background())
	return g
}

// offer requests admission. If the request is queued, the returned channel
// delivers its start or refusal.
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

func (g *gate) meanServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.MeanServiceTime()
}

// forceAdmit returns a slot without admission, for a stream that the engine
// already runs.
func (g *gate) forceAdmit() *slot {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &slot{gate: g, forced: true, started: time.Now(), finished: func(End) {}}
	g.resumed[s] = struct{}{}
	g.addForced(1)
	return s
}

// addForced changes the number of resumed streams. They count against the limit
// in the same way as a previous owner's requests. The caller holds the lock.
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

// tick records a load sample, updates the scheduler's capacity and mean load, and
// runs its timers.
func (g *gate) tick(now time.Time, capacity int, mean float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mean = mean
	g.history.record(loadSample{at: now, inFlight: g.scheduler.InFlight() + g.forced})
	g.deliver(g.scheduler.SetCapacity(now, capacity))
	g.deliver(g.scheduler.SetMean(now, mean))
	g.deliver(g.scheduler.Tick(now))
}

// setForeign sets the estimated load of a previous owner. The caller holds the
// lock.
func (g *gate) setForeign(now time.Time, load int) {
	g.foreign = load
	g.deliver(g.scheduler.SetForeignLoad(now, g.foreign+g.forced))
}

// firstTokenContext returns a context that is also cancelled, with cause
// engineclient.ErrStalled, when the upstream hangs. The returned function
// detaches it from that cancellation; it is called after the first token.
func (g *gate) firstTokenContext(ctx context.Context) (context.Context, func()) {
	g.mu.Lock()
	firstTokenCtx := g.firstTokenCtx
	g.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(firstTokenCtx, func() { cancel(engineclient.ErrStalled) })
	return ctx, func() { stop() }
}

// failFirstTokenWaits ends all waits for first tokens because the upstream is
// unresponsive.
func (g *gate) failFirstTokenWaits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelFirstTokenWaits(engineclient.ErrStalled)
	g.firstTokenCtx, g.cancelFirstTokenWaits = context.WithCancelCause(context.Background())
}

func (g *gate) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.InFlight() + g.forced
}

// load returns the number of requests running on the upstream, including the
// estimate for a previous owner.
func (g *gate) load() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.InFlight() + g.forced + g.foreign
}

// deliver sends effects to the queued requests that wait for them.
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

// release frees the slot. Only the first call has an effect.
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
