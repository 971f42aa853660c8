// Package orders decides which orders the lease holder sends to engines, so
// that each engine serves its declared model. It does no I/O and reads no
// clock: time is an argument, inputs are events and outputs effects.
//
// Some engines refuse an order whose fence is lower than one they have seen;
// the first order under a new fence locks older holders out. Others ignore
// fences, so a paused former holder may still change them: the state of every
// engine is read back again and again and corrected.
package orders

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
)

// Actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
	ActionRole   = "role"
)

// Target is the desired state of one engine.
type Target struct {
	Engine string
	Model  string
}

// Event is an input of a Machine.
type Event interface{ event() }

// Elected reports that this process holds the lease.
type Elected struct {
	// Fence rises with each change of holder.
	Fence int64
	// Until is when the lease ends unless it is renewed, by this process's clock.
	Until time.Time
}

// LeaseRenewed reports that the lease runs longer.
type LeaseRenewed struct{ Until time.Time }

// LeaseLost reports that this process no longer holds the lease.
type LeaseLost struct{}

// Desired replaces the desired state of all engines.
type Desired struct{ Targets []Target }

// StateReceived reports the state that an engine gave, after a read or an order.
type StateReceived struct {
	Engine string
	State  engineapi.OrderState
}

// OrderRefused reports that an engine refused an order for its fence.
type OrderRefused struct {
	Engine string
	State  engineapi.OrderState
}

// CallFailed reports that a read or an order got no answer; an order may have been
// carried out.
type CallFailed struct{ Engine string }

// Tick reports that time has passed.
type Tick struct{}

func (Elected) event()       {}
func (LeaseRenewed) event()  {}
func (LeaseLost) event()     {}
func (Desired) event()       {}
func (StateReceived) event() {}
func (OrderRefused) event()  {}
func (CallFailed) event()    {}
func (Tick) event()          {}

// Effect is an output of a Machine.
type Effect interface{ effect() }

// Read asks an engine for its state.
type Read struct{ Engine string }

// Send gives an engine an order. It must end by Until.
type Send struct {
	Engine string
	Order  engineapi.Order
	Until  time.Time
}

// Resign gives the lease up, because an engine has seen a newer holder.
type Resign struct{}

func (Read) effect()   {}
func (Send) effect()   {}
func (Resign) effect() {}

// Settings bound a Machine.
type Settings struct {
	// TakeoverPause is how long a new holder waits before its first order. It is
	// longer than the lease and the difference of the clocks.
	TakeoverPause time.Duration
	// LeaseMargin is how long before the end of its lease a holder stops.
	LeaseMargin time.Duration
	// ReadInterval is how often an engine's state is read back at most.
	ReadInterval time.Duration
	// ReadsPerSecond bounds the reads of all engines together.
	ReadsPerSecond float64
	// LoadsPerMinute and LoadBurst are the token bucket of the weight store, for
	// the whole fleet.
	LoadsPerMinute float64
	LoadBurst      int
	// LoadTimeout is how long a load whose order got no answer may go on before
	// it is ordered again.
	LoadTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after failures of one engine.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultSettings returns the bounds for a lease of the given length.
func DefaultSettings(lease, clockAllowance time.Duration) Settings {
	return Settings{
		TakeoverPause: lease + 2*clockAllowance, LeaseMargin: clockAllowance,
		ReadInterval: 10 * time.Second, ReadsPerSecond: 4,
		LoadsPerMinute: 30, LoadBurst: 2, LoadTimeout: 5 * time.Minute,
		MinBackoff: time.Second, MaxBackoff: time.Minute,
	}
}

// readBurst is the number of reads that may be due at once.
const readBurst = 4

// Machine holds the state of one process. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	random   *rand.Rand
	holding  bool
	fence    int64
	until    time.Time
	// from is when orders may start.
	from    time.Time
	loads   bucket
	reads   bucket
	engines map[string]*engine
}

// engine is what is known of one engine.
type engine struct {
	model string
	// state is nil until it is read, and after a call without an answer.
	state *engineapi.OrderState
	// busy is set while a call is in progress, and ordering when it is an order.
	busy, ordering bool
	// loadingUntil is when a load without an answer counts as failed.
	loadingUntil time.Time
	// raised is set when an order of this fence was answered.
	raised   bool
	failures int
	// readAt is when the next read is due, retryAt when any call may be made.
	readAt, retryAt time.Time
}

// New returns a Machine that doesn't hold the lease. The seed decides jitter.
func New(settings Settings, seed uint64) *Machine {
	return &Machine{
		settings: settings, random: rand.New(rand.NewPCG(seed, 0)),
		engines: make(map[string]*engine),
	}
}

// HoldsLease reports whether this process holds the lease, and its fence.
func (m *Machine) HoldsLease() (fence int64, ok bool) { return m.fence, m.holding }

// Step handles one event.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	var effects []Effect
	switch e := e.(type) {
	case Elected:
		m.elected(now, e)
	case LeaseRenewed:
		m.until = e.Until
	case LeaseLost:
		m.holding = false
	case Desired:
		m.desired(e.Targets)
	case StateReceived:
		m.answered(now, e)
	case OrderRefused:
		effects = m.refused(now, e)
	case CallFailed:
		m.failed(now, e.Engine)
	}
	return append(effects, m.calls(now)...)
}

