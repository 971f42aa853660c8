package ledger

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// world drives several holders of one slot against a model of the key-value
// service and of a plain service that counts executions. All choices come from
// one seed.
type world struct {
	rng      *rand.Rand
	now      time.Time
	holders  []*holder
	ops      []*op
	keys     []uuid.UUID
	requests []*request

	revision int64
	head     int64
	segments map[uint64]stored

	executions map[uuid.UUID]int
	faults     bool
	// down is an outage of the key-value service.
	down bool
	// noFence turns the compare of the head off, noHorizon forgets horizons.
	noFence, noHorizon bool
	violations         []string
}

type stored struct {
	segment  Segment
	revision int64
}

type holder struct {
	ledger      *Ledger
	clock       time.Duration
	incarnation int
	frozenUntil time.Time
}

type request struct {
	key         uuid.UUID
	fingerprint uint64
	replies     int
	notRun      bool
	last        Reply
	// holder and incarnation received the request.
	holder, incarnation int
}

// op is a call in progress: first the far end acts, then the reply arrives.
type op struct {
	holder, incarnation int
	effect              Effect
	acted               bool
	reply               Event
}

func worldConfig(name string) Config {
	return Config{
		Holder: name, Retention: time.Minute, ClockAllowance: time.Second,
		CommitInterval: 10 * time.Millisecond, AppendBurst: 3, OutcomeDelay: 50 * time.Millisecond,
		ClaimWait: 200 * time.Millisecond, RetryPause: 10 * time.Millisecond,
		MaxRetryPause: 100 * time.Millisecond, HoldOff: 20 * time.Millisecond,
		TrustTime: -1, CheckInterval: 100 * time.Millisecond,
		CompactAfter: 4, SegmentBytes: 1 << 10, MaxActions: 1000, BodyBytes: 64, ResultBytes: 256,
	}
}

func newWorld(seed int64, holders int) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_800_000_000, 0),
		segments: map[uint64]stored{}, executions: map[uuid.UUID]int{}, faults: true,
	}
	for i := range holders {
		w.holders = append(w.holders, &holder{ledger: New(worldConfig(fmt.Sprint(i)))})
	}
	return w
}

func (w *world) chance(percent int) bool { return w.faults && w.rng.Intn(100) < percent }

func (w *world) key(issued time.Time) uuid.UUID {
	var k uuid.UUID
	w.rng.Read(k[:])
	ms := issued.UnixMilli()
	for i := range 6 {
		k[i] = byte(ms >> (40 - 8*i))
	}
	k[6] = k[6]&0x0f | 0x70
	k[8] = k[8]&0x3f | 0x80
	return k
}

func (w *world) step(i int, event Event) {
	h := w.holders[i]
	for _, effect := range h.ledger.Step(w.now.Add(h.clock), event) {
		if reply, ok := effect.(Reply); ok {
			w.reply(reply)
			continue
		}
		w.ops = append(w.ops, &op{holder: i, incarnation: h.incarnation, effect: effect})
	}
}

func (w *world) send(i int, key uuid.UUID, fingerprint uint64) *request {
	r := &request{key: key, fingerprint: fingerprint, holder: i, incarnation: w.holders[i].incarnation}
	w.requests = append(w.requests, r)
	w.step(i, Arrived{Request: RequestID(len(w.requests) - 1), Key: key, Fingerprint: fingerprint})
	return r
}

func (w *world) reply(reply Reply) {
	r := w.requests[reply.Request]
	r.replies++
	r.last = reply
	r.notRun = reply.Refusal != nil && reply.Refusal.Outcome == refusal.NotRun
	if r.replies > 1 {
		w.fail("request %d had %d replies", reply.Request, r.replies)
	}
	if r.notRun && reply.Refusal.Kind != refusal.ActionKeyReused && w.executions[r.key] > 0 && !w.outstanding(r) {
		w.fail("request %d refused as not run (%s), but an earlier one ran", reply.Request, reply.Refusal.Kind)
	}
	if reply.Refusal == nil && uint64(reply.Result.Status) != r.fingerprint {
		w.fail("request %d got another request's answer", reply.Request)
	}
}

// outstanding reports whether another request for the action has no reply yet.
func (w *world) outstanding(than *request) bool {
	for _, r := range w.requests {
		alive := w.holders[r.holder].incarnation == r.incarnation
		if r != than && r.key == than.key && r.replies == 0 && alive {
			return true
		}
	}
	return false
}

