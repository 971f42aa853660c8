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
	simulationSteps = 2000
	simulationRuns  = 150
	firstSeed       = 20261203
)

func runSimulation(seed int64, skewed bool, configure func(*simulation)) *simulation {
	sim := newSimulation(seed, 3)
	if skewed {
		sim.holders[1].clockOffset = 50 * time.Second
		sim.holders[2].clockOffset = -3 * time.Minute
	}
	if configure != nil {
		configure(sim)
	}
	for range simulationSteps {
		sim.randomStep()
	}
	sim.settle()
	sim.checkNotRun()
	sim.checkLiveness()
	return sim
}

// checkLiveness checks that every holder with a correct clock runs a new action
// once, after the faults.
func (sim *simulation) checkLiveness() {
	for i, h := range sim.holders {
		if sim.noFence || sim.noHorizon || h.clockOffset != 0 {
			continue
		}
		key := sim.key(sim.now)
		sim.send(i, key, 1)
		sim.settle()
		if sim.executions[key] != 1 {
			sim.addViolation("a new action at holder %d ran %d times after the faults", i, sim.executions[key])
		}
	}
}

// Actions run at most once, and never if refused as not run, under random kills,
// freezes, lost replies, delayed appends and resends at three holders.
// TestFenceIsNeeded and TestHorizonIsNeeded show that the same checks detect
// violations.
func TestAtMostOnceProperty(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(firstSeed)
	parameters.MinSuccessfulTests = simulationRuns
	properties := gopter.NewProperties(parameters)
	executed := 0
	properties.Property("at most once", prop.ForAll(func(seed int64, skewed bool) string {
		sim := runSimulation(seed, skewed, nil)
		executed += len(sim.executions)
		if len(sim.violations) > 0 {
			return sim.violations[0]
		}
		return ""
	}, gen.Int64(), gen.Bool()))
	properties.TestingRun(t)
	t.Logf("%d actions ran", executed)
	if executed < simulationRuns {
		t.Errorf("only %d actions ran in %d simulations: the property checks too little", executed, simulationRuns)
	}
}

// Without the comparison of the head in each append, two holders claim the same
// action.
func TestFenceIsNeeded(t *testing.T) {
	requireViolation(t, func(sim *simulation) { sim.noFence = true })
}

// Without horizons in the journal, a holder whose clock is behind claims a key
// again after its claim was removed.
func TestHorizonIsNeeded(t *testing.T) {
	requireViolation(t, func(sim *simulation) { sim.noHorizon = true })
}

// With too long a trust time, a holder with an outdated copy of the journal
// refuses an action as not run that another holder ran.
func TestTrustTimeIsNeeded(t *testing.T) {
	requireViolation(t, func(sim *simulation) { sim.setTrustTime(time.Hour) })
}

func (sim *simulation) setTrustTime(d time.Duration) {
	for _, h := range sim.holders {
		h.ledger.cfg.TrustTime = d
	}
}

func requireViolation(t *testing.T, configure func(*simulation)) {
	t.Helper()
	for seed := range int64(simulationRuns) {
		if sim := runSimulation(seed, true, configure); len(sim.violations) > 0 {
			t.Logf("seed %d: %s", seed, sim.violations[0])
			return
		}
	}
	t.Error("no violation found: the test doesn't exercise the mechanism")
}

// newFaultFreeSimulation returns a simulation of two holders without faults,
// whose calls are run by settle.
func newFaultFreeSimulation() *simulation {
	sim := newSimulation(firstSeed, 2)
	sim.faults = false
	sim.setTrustTime(time.Minute)
	return sim
}

func (sim *simulation) lastReply(t *testing.T, i int, key [16]byte, fingerprint uint64) Reply {
	t.Helper()
	r := sim.send(i, key, fingerprint)
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
	sim := newFaultFreeSimulation()
	key := sim.key(sim.now)
	sim.send(0, key, 200)
	sim.settle()
	reply := sim.lastReply(t, 0, key, 200)
	if reply.Refusal != nil || !reply.Result.Recorded || reply.Result.Status != 200 {
		t.Fatalf("reply %+v, want the recorded 200", reply)
	}
	requireRefusal(t, sim.lastReply(t, 0, key, 201), refusal.ActionKeyReused, refusal.NotRun)
	resend := sim.send(1, key, 200)
	sim.settle()
	if resend.replies != 1 || resend.notRun || sim.executions[key] != 1 {
		t.Fatalf("resend through another holder: %+v, ran %d times", resend, sim.executions[key])
	}
}

