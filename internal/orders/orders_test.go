package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
)

const (
	lease     = 10 * time.Second
	allowance = time.Second
)

var start = time.Unix(1_000_000, 0)

// fakeEngine is an engine that checks or ignores fences.
type fakeEngine struct {
	checksFence bool
	state       engineapi.OrderState
	loads       int
}

func (e *fakeEngine) order(o engineapi.Order) bool {
	if e.checksFence && o.Fence < e.state.Fence {
		return false
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	switch o.Action {
	case ActionLoad:
		e.loads++
		if !slices.Contains(e.state.Models, o.Model) {
			e.state.Models = append(slices.Clone(e.state.Models), o.Model)
		}
	case ActionUnload:
		e.state.Models = slices.DeleteFunc(slices.Clone(e.state.Models), func(m string) bool { return m == o.Model })
	}
	return true
}

// harness runs machines against fake engines on a simulated clock.
type harness struct {
	now     time.Time
	engines map[string]*fakeEngine
	sent    []Send
}

func (h *harness) run(m *Machine, effects []Effect) {
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch effect := effect.(type) {
		case Read:
			effects = append(effects, m.Step(h.now, StateReceived{effect.Engine, h.engines[effect.Engine].state})...)
		case Send:
			h.sent = append(h.sent, effect)
			effects = append(effects, m.Step(h.now, h.deliver(effect))...)
		}
	}
}

func (h *harness) deliver(s Send) Event {
	e := h.engines[s.Engine]
	if !e.order(s.Order) {
		return OrderRefused{s.Engine, e.state}
	}
	return StateReceived{s.Engine, e.state}
}

// advance moves the clock forward in steps of 500 ms and renews the lease at each.
func (h *harness) advance(m *Machine, d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(500 * time.Millisecond)
		h.run(m, m.Step(h.now, LeaseRenewed{h.now.Add(lease)}))
	}
}

func newHarness(targets ...Target) (*harness, *Machine) {
	h := &harness{now: start, engines: map[string]*fakeEngine{"checks": {checksFence: true}, "ignores": {}}}
	m := New(DefaultSettings(lease, allowance), 1)
	m.Step(h.now, Desired{targets})
	return h, m
}

var bothEngines = []Target{{"checks", "new"}, {"ignores", "new"}}

func models(h *harness) string {
	return fmt.Sprint(h.engines["checks"].state.Models, h.engines["ignores"].state.Models)
}

func TestNewHolderWaitsBeforeOrders(t *testing.T) {
	h, m := newHarness(bothEngines...)
	h.engines["ignores"].state.Models = []string{"old"}
	h.run(m, m.Step(h.now, Elected{Fence: 5, Until: h.now.Add(lease)}))
	h.advance(m, lease+2*allowance-time.Second)
	if len(h.sent) != 0 {
		t.Fatal("order sent during the takeover pause", h.sent)
	}
	h.advance(m, 10*time.Second)
	if models(h) != "[new] [new]" {
		t.Fatal(models(h))
	}
	sent := len(h.sent)
	h.advance(m, time.Minute)
	if len(h.sent) != sent {
		t.Fatal("orders sent to up-to-date engines", h.sent[sent:])
	}
}

// TestLateOrdersOfPausedHolder covers a holder that is paused with orders in
// flight. They arrive after a new holder has brought the engines to the desired
// state: engines that check fences refuse them, and the holder corrects the others.
func TestLateOrdersOfPausedHolder(t *testing.T) {
	h, paused := newHarness(Target{"checks", "old"}, Target{"ignores", "old"})
	h.run(paused, paused.Step(h.now, Elected{Fence: 5, Until: h.now.Add(lease)}))
	h.advance(paused, time.Minute)
	if models(h) != "[old] [old]" {
		t.Fatal(models(h))
	}
	late := []Send{
		{Engine: "checks", Order: engineapi.Order{Fence: 5, Action: ActionUnload, Model: "new"}},
		{Engine: "ignores", Order: engineapi.Order{Fence: 5, Action: ActionUnload, Model: "new"}},
	}
	next := New(DefaultSettings(lease, allowance), 2)
	next.Step(h.now, Desired{bothEngines})
	h.run(next, next.Step(h.now, Elected{Fence: 9, Until: h.now.Add(lease)}))
	h.advance(next, time.Minute)
	if models(h) != "[new] [new]" {
		t.Fatal(models(h))
	}
	if effects := paused.Step(h.now, Tick{}); len(effects) != 0 {
		t.Fatal("calls by a holder whose lease has ended", effects)
	}
	resigned := paused.Step(h.now, h.deliver(late[0]))
	if len(resigned) != 1 || resigned[0] != (Resign{}) {
		t.Fatal("holder did not resign after a refusal for a newer fence", resigned)
	}
	h.deliver(late[1])
	if models(h) != "[new] []" {
		t.Fatal("late order: want it refused by one fake engine and executed by the other", models(h))
	}
	h.advance(next, time.Minute)
	if models(h) != "[new] [new]" {
		t.Fatal("late order not corrected", models(h))
	}
}

