package ledger

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

const (
	worldTurns = 2000
	worldRuns  = 150
	firstSeed  = 20261203
)

func runWorld(seed int64, skewed bool, change func(*world)) *world {
	w := newWorld(seed, 3)
	if skewed {
		w.holders[1].clock = 50 * time.Second
		w.holders[2].clock = -3 * time.Minute
	}
	if change != nil {
		change(w)
	}
	for range worldTurns {
		w.turn()
	}
	w.settle()
	w.judge()
	w.requireAlive()
	return w
}

// requireAlive checks that every holder runs a new action after the faults.
func (w *world) requireAlive() {
	for i, h := range w.holders {
		if w.noFence || w.noHorizon || h.clock != 0 {
			continue
		}
		key := w.key(w.now)
		w.send(i, key, 1)
		w.settle()
		if w.executions[key] != 1 {
			w.fail("a new action at holder %d ran %d times after the faults", i, w.executions[key])
		}
	}
}

// Actions run at most once, and never when refused as not run, through random
// kills, freezes, lost replies, late appends and resends at three holders.
// TestFenceIsNeeded and TestHorizonIsNeeded show the same judge failing.
func TestAtMostOnceProperty(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(firstSeed)
	parameters.MinSuccessfulTests = worldRuns
	properties := gopter.NewProperties(parameters)
	executed := 0
	properties.Property("at most once", prop.ForAll(func(seed int64, skewed bool) string {
		w := runWorld(seed, skewed, nil)
		executed += len(w.executions)
		if len(w.violations) > 0 {
			return w.violations[0]
		}
		return ""
	}, gen.Int64(), gen.Bool()))
	properties.TestingRun(t)
	t.Logf("%d actions ran", executed)
	if executed < worldRuns {
		t.Errorf("only %d actions ran in %d worlds: the property checks too little", executed, worldRuns)
	}
}

// Without the compare of the head, two holders claim the same action.
func TestFenceIsNeeded(t *testing.T) {
	requireViolation(t, func(w *world) { w.noFence = true })
}

// Without horizons in the journal, a holder whose clock runs behind claims a
// key again whose claim was dropped.
func TestHorizonIsNeeded(t *testing.T) {
	requireViolation(t, func(w *world) { w.noHorizon = true })
}

// A holder that trusts an old copy of the journal refuses an action as not run
// that ran at another holder.
func TestTrustTimeIsNeeded(t *testing.T) {
	requireViolation(t, func(w *world) { w.setTrust(time.Hour) })
}

func (w *world) setTrust(d time.Duration) {
	for _, h := range w.holders {
		h.ledger.cfg.TrustTime = d
	}
}

func requireViolation(t *testing.T, change func(*world)) {
	t.Helper()
	for seed := range int64(worldRuns) {
		if w := runWorld(seed, true, change); len(w.violations) > 0 {
			t.Logf("seed %d: %s", seed, w.violations[0])
			return
		}
	}
	t.Error("no violation found: the test doesn't exercise the mechanism")
}

// calm returns a world without faults, whose calls are run by settle.
func calm() *world {
	w := newWorld(firstSeed, 2)
	w.faults = false
	w.setTrust(time.Minute)
	return w
}

func (w *world) lastReply(t *testing.T, i int, key [16]byte, fingerprint uint64) Reply {
	t.Helper()
	r := w.send(i, key, fingerprint)
	if r.replies != 1 {
		t.Fatal("no immediate reply")
	}
	return r.last
}

func requireRefusal(t *testing.T, reply Reply, kind refusal.Kind, outcome refusal.Outcome) {
	t.Helper()
	if reply.Refusal == nil || reply.Refusal.Kind != kind || reply.Refusal.Outcome != outcome {
		t.Fatalf("reply %+v, want %s (%s)", reply, kind, outcome)
	}
}

func TestResendOfFinishedActionGetsRecordedOutcome(t *testing.T) {
	w := calm()
	key := w.key(w.now)
	w.send(0, key, 200)
	w.settle()
	reply := w.lastReply(t, 0, key, 200)
	if reply.Refusal != nil || !reply.Result.Recorded || reply.Result.Status != 200 {
		t.Fatalf("reply %+v, want the recorded 200", reply)
	}
	requireRefusal(t, w.lastReply(t, 0, key, 201), refusal.ActionKeyReused, refusal.NotRun)
	resend := w.send(1, key, 200)
	w.settle()
	if resend.replies != 1 || resend.notRun || w.executions[key] != 1 {
		t.Fatalf("resend through another holder: %+v, ran %d times", resend, w.executions[key])
	}
}