// elected starts a term with empty buckets: the former holder may have used up
// the weight store's.
func (m *Machine) elected(now time.Time, e Elected) {
	m.holding = true
	m.fence = e.Fence
	m.until = e.Until
	m.from = now.Add(m.settings.TakeoverPause)
	m.loads = bucket{perSecond: m.settings.LoadsPerMinute / time.Minute.Seconds(), burst: float64(m.settings.LoadBurst), at: now}
	m.reads = bucket{perSecond: m.settings.ReadsPerSecond, burst: readBurst, tokens: readBurst, at: now}
	for _, known := range m.engines {
		known.state = nil
		known.raised = false
		known.readAt = now
		known.loadingUntil = time.Time{}
	}
}

func (m *Machine) desired(targets []Target) {
	next := make(map[string]*engine, len(targets))
	for _, target := range targets {
		known := m.engines[target.Engine]
		if known == nil {
			known = &engine{}
		}
		if known.model != target.Model {
			known.loadingUntil = time.Time{}
		}
		known.model = target.Model
		next[target.Engine] = known
	}
	m.engines = next
}

func (m *Machine) answered(now time.Time, e StateReceived) {
	known := m.engines[e.Engine]
	if known == nil {
		return
	}
	if known.ordering {
		known.loadingUntil = time.Time{}
	}
	known.busy = false
	known.failures = 0
	known.state = &e.State
	known.raised = known.raised || e.State.Fence >= m.fence
	known.readAt = now.Add(m.jitter(m.settings.ReadInterval))
}

// refused resigns when the engine has seen a newer fence. Otherwise the state
// is read again.
func (m *Machine) refused(now time.Time, e OrderRefused) []Effect {
	if known := m.engines[e.Engine]; known != nil {
		known.loadingUntil = time.Time{}
	}
	m.failed(now, e.Engine)
	if !m.holding || e.State.Fence <= m.fence {
		return nil
	}
	m.holding = false
	return []Effect{Resign{}}
}

func (m *Machine) failed(now time.Time, name string) {
	known := m.engines[name]
	if known == nil {
		return
	}
	known.busy = false
	known.state = nil
	known.failures++
	pause := min(m.settings.MinBackoff<<min(known.failures-1, 16), m.settings.MaxBackoff)
	known.retryAt = now.Add(m.jitter(pause))
	known.readAt = known.retryAt
}

// jitter returns between half and all of a time span.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)+1))
}

// calls starts what is due, the longest due first.
func (m *Machine) calls(now time.Time) []Effect {
	if !m.leaseValid(now) {
		return nil
	}
	var effects []Effect
	for _, name := range m.due(now) {
		known := m.engines[name]
		effect, ok := m.next(now, name, known)
		if !ok {
			continue
		}
		known.busy = true
		_, known.ordering = effect.(Send)
		effects = append(effects, effect)
	}
	return effects
}

func (m *Machine) leaseValid(now time.Time) bool {
	return m.holding && now.Before(m.until.Add(-m.settings.LeaseMargin))
}

func (m *Machine) due(now time.Time) []string {
	var names []string
	for name, known := range m.engines {
		if !known.busy && !now.Before(known.retryAt) {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := m.engines[names[i]], m.engines[names[j]]
		if !a.readAt.Equal(b.readAt) {
			return a.readAt.Before(b.readAt)
		}
		return names[i] < names[j]
	})
	return names
}

// next returns the call that an engine needs now, if any.
func (m *Machine) next(now time.Time, name string, known *engine) (Effect, bool) {
	if known.state == nil || !now.Before(known.readAt) {
		return Read{name}, m.reads.take(now)
	}
	if now.Before(m.from) {
		return nil, false
	}
	order, ok := m.order(now, known)
	if !ok {
		return nil, false
	}
	if order.Action == ActionLoad {
		known.loadingUntil = now.Add(m.settings.LoadTimeout)
	}
	order.Fence = m.fence
	return Send{Engine: name, Order: order, Until: m.until.Add(-m.settings.LeaseMargin)}, true
}

// order returns what brings an engine nearer to its desired state: first the
// model it lacks, then away with others, then the fence alone.
func (m *Machine) order(now time.Time, known *engine) (engineapi.Order, bool) {
	if !slices.Contains(known.state.Models, known.model) {
		due := !now.Before(known.loadingUntil)
		return engineapi.Order{Action: ActionLoad, Model: known.model}, due && m.loads.take(now)
	}
	for _, model := range known.state.Models {
		if model != known.model {
			return engineapi.Order{Action: ActionUnload, Model: model}, true
		}
	}
	if !known.raised {
		return engineapi.Order{Action: ActionRole, Role: known.state.Role}, true
	}
	return engineapi.Order{}, false
}

// bucket is a token bucket.
type bucket struct {
	perSecond, burst, tokens float64
	at                       time.Time
}

func (b *bucket) take(now time.Time) bool {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed*b.perSecond)
		b.at = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
