package ledger

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// simulation runs several holders of one slot against models of the key-value
// service and of a service that counts executions. All random choices come from
// one seed.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	holders  []*holder
	ops      []*op
	keys     []uuid.UUID
	requests []*request

	revision int64
	head     int64
	segments map[uint64]storedSegment

	executions map[uuid.UUID]int
	faults     bool
	// down makes the key-value service fail head checks, as in an outage.
	down bool
	// noFence disables the comparison of the head, noHorizon drops the horizons
	// from the written segments.
	noFence, noHorizon bool
	violations         []string
}

type storedSegment struct {
	segment  Segment
	revision int64
}

type holder struct {
	ledger      *Ledger
	clockOffset time.Duration
	incarnation int
	frozenUntil time.Time
}

type request struct {
	key         uuid.UUID
	fingerprint uint64
	replies     int
	notRun      bool
	last        Reply
	// holder and incarnation are those that received the request.
	holder, incarnation int
}

// op is a call in progress: first the called service handles it, then the
// holder receives the reply.
type op struct {
	holder, incarnation int
	effect              Effect
	served              bool
	reply               Event
}

func simulationConfig(name string) Config {
	return Config{
		Holder: name, Retention: time.Minute, ClockAllowance: time.Second,
		CommitInterval: 10 * time.Millisecond, AppendBurst: 3, OutcomeDelay: 50 * time.Millisecond,
		ClaimWait: 200 * time.Millisecond, RetryPause: 10 * time.Millisecond,
		MaxRetryPause: 100 * time.Millisecond, HoldOff: 20 * time.Millisecond,
		TrustTime: -1, CheckInterval: 100 * time.Millisecond,
		CompactAfter: 4, SegmentBytes: 1 << 10, MaxActions: 1000, BodyBytes: 64, ResultBytes: 256,
	}
}

func newSimulation(seed int64, holders int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_800_000_000, 0),
		segments: map[uint64]storedSegment{}, executions: map[uuid.UUID]int{}, faults: true,
	}
	for i := range holders {
		sim.holders = append(sim.holders, &holder{ledger: New(simulationConfig(fmt.Sprint(i)))})
	}
	return sim
}

func (sim *simulation) chance(percent int) bool { return sim.faults && sim.rng.Intn(100) < percent }

func (sim *simulation) key(issued time.Time) uuid.UUID {
	var k uuid.UUID
	sim.rng.Read(k[:])
	ms := issued.UnixMilli()
	for i := range 6 {
		k[i] = byte(ms >> (40 - 8*i))
	}
	k[6] = k[6]&0x0f | 0x70
	k[8] = k[8]&0x3f | 0x80
	return k
}

func (sim *simulation) step(i int, event Event) {
	h := sim.holders[i]
	for _, effect := range h.ledger.Step(sim.now.Add(h.clockOffset), event) {
		if reply, ok := effect.(Reply); ok {
			sim.reply(reply)
			continue
		}
		sim.ops = append(sim.ops, &op{holder: i, incarnation: h.incarnation, effect: effect})
	}
}

func (sim *simulation) send(i int, key uuid.UUID, fingerprint uint64) *request {
	r := &request{key: key, fingerprint: fingerprint, holder: i, incarnation: sim.holders[i].incarnation}
	sim.requests = append(sim.requests, r)
	sim.step(i, Arrived{Request: RequestID(len(sim.requests) - 1), Key: key, Fingerprint: fingerprint})
	return r
}

func (sim *simulation) reply(reply Reply) {
	r := sim.requests[reply.Request]
	r.replies++
	r.last = reply
	r.notRun = reply.Refusal != nil && reply.Refusal.Outcome == refusal.NotRun
	if r.replies > 1 {
		sim.addViolation("request %d had %d replies", reply.Request, r.replies)
	}
	if r.notRun && reply.Refusal.Kind != refusal.ActionKeyReused && sim.executions[r.key] > 0 && !sim.hasOtherPending(r) {
		sim.addViolation("request %d refused as not run (%s), but an earlier one ran", reply.Request, reply.Refusal.Kind)
	}
	if reply.Refusal == nil && uint64(reply.Result.Status) != r.fingerprint {
		sim.addViolation("request %d got another request's answer", reply.Request)
	}
}