func (w *world) fail(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// turn does one random thing.
func (w *world) turn() {
	w.now = w.now.Add(time.Duration(w.rng.Intn(5)) * time.Millisecond)
	if w.chance(1) {
		w.now = w.now.Add(time.Duration(w.rng.Intn(40)) * time.Second)
	}
	i := w.rng.Intn(len(w.holders))
	switch n := w.rng.Intn(100); {
	case n < 15:
		w.sendSome(i)
	case n < 17 && w.faults:
		w.holders[i].frozenUntil = w.now.Add(time.Duration(w.rng.Intn(400)) * time.Millisecond)
	case n < 18 && w.faults:
		w.kill(i)
	case n < 35:
		w.tick(i)
	default:
		w.runOp()
	}
}

func (w *world) sendSome(i int) {
	if len(w.keys) == 0 || w.rng.Intn(3) == 0 {
		offset := time.Duration(w.rng.Intn(800)) * time.Millisecond
		w.keys = append(w.keys, w.key(w.now.Add(-offset)))
	}
	key := w.keys[w.rng.Intn(len(w.keys))]
	if w.rng.Intn(2) == 0 {
		key = w.keys[len(w.keys)-1]
	}
	fingerprint := uint64(key[15])
	if w.chance(2) {
		fingerprint += 1000
	}
	w.send(i, key, fingerprint)
	if w.chance(10) {
		w.step(i, Canceled{Request: RequestID(len(w.requests) - 1)})
	}
}

func (w *world) kill(i int) {
	h := w.holders[i]
	h.incarnation++
	h.ledger = New(worldConfig(fmt.Sprint(i)))
}

func (w *world) tick(i int) {
	if w.now.After(w.holders[i].frozenUntil) {
		w.step(i, Tick{})
	}
}

func (w *world) runOp() {
	if len(w.ops) == 0 {
		return
	}
	at := w.rng.Intn(len(w.ops))
	o := w.ops[at]
	if !o.acted {
		o.acted = true
		w.act(o)
		return
	}
	h := w.holders[o.holder]
	if h.incarnation == o.incarnation && w.now.Before(h.frozenUntil) {
		return
	}
	w.ops = append(w.ops[:at], w.ops[at+1:]...)
	if h.incarnation == o.incarnation && o.reply != nil {
		w.step(o.holder, o.reply)
	}
}

// act lets the far end of a call act, with faults.
func (w *world) act(o *op) {
	switch e := o.effect.(type) {
	case Load:
		o.reply = w.actLoad()
	case Append:
		w.actAppend(o, e)
	case ReadBack:
		o.reply = w.actReadBack(e)
	case CheckHead:
		o.reply = HeadChecked{Revision: w.head}
		if w.down || w.chance(10) {
			o.reply = HeadCheckFailed{RateLimited: w.rng.Intn(2) == 0}
		}
	case Dispatch:
		o.reply = w.actDispatch(e)
	}
}

func (w *world) actLoad() Event {
	if w.chance(10) {
		return LoadFailed{RateLimited: w.rng.Intn(2) == 0}
	}
	loaded := Loaded{Nonce: w.rng.Uint64(), Head: w.head}
	for n := uint64(1); n <= uint64(w.revision); n++ {
		if s, ok := w.segments[n]; ok {
			loaded.Segments = append(loaded.Segments, NumberedSegment{Number: n, Segment: s.segment})
		}
	}
	return loaded
}

// actAppend applies the append, or doesn't, or lets it be applied later.
func (w *world) actAppend(o *op, a Append) {
	switch {
	case w.chance(5):
		o.reply = NotApplied{Number: a.Number, RateLimited: w.rng.Intn(2) == 0}
	case w.chance(5):
		o.reply = ResultUnknown{Number: a.Number}
	case w.chance(5):
		w.ops = append(w.ops, &op{holder: o.holder, incarnation: -1, effect: a})
		o.reply = ResultUnknown{Number: a.Number}
	case !w.apply(a):
		o.reply = HeadMoved{Number: a.Number}
	case w.chance(10):
		o.reply = ResultUnknown{Number: a.Number}
	default:
		o.reply = Committed{Number: a.Number, Revision: w.head}
	}
}

func (w *world) apply(a Append) bool {
	if a.ExpectedHead != w.head && !w.noFence {
		return false
	}
	w.revision++
	w.head = w.revision
	if w.noHorizon {
		a.Segment.Horizon = 0
	}
	w.segments[a.Number] = stored{segment: a.Segment, revision: w.head}
	for _, n := range a.Remove {
		delete(w.segments, n)
	}
	return true
}

func (w *world) actReadBack(r ReadBack) Event {
	if w.chance(10) {
		return ReadBackFailed(r)
	}
	s, found := w.segments[r.Number]
	return ReadBackDone{Number: r.Number, Found: found, Nonce: s.segment.Nonce, Revision: s.revision}
}

func (w *world) actDispatch(d Dispatch) Event {
	notRun := refusal.New(refusal.UpstreamFailed, "not sent")
	unknown := refusal.NewUnknown(refusal.ActionUnconfirmed, "answer lost")
	if w.chance(10) {
		return Finished{Key: d.Key, Kind: FinishNotDispatched, Refusal: notRun}
	}
	if w.chance(5) {
		return Finished{Key: d.Key, Kind: FinishUnconfirmed, Refusal: unknown}
	}
	w.executions[d.Key]++
	if w.executions[d.Key] > 1 {
		w.fail("action %s ran %d times", d.Key, w.executions[d.Key])
	}
	if w.chance(5) {
		return Finished{Key: d.Key, Kind: FinishUnconfirmed, Refusal: unknown}
	}
	result := Result{Status: int(w.requests[d.Request].fingerprint), Body: make([]byte, w.rng.Intn(100))}
	return Finished{Key: d.Key, Kind: FinishAnswered, Result: result}
}

// settle ends the faults and lets everything in progress finish.
func (w *world) settle() {
	w.faults = false
	for range 200 {
		w.now = w.now.Add(20 * time.Millisecond)
		for i := range w.holders {
			w.tick(i)
		}
		for n := 0; len(w.ops) > 0 && n < 10_000; n++ {
			w.runOp()
		}
	}
}

// judge checks that an action whose requests were all refused as not run has
// not run.
func (w *world) judge() {
	allNotRun := map[uuid.UUID]bool{}
	for _, r := range w.requests {
		earlier, seen := allNotRun[r.key]
		allNotRun[r.key] = r.notRun && r.replies == 1 && (earlier || !seen)
	}
	for key, notRun := range allNotRun {
		if notRun && w.executions[key] > 0 {
			w.fail("action %s was refused as not run and ran", key)
		}
	}
}
