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

// fakeEngine is an engine that checks fences or doesn't.
type fakeEngine struct {
	checks bool
	state  engineapi.OrderState
	loads  int
}

func (e *fakeEngine) order(o engineapi.Order) bool {
	if e.checks && o.Fence < e.state.Fence {
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

// rig drives machines against engines on a clock of its own.
type rig struct {
	now     time.Time
	engines map[string]*fakeEngine
	sent    []Send
}

func (r *rig) run(m *Machine, effects []Effect) {
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch effect := effect.(type) {
		case Read:
			effects = append(effects, m.Step(r.now, StateReceived{effect.Engine, r.engines[effect.Engine].state})...)
		case Send:
			r.sent = append(r.sent, effect)
			effects = append(effects, m.Step(r.now, r.deliver(effect))...)
		}
	}
}

func (r *rig) deliver(s Send) Event {
	e := r.engines[s.Engine]
	if !e.order(s.Order) {
		return OrderRefused{s.Engine, e.state}
	}
	return StateReceived{s.Engine, e.state}
}

// pass lets time go by with a renewed lease.
func (r *rig) pass(m *Machine, d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(500 * time.Millisecond)
		r.run(m, m.Step(r.now, LeaseRenewed{r.now.Add(lease)}))
	}
}

func newRig(targets ...Target) (*rig, *Machine) {
	r := &rig{now: start, engines: map[string]*fakeEngine{"checks": {checks: true}, "ignores": {}}}
	m := New(DefaultSettings(lease, allowance), 1)
	m.Step(r.now, Desired{targets})
	return r, m
}

var both = []Target{{"checks", "new"}, {"ignores", "new"}}

func models(r *rig) string {
	return fmt.Sprint(r.engines["checks"].state.Models, r.engines["ignores"].state.Models)
}

func TestNewHolderWaitsThenOrders(t *testing.T) {
	r, m := newRig(both...)
	r.engines["ignores"].state.Models = []string{"old"}
	r.run(m, m.Step(r.now, Elected{Fence: 5, Until: r.now.Add(lease)}))
	r.pass(m, lease+2*allowance-time.Second)
	if len(r.sent) != 0 {
		t.Fatal("an order before the pause is over", r.sent)
	}
	r.pass(m, 10*time.Second)
	if models(r) != "[new] [new]" {
		t.Fatal(models(r))
	}
	sent := len(r.sent)
	r.pass(m, time.Minute)
	if len(r.sent) != sent {
		t.Fatal("orders without need", r.sent[sent:])
	}
}

// TestPausedHolder has a holder stop with an order in flight, which arrives
// after a new holder has set the engines up.
func TestPausedHolder(t *testing.T) {
	r, paused := newRig(Target{"checks", "old"}, Target{"ignores", "old"})
	r.run(paused, paused.Step(r.now, Elected{Fence: 5, Until: r.now.Add(lease)}))
	r.pass(paused, time.Minute)
	if models(r) != "[old] [old]" {
		t.Fatal(models(r))
	}
	late := []Send{
		{Engine: "checks", Order: engineapi.Order{Fence: 5, Action: ActionUnload, Model: "new"}},
		{Engine: "ignores", Order: engineapi.Order{Fence: 5, Action: ActionUnload, Model: "new"}},
	}
	next := New(DefaultSettings(lease, allowance), 2)
	next.Step(r.now, Desired{both})
	r.run(next, next.Step(r.now, Elected{Fence: 9, Until: r.now.Add(lease)}))
	r.pass(next, time.Minute)
	if models(r) != "[new] [new]" {
		t.Fatal(models(r))
	}
	if effects := paused.Step(r.now, Tick{}); len(effects) != 0 {
		t.Fatal("a holder past its lease goes on", effects)
	}
	resigned := paused.Step(r.now, r.deliver(late[0]))
	if len(resigned) != 1 || resigned[0] != (Resign{}) {
		t.Fatal("a refused holder doesn't resign", resigned)
	}
	r.deliver(late[1])
	if models(r) != "[new] []" {
		t.Fatal("the fakes don't differ as meant", models(r))
	}
	r.pass(next, time.Minute)
	if models(r) != "[new] [new]" {
		t.Fatal("not corrected", models(r))
	}
}

// TestFenceIsRaisedWithoutNeed locks old holders out of engines that are right
// already.
func TestFenceIsRaisedWithoutNeed(t *testing.T) {
	r, m := newRig(Target{"checks", "new"})
	r.engines["checks"].state = engineapi.OrderState{Fence: 5, Models: []string{"new"}, Role: "decode"}
	r.run(m, m.Step(r.now, Elected{Fence: 9, Until: r.now.Add(lease)}))
	r.pass(m, time.Minute)
	if state := r.engines["checks"].state; state.Fence != 9 || len(r.sent) != 1 || r.sent[0].Order.Role != "decode" {
		t.Fatal(state, r.sent)
	}
}

func TestNoOrderNearTheEndOfTheLease(t *testing.T) {
	r, m := newRig(Target{"checks", "new"})
	r.run(m, m.Step(r.now, Elected{Fence: 5, Until: r.now.Add(time.Hour)}))
	r.now = r.now.Add(time.Hour - allowance)
	if effects := m.Step(r.now, Tick{}); len(effects) != 0 {
		t.Fatal(effects)
	}
}

func TestLoadsKeepToTheBucket(t *testing.T) {
	r := &rig{now: start, engines: map[string]*fakeEngine{}}
	m := New(DefaultSettings(lease, allowance), 1)
	var targets []Target
	for i := range 40 {
		name := fmt.Sprint("e", i)
		r.engines[name] = &fakeEngine{}
		targets = append(targets, Target{name, "new"})
	}
	m.Step(r.now, Desired{targets})
	r.run(m, m.Step(r.now, Elected{Fence: 5, Until: r.now.Add(lease)}))
	r.pass(m, time.Minute)
	loads := 0
	for _, e := range r.engines {
		loads += e.loads
	}
	if loads > 32 || loads < 20 {
		t.Fatal("loads in a minute", loads)
	}
}

// TestSlowLoadIsOrderedOnce has an engine whose load outlasts the order's time
// limit.
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
		t.Fatal("loads at", loads)
	}
}

func TestFailedCallIsReadBackFirst(t *testing.T) {
	r, m := newRig(Target{"checks", "new"})
	m.Step(r.now, Elected{Fence: 5, Until: r.now.Add(time.Hour)})
	m.Step(r.now, StateReceived{"checks", engineapi.OrderState{}})
	r.now = r.now.Add(lease + 2*allowance)
	m.Step(r.now, StateReceived{"checks", engineapi.OrderState{}})
	m.Step(r.now, CallFailed{"checks"})
	r.now = r.now.Add(2 * time.Second)
	effects := m.Step(r.now, Tick{})
	if len(effects) != 1 || effects[0] != (Read{"checks"}) {
		t.Fatal(effects)
	}
}