// hasOtherPending reports whether another request for the action, at a live
// holder, has no reply yet.
func (sim *simulation) hasOtherPending(one *request) bool {
	for _, r := range sim.requests {
		alive := sim.holders[r.holder].incarnation == r.incarnation
		if r != one && r.key == one.key && r.replies == 0 && alive {
			return true
		}
	}
	return false
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// randomStep performs one random step: a request, a fault, a tick or a call.
func (sim *simulation) randomStep() {
	sim.now = sim.now.Add(time.Duration(sim.rng.Intn(5)) * time.Millisecond)
	if sim.chance(1) {
		sim.now = sim.now.Add(time.Duration(sim.rng.Intn(40)) * time.Second)
	}
	i := sim.rng.Intn(len(sim.holders))
	switch n := sim.rng.Intn(100); {
	case n < 15:
		sim.sendRandom(i)
	case n < 17 && sim.faults:
		sim.holders[i].frozenUntil = sim.now.Add(time.Duration(sim.rng.Intn(400)) * time.Millisecond)
	case n < 18 && sim.faults:
		sim.kill(i)
	case n < 35:
		sim.tick(i)
	default:
		sim.runOp()
	}
}

func (sim *simulation) sendRandom(i int) {
	if len(sim.keys) == 0 || sim.rng.Intn(3) == 0 {
		offset := time.Duration(sim.rng.Intn(800)) * time.Millisecond
		sim.keys = append(sim.keys, sim.key(sim.now.Add(-offset)))
	}
	key := sim.keys[sim.rng.Intn(len(sim.keys))]
	if sim.rng.Intn(2) == 0 {
		key = sim.keys[len(sim.keys)-1]
	}
	fingerprint := uint64(key[15])
	if sim.chance(2) {
		fingerprint += 1000
	}
	sim.send(i, key, fingerprint)
	if sim.chance(10) {
		sim.step(i, Canceled{Request: RequestID(len(sim.requests) - 1)})
	}
}

func (sim *simulation) kill(i int) {
	h := sim.holders[i]
	h.incarnation++
	h.ledger = New(simulationConfig(fmt.Sprint(i)))
}

func (sim *simulation) tick(i int) {
	if sim.now.After(sim.holders[i].frozenUntil) {
		sim.step(i, Tick{})
	}
}

func (sim *simulation) runOp() {
	if len(sim.ops) == 0 {
		return
	}
	at := sim.rng.Intn(len(sim.ops))
	o := sim.ops[at]
	if !o.served {
		o.served = true
		sim.serve(o)
		return
	}
	h := sim.holders[o.holder]
	if h.incarnation == o.incarnation && sim.now.Before(h.frozenUntil) {
		return
	}
	sim.ops = append(sim.ops[:at], sim.ops[at+1:]...)
	if h.incarnation == o.incarnation && o.reply != nil {
		sim.step(o.holder, o.reply)
	}
}

// serve handles a call at the called service, with random faults.
func (sim *simulation) serve(o *op) {
	switch e := o.effect.(type) {
	case Load:
		o.reply = sim.serveLoad()
	case Append:
		sim.serveAppend(o, e)
	case ReadBack:
		o.reply = sim.serveReadBack(e)
	case CheckHead:
		o.reply = HeadChecked{Revision: sim.head}
		if sim.down || sim.chance(10) {
			o.reply = HeadCheckFailed{RateLimited: sim.rng.Intn(2) == 0}
		}
	case Dispatch:
		o.reply = sim.serveDispatch(e)
	}
}

func (sim *simulation) serveLoad() Event {
	if sim.chance(10) {
		return LoadFailed{RateLimited: sim.rng.Intn(2) == 0}
	}
	loaded := Loaded{Nonce: sim.rng.Uint64(), Head: sim.head}
	for n := uint64(1); n <= uint64(sim.revision); n++ {
		if s, ok := sim.segments[n]; ok {
			loaded.Segments = append(loaded.Segments, NumberedSegment{Number: n, Segment: s.segment})
		}
	}
	return loaded
}

// serveAppend applies an append now, later or never, and may lose the reply.
func (sim *simulation) serveAppend(o *op, a Append) {
	switch {
	case sim.chance(5):
		o.reply = NotApplied{Number: a.Number, RateLimited: sim.rng.Intn(2) == 0}
	case sim.chance(5):
		o.reply = ResultUnknown{Number: a.Number}
	case sim.chance(5):
		sim.ops = append(sim.ops, &op{holder: o.holder, incarnation: -1, effect: a})
		o.reply = ResultUnknown{Number: a.Number}
	case !sim.apply(a):
		o.reply = HeadMoved{Number: a.Number}
	case sim.chance(10):
		o.reply = ResultUnknown{Number: a.Number}
	default:
		o.reply = Committed{Number: a.Number, Revision: sim.head}
	}
}

func (sim *simulation) apply(a Append) bool {
	if a.ExpectedHead != sim.head && !sim.noFence {
		return false
	}
	sim.revision++
	sim.head = sim.revision
	if sim.noHorizon {
		a.Segment.Horizon = 0
	}
	sim.segments[a.Number] = storedSegment{segment: a.Segment, revision: sim.head}
	for _, n := range a.Remove {
		delete(sim.segments, n)
	}
	return true
}

func (sim *simulation) serveReadBack(r ReadBack) Event {
	if sim.chance(10) {
		return ReadBackFailed(r)
	}
	s, found := sim.segments[r.Number]
	return ReadBackDone{Number: r.Number, Found: found, Nonce: s.segment.Nonce, Revision: s.revision}
}

func (sim *simulation) serveDispatch(d Dispatch) Event {
	notRun := refusal.New(refusal.UpstreamFailed, "not sent")
	unknown := refusal.NewUnknown(refusal.ActionUnconfirmed, "answer lost")
	if sim.chance(10) {
		return Finished{Key: d.Key, Kind: FinishNotDispatched, Refusal: notRun}
	}
	if sim.chance(5) {
		return Finished{Key: d.Key, Kind: FinishUnconfirmed, Refusal: unknown}
	}
	sim.executions[d.Key]++
	if sim.executions[d.Key] > 1 {
		sim.addViolation("action %s ran %d times", d.Key, sim.executions[d.Key])
	}
	if sim.chance(5) {
		return Finished{Key: d.Key, Kind: FinishUnconfirmed, Refusal: unknown}
	}
	result := Result{Status: int(sim.requests[d.Request].fingerprint), Body: make([]byte, sim.rng.Intn(100))}
	return Finished{Key: d.Key, Kind: FinishAnswered, Result: result}
}

// settle disables the faults and runs until everything in progress has finished.
func (sim *simulation) settle() {
	sim.faults = false
	for range 200 {
		sim.now = sim.now.Add(20 * time.Millisecond)
		for i := range sim.holders {
			sim.tick(i)
		}
		for n := 0; len(sim.ops) > 0 && n < 10_000; n++ {
			sim.runOp()
		}
	}
}

// checkNotRun adds a violation for each action that ran although all its requests
// were refused as not run.
func (sim *simulation) checkNotRun() {
	allNotRun := map[uuid.UUID]bool{}
	for _, r := range sim.requests {
		earlier, seen := allNotRun[r.key]
		allNotRun[r.key] = r.notRun && r.replies == 1 && (earlier || !seen)
	}
	for key, notRun := range allNotRun {
		if notRun && sim.executions[key] > 0 {
			sim.addViolation("action %s was refused as not run and ran", key)
		}
	}
}