// TestFenceRaisedOnUpToDateEngine checks that a new holder also locks former
// holders out of engines that are already in the desired state.
func TestFenceRaisedOnUpToDateEngine(t *testing.T) {
	h, m := newHarness(Target{"checks", "new"})
	h.engines["checks"].state = engineapi.OrderState{Fence: 5, Models: []string{"new"}, Role: "decode"}
	h.run(m, m.Step(h.now, Elected{Fence: 9, Until: h.now.Add(lease)}))
	h.advance(m, time.Minute)
	if state := h.engines["checks"].state; state.Fence != 9 || len(h.sent) != 1 || h.sent[0].Order.Role != "decode" {
		t.Fatal(state, h.sent)
	}
}

func TestNoCallWithinLeaseMargin(t *testing.T) {
	h, m := newHarness(Target{"checks", "new"})
	h.run(m, m.Step(h.now, Elected{Fence: 5, Until: h.now.Add(time.Hour)}))
	h.now = h.now.Add(time.Hour - allowance)
	if effects := m.Step(h.now, Tick{}); len(effects) != 0 {
		t.Fatal(effects)
	}
}

func TestLoadsLimitedByTokenBucket(t *testing.T) {
	h := &harness{now: start, engines: map[string]*fakeEngine{}}
	m := New(DefaultSettings(lease, allowance), 1)
	var targets []Target
	for i := range 40 {
		name := fmt.Sprint("e", i)
		h.engines[name] = &fakeEngine{}
		targets = append(targets, Target{name, "new"})
	}
	m.Step(h.now, Desired{targets})
	h.run(m, m.Step(h.now, Elected{Fence: 5, Until: h.now.Add(lease)}))
	h.advance(m, time.Minute)
	loads := 0
	for _, e := range h.engines {
		loads += e.loads
	}
	if loads > 32 || loads < 20 {
		t.Fatal("loads within one minute:", loads)
	}
}

// TestSlowLoadIsOrderedOnce covers a load that outlasts the time limit of its
// order: the load is not ordered again before LoadTimeout.
func TestSlowLoadIsOrderedOnce(t *testing.T) {
	m := New(DefaultSettings(lease, allowance), 1)
	now := start
	m.Step(now, Desired{[]Target{{"slow", "new"}}})
	m.Step(now, Elected{Fence: 5, Until: now.Add(time.Hour)})
	var loads []time.Duration
	for range 1200 {
		now = now.Add(500 * time.Millisecond)
		effects := m.Step(now, LeaseRenewed{now.Add(time.Hour)})
		if now.Sub(start) == 500*time.Millisecond {
			effects = append(effects, Read{"slow"})
		}
		for _, effect := range effects {
			switch effect := effect.(type) {
			case Read:
				m.Step(now, StateReceived{"slow", engineapi.OrderState{}})
			case Send:
				if effect.Order.Action == ActionLoad {
					loads = append(loads, now.Sub(start))
				}
				m.Step(now, CallFailed{"slow"})
			}
		}
	}
	if len(loads) != 2 || loads[1]-loads[0] < 5*time.Minute {
		t.Fatal("times of load orders:", loads)
	}
}

func TestFailedCallIsReadBackFirst(t *testing.T) {
	h, m := newHarness(Target{"checks", "new"})
	m.Step(h.now, Elected{Fence: 5, Until: h.now.Add(time.Hour)})
	m.Step(h.now, StateReceived{"checks", engineapi.OrderState{}})
	h.now = h.now.Add(lease + 2*allowance)
	m.Step(h.now, StateReceived{"checks", engineapi.OrderState{}})
	m.Step(h.now, CallFailed{"checks"})
	h.now = h.now.Add(2 * time.Second)
	effects := m.Step(h.now, Tick{})
	if len(effects) != 1 || effects[0] != (Read{"checks"}) {
		t.Fatal(effects)
	}
}
