// Package orders decides which orders the lease holder sends to engines, so
// that each engine serves its declared model. It does no I/O and reads no
// clock: time is an argument, inputs are events and outputs are effects.
//
// The fence is a fencing token that rises with each change of lease holder.
// Some engines refuse an order whose fence is lower than one they have seen, so
// the first order under a new fence locks former holders out. Other engines
// ignore fences, and a paused former holder may still change them. The state of
// every engine is therefore read back periodically and corrected.
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
	// Until is when the lease ends unless it is renewed, on this process's clock.
	Until time.Time
}

// LeaseRenewed reports that the lease was extended.
type LeaseRenewed struct{ Until time.Time }

// LeaseLost reports that this process no longer holds the lease.
type LeaseLost struct{}

// Desired replaces the desired state of all engines.
type Desired struct{ Targets []Target }

// StateReceived reports the state that an engine returned for a read or an order.
type StateReceived struct {
	Engine string
	State  engineapi.OrderState
}

// OrderRefused reports that an engine refused an order because of its fence.
type OrderRefused struct {
	Engine string
	State  engineapi.OrderState
}

// CallFailed reports that a read or an order got no valid response. A failed
// order may have been executed.
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

// Read requests the state of an engine.
type Read struct{ Engine string }

// Send sends an order to an engine. The call must end by Until.
type Send struct {
	Engine string
	Order  engineapi.Order
	Until  time.Time
}

// Resign gives up the lease, because an engine has seen a newer fence.
type Resign struct{}

func (Read) effect()   {}
func (Send) effect()   {}
func (Resign) effect() {}

// Settings are the intervals and limits of a Machine.
type Settings struct {
	// TakeoverPause is how long a new holder waits before its first order. It is
	// longer than the lease plus the clock difference between processes.
	TakeoverPause time.Duration
	// LeaseMargin is how long before the end of its lease a holder stops calling
	// engines.
	LeaseMargin time.Duration
	// ReadInterval is the time after which an engine's state is read back. Jitter
	// shortens it by up to half.
	ReadInterval time.Duration
	// ReadsPerSecond limits the reads of all engines together.
	ReadsPerSecond float64
	// LoadsPerMinute and LoadBurst are the rate and size of the token bucket for
	// model loads. It protects the weight store and is shared by the whole fleet.
	LoadsPerMinute float64
	LoadBurst      int
	// LoadTimeout is how long a load may run after an order without a response
	// before it is ordered again.
	LoadTimeout time.Duration
	// MinBackoff and MaxBackoff limit the exponential backoff after failed calls
	// to one engine.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultSettings returns the settings for a lease of the given length.
func DefaultSettings(lease, clockAllowance time.Duration) Settings {
	return Settings{
		TakeoverPause: lease + 2*clockAllowance, LeaseMargin: clockAllowance,
		ReadInterval: 10 * time.Second, ReadsPerSecond: 4,
		LoadsPerMinute: 30, LoadBurst: 2, LoadTimeout: 5 * time.Minute,
		MinBackoff: time.Second, MaxBackoff: time.Minute,
	}
}

// readBurst is the size of the token bucket for reads.
const readBurst = 4

// Machine is the state machine of one process. It is not safe for concurrent use.
type Machine struct {
	settings   Settings
	random     *rand.Rand
	holdsLease bool
	fence      int64
	leaseEnd   time.Time
	// firstOrderAt is the earliest time for an order in this term.
	firstOrderAt time.Time
	loads        tokenBucket
	reads        tokenBucket
	engines      map[string]*engine
}

// engine is the desired and the last reported state of one engine.
type engine struct {
	// model is the desired model.
	model string
	// state is nil until it is read, and after a failed call.
	state *engineapi.OrderState
	// callInFlight is set during any call. orderInFlight is set when the last call
	// was an order; it is meaningful only during a call.
	callInFlight, orderInFlight bool
	// loadDeadline is when a load that got no response counts as failed.
	loadDeadline time.Time
	// fenceRaised is set once the engine has reported the fence of this term or a
	// newer one.
	fenceRaised bool
	failures    int
	// readAt is when the next read is due, and retryAt the earliest time for any
	// call.
	readAt, retryAt time.Time
}

// New returns a Machine that doesn't hold the lease. The seed determines the
// jitter.
func New(settings Settings, seed uint64) *Machine {
	return &Machine{
		settings: settings, random: rand.New(rand.NewPCG(seed, 0)),
		engines: make(map[string]*engine),
	}
}

// HoldsLease reports whether this process holds the lease, and its latest fence.
func (m *Machine) HoldsLease() (fence int64, ok bool) { return m.fence, m.holdsLease }

// Step handles one event and returns the resulting effects.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	var effects []Effect
	switch e := e.(type) {
	case Elected:
		m.elected(now, e)
	case LeaseRenewed:
		m.leaseEnd = e.Until
	case LeaseLost:
		m.holdsLease = false
	case Desired:
		m.setDesired(e.Targets)
	case StateReceived:
		m.stateReceived(now, e)
	case OrderRefused:
		effects = m.orderRefused(now, e)
	case CallFailed:
		m.callFailed(now, e.Engine)
	}
	return append(effects, m.startCalls(now)...)
}