// Fails without the head check: an idle holder would go on refusing for ever
// after an outage, and never learn that it was replaced.
func TestIdleHolderLearnsOfOutageAndReplacement(t *testing.T) {
	w := calm()
	l := w.holders[0].ledger
	w.send(0, w.key(w.now), 1)
	w.settle()
	w.down = true
	w.settle()
	key := w.key(w.now)
	requireRefusal(t, w.lastReply(t, 0, key, 1), refusal.ClaimsUnavailable, refusal.NotRun)
	w.now = w.now.Add(2 * time.Minute)
	requireRefusal(t, w.lastReply(t, 0, w.key(w.now), 1), refusal.ClaimsUnavailable, refusal.Unknown)
	w.down = false
	w.settle()
	key = w.key(w.now)
	w.send(0, key, 1)
	w.settle()
	if w.executions[key] != 1 {
		t.Fatalf("after the outage: a new action ran %d times", w.executions[key])
	}
	w.send(1, w.key(w.now), 1)
	w.settle()
	if l.Stats().Open {
		t.Error("the replaced holder believes that it holds the slot")
	}
}

// Without a horizon that follows the clock, a full ledger would claim nothing
// and so never forget anything.
func TestFullLedgerMakesRoom(t *testing.T) {
	w := calm()
	w.holders[0].ledger.cfg.MaxActions = 3
	for range 3 {
		w.send(0, w.key(w.now), 1)
	}
	w.settle()
	requireRefusal(t, w.lastReply(t, 0, w.key(w.now), 1), refusal.Overloaded, refusal.NotRun)
	w.now = w.now.Add(2 * time.Minute)
	w.settle()
	key := w.key(w.now)
	w.send(0, key, 1)
	w.settle()
	if w.executions[key] != 1 {
		t.Errorf("a new action ran %d times after the retention", w.executions[key])
	}
}

func TestKeyTimes(t *testing.T) {
	w := calm()
	w.send(0, w.key(w.now), 1)
	w.settle()
	late := w.key(w.now.Add(-2 * time.Minute))
	requireRefusal(t, w.lastReply(t, 0, late, 1), refusal.ActionKeyExpired, refusal.Unknown)
	early := w.key(w.now.Add(time.Hour))
	requireRefusal(t, w.lastReply(t, 0, early, 1), refusal.ActionKeyInvalid, refusal.NotRun)
	requireRefusal(t, w.lastReply(t, 0, [16]byte{}, 1), refusal.ActionKeyInvalid, refusal.NotRun)
}

func TestClaimOfFormerHolderIsUnconfirmed(t *testing.T) {
	w := calm()
	key := w.key(w.now)
	w.send(0, key, 1)
	for len(w.ops) > 0 && !w.dispatching() {
		w.runOp()
	}
	w.send(1, w.key(w.now), 2)
	for n := 0; n < 100 && w.holders[1].ledger.phase != phaseOpen; n++ {
		w.runOtherOp(0)
	}
	requireRefusal(t, w.lastReply(t, 1, key, 1), refusal.ActionUnconfirmed, refusal.Unknown)
}

func (w *world) dispatching() bool {
	for _, o := range w.ops {
		if _, ok := o.effect.(Dispatch); ok {
			return true
		}
	}
	return false
}

// runOtherOp runs a call of a holder other than the given one.
func (w *world) runOtherOp(not int) {
	for at, o := range w.ops {
		if o.holder == not {
			continue
		}
		w.ops = append(w.ops[:at], w.ops[at+1:]...)
		w.act(o)
		w.step(o.holder, o.reply)
		return
	}
}

func TestAbandonedClaimIsReleasedForAResend(t *testing.T) {
	w := calm()
	w.send(0, w.key(w.now), 1)
	w.settle()
	key := w.key(w.now)
	first := w.send(0, key, 7)
	w.now = w.now.Add(time.Second)
	w.tick(0)
	if first.replies != 1 {
		t.Fatalf("first request %+v, want a refusal", first)
	}
	w.settle()
	if w.executions[key] != 0 {
		t.Fatal("the abandoned action ran")
	}
	second := w.send(0, key, 7)
	w.settle()
	if second.replies != 1 || second.notRun || w.executions[key] != 1 {
		t.Fatalf("second request %+v, ran %d times", second, w.executions[key])
	}
}