// Without the head check, an idle holder would refuse all claims forever after an
// outage, and would not detect that another holder took its slot over.
func TestIdleHolderDetectsOutageAndReplacement(t *testing.T) {
	sim := newFaultFreeSimulation()
	l := sim.holders[0].ledger
	sim.send(0, sim.key(sim.now), 1)
	sim.settle()
	sim.down = true
	sim.settle()
	key := sim.key(sim.now)
	requireRefusal(t, sim.lastReply(t, 0, key, 1), refusal.ClaimsUnavailable, refusal.NotRun)
	sim.now = sim.now.Add(2 * time.Minute)
	requireRefusal(t, sim.lastReply(t, 0, sim.key(sim.now), 1), refusal.ClaimsUnavailable, refusal.Unknown)
	sim.down = false
	sim.settle()
	key = sim.key(sim.now)
	sim.send(0, key, 1)
	sim.settle()
	if sim.executions[key] != 1 {
		t.Fatalf("after the outage: a new action ran %d times", sim.executions[key])
	}
	sim.send(1, sim.key(sim.now), 1)
	sim.settle()
	if l.Stats().Open {
		t.Error("the replaced holder still reports its slot as open")
	}
}

// A full ledger claims nothing, so its newest key does not advance. If its horizon
// did not follow the clock, no entry would ever expire.
func TestFullLedgerExpiresOldActions(t *testing.T) {
	sim := newFaultFreeSimulation()
	sim.holders[0].ledger.cfg.MaxActions = 3
	for range 3 {
		sim.send(0, sim.key(sim.now), 1)
	}
	sim.settle()
	requireRefusal(t, sim.lastReply(t, 0, sim.key(sim.now), 1), refusal.Overloaded, refusal.NotRun)
	sim.now = sim.now.Add(2 * time.Minute)
	sim.settle()
	key := sim.key(sim.now)
	sim.send(0, key, 1)
	sim.settle()
	if sim.executions[key] != 1 {
		t.Errorf("a new action ran %d times after the retention", sim.executions[key])
	}
}

func TestKeyIssueTimeLimits(t *testing.T) {
	sim := newFaultFreeSimulation()
	sim.send(0, sim.key(sim.now), 1)
	sim.settle()
	expired := sim.key(sim.now.Add(-2 * time.Minute))
	requireRefusal(t, sim.lastReply(t, 0, expired, 1), refusal.ActionKeyExpired, refusal.Unknown)
	future := sim.key(sim.now.Add(time.Hour))
	requireRefusal(t, sim.lastReply(t, 0, future, 1), refusal.ActionKeyInvalid, refusal.NotRun)
	requireRefusal(t, sim.lastReply(t, 0, [16]byte{}, 1), refusal.ActionKeyInvalid, refusal.NotRun)
}

func TestClaimOfFormerHolderIsUnconfirmed(t *testing.T) {
	sim := newFaultFreeSimulation()
	key := sim.key(sim.now)
	sim.send(0, key, 1)
	for len(sim.ops) > 0 && !sim.hasDispatch() {
		sim.runOp()
	}
	sim.send(1, sim.key(sim.now), 2)
	for n := 0; n < 100 && sim.holders[1].ledger.phase != phaseOpen; n++ {
		sim.runOpExcept(0)
	}
	requireRefusal(t, sim.lastReply(t, 1, key, 1), refusal.ActionUnconfirmed, refusal.Unknown)
}

func (sim *simulation) hasDispatch() bool {
	for _, o := range sim.ops {
		if _, ok := o.effect.(Dispatch); ok {
			return true
		}
	}
	return false
}

// runOpExcept runs a call of any holder except the given one.
func (sim *simulation) runOpExcept(holder int) {
	for at, o := range sim.ops {
		if o.holder == holder {
			continue
		}
		sim.ops = append(sim.ops[:at], sim.ops[at+1:]...)
		sim.serve(o)
		sim.step(o.holder, o.reply)
		return
	}
}

func TestAbandonedClaimIsReleasedForAResend(t *testing.T) {
	sim := newFaultFreeSimulation()
	sim.send(0, sim.key(sim.now), 1)
	sim.settle()
	key := sim.key(sim.now)
	first := sim.send(0, key, 7)
	sim.now = sim.now.Add(time.Second)
	sim.tick(0)
	if first.replies != 1 {
		t.Fatalf("first request %+v, want a refusal", first)
	}
	sim.settle()
	if sim.executions[key] != 0 {
		t.Fatal("the abandoned action ran")
	}
	second := sim.send(0, key, 7)
	sim.settle()
	if second.replies != 1 || second.notRun || sim.executions[key] != 1 {
		t.Fatalf("second request %+v, ran %d times", second, sim.executions[key])
	}
}