// elected starts a term with an empty bucket for model loads, because the former
// holder may have used up the burst of the weight store.
func (m *Machine) elected(now time.Time, e Elected) {
	m.holdsLease = true
	m.fence = e.Fence
	m.leaseEnd = e.Until
	m.firstOrderAt = now.Add(m.settings.TakeoverPause)
	m.loads = tokenBucket{ratePerSecond: m.settings.LoadsPerMinute / time.Minute.Seconds(), burst: float64(m.settings.LoadBurst), updatedAt: now}
	m.reads = tokenBucket{ratePerSecond: m.settings.ReadsPerSecond, burst: readBurst, tokens: readBurst, updatedAt: now}
	for _, eng := range m.engines {
		eng.state = nil
		eng.fenceRaised = false
		eng.readAt = now
		eng.loadDeadline = time.Time{}
	}
}

func (m *Machine) setDesired(targets []Target) {
	next := make(map[string]*engine, len(targets))
	for _, target := range targets {
		eng := m.engines[target.Engine]
		if eng == nil {
			eng = &engine{}
		}
		if eng.model != target.Model {
			eng.loadDeadline = time.Time{}
		}
		eng.model = target.Model
		next[target.Engine] = eng
	}
	m.engines = next
}

func (m *Machine) stateReceived(now time.Time, e StateReceived) {
	eng := m.engines[e.Engine]
	if eng == nil {
		return
	}
	if eng.orderInFlight {
		eng.loadDeadline = time.Time{}
	}
	eng.callInFlight = false
	eng.failures = 0
	eng.state = &e.State
	eng.fenceRaised = eng.fenceRaised || e.State.Fence >= m.fence
	eng.readAt = now.Add(m.jitter(m.settings.ReadInterval))
}

// orderRefused resigns if the engine has seen a newer fence. The engine's state is
// read again after a backoff.
func (m *Machine) orderRefused(now time.Time, e OrderRefused) []Effect {
	if eng := m.engines[e.Engine]; eng != nil {
		eng.loadDeadline = time.Time{}
	}
	m.callFailed(now, e.Engine)
	if !m.holdsLease || e.State.Fence <= m.fence {
		return nil
	}
	m.holdsLease = false
	return []Effect{Resign{}}
}

func (m *Machine) callFailed(now time.Time, name string) {
	eng := m.engines[name]
	if eng == nil {
		return
	}
	eng.callInFlight = false
	eng.state = nil
	eng.failures++
	pause := min(m.settings.MinBackoff<<min(eng.failures-1, 16), m.settings.MaxBackoff)
	eng.retryAt = now.Add(m.jitter(pause))
	eng.readAt = eng.retryAt
}

// jitter returns a random duration between d/2 and d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)+1))
}

// startCalls returns the calls that are due, the longest overdue first.
func (m *Machine) startCalls(now time.Time) []Effect {
	if !m.leaseValid(now) {
		return nil
	}
	var effects []Effect
	for _, name := range m.due(now) {
		eng := m.engines[name]
		effect, ok := m.nextCall(now, name, eng)
		if !ok {
			continue
		}
		eng.callInFlight = true
		_, eng.orderInFlight = effect.(Send)
		effects = append(effects, effect)
	}
	return effects
}

func (m *Machine) leaseValid(now time.Time) bool {
	return m.holdsLease && now.Before(m.leaseEnd.Add(-m.settings.LeaseMargin))
}

func (m *Machine) due(now time.Time) []string {
	var names []string
	for name, eng := range m.engines {
		if !eng.callInFlight && !now.Before(eng.retryAt) {
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

// nextCall returns the call that an engine needs now, if any and if the rate
// limits allow it.
func (m *Machine) nextCall(now time.Time, name string, eng *engine) (Effect, bool) {
	if eng.state == nil || !now.Before(eng.readAt) {
		return Read{name}, m.reads.take(now)
	}
	if now.Before(m.firstOrderAt) {
		return nil, false
	}
	order, ok := m.nextOrder(now, eng)
	if !ok {
		return nil, false
	}
	if order.Action == ActionLoad {
		eng.loadDeadline = now.Add(m.settings.LoadTimeout)
	}
	order.Fence = m.fence
	return Send{Engine: name, Order: order, Until: m.leaseEnd.Add(-m.settings.LeaseMargin)}, true
}

// nextOrder returns the next order that moves an engine towards its desired state:
// load the missing model, then unload other models. If neither is needed and the
// fence isn't raised yet, the order sets the unchanged role to raise the fence.
func (m *Machine) nextOrder(now time.Time, eng *engine) (engineapi.Order, bool) {
	if !slices.Contains(eng.state.Models, eng.model) {
		due := !now.Before(eng.loadDeadline)
		return engineapi.Order{Action: ActionLoad, Model: eng.model}, due && m.loads.take(now)
	}
	for _, model := range eng.state.Models {
		if model != eng.model {
			return engineapi.Order{Action: ActionUnload, Model: model}, true
		}
	}
	if !eng.fenceRaised {
		return engineapi.Order{Action: ActionRole, Role: eng.state.Role}, true
	}
	return engineapi.Order{}, false
}

type tokenBucket struct {
	ratePerSecond, burst, tokens float64
	updatedAt                    time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed*b.ratePerSecond)
		b.updatedAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
