package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/ledger"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// call is one request that waits in Do.
type call struct {
	ctx      context.Context
	action   Action
	dispatch DispatchFunc
	// id is assigned by the worker and used only by it.
	id ledger.RequestID
	// reply receives at most one value.
	reply chan ledger.Reply
}

func newCall(ctx context.Context, action Action, dispatch DispatchFunc) *call {
	return &call{ctx: ctx, action: action, dispatch: dispatch, reply: make(chan ledger.Reply, 1)}
}

// worker owns the ledger of one slot; its run method is the goroutine that uses
// it. The worker never blocks on a call to the key-value service or on a
// dispatch: each runs in a goroutine of its own that posts its result as an
// event.
type worker struct {
	claims   *Claims
	slot     int
	journal  journalStore
	ledger   *ledger.Ledger
	calls    map[ledger.RequestID]*call
	lastID   ledger.RequestID
	draining bool

	arrivals chan *call
	cancels  chan *call
	events   chan ledger.Event
	done     chan struct{}
}

func newWorker(c *Claims, slot int) *worker {
	return &worker{
		claims: c, slot: slot,
		journal:  newJournalStore(c, slot),
		ledger:   ledger.New(c.options.Settings.ledgerConfig(c.options.Self)),
		calls:    make(map[ledger.RequestID]*call),
		arrivals: make(chan *call), cancels: make(chan *call),
		events: make(chan ledger.Event), done: make(chan struct{}),
	}
}

// do passes a request to the worker and waits for the reply.
func (w *worker) do(c *call) (Result, *refusal.Refusal) {
	select {
	case w.arrivals <- c:
	case <-w.done:
		return Result{}, leavingRefusal()
	case <-c.ctx.Done():
		return Result{}, deadlineRefusal()
	}
	select {
	case reply := <-c.reply:
		return reply.Result, reply.Refusal
	case <-w.done:
	case <-c.ctx.Done():
		w.postCancel(c)
	}
	return w.finalReply(c)
}

// finalReply returns the reply after a cancellation or after the worker has
// stopped.
func (w *worker) finalReply(c *call) (Result, *refusal.Refusal) {
	select {
	case reply := <-c.reply:
		return reply.Result, reply.Refusal
	case <-w.done:
	}
	select {
	case reply := <-c.reply:
		return reply.Result, reply.Refusal
	default:
		return Result{}, refusal.NewUnknown(refusal.ActionUnconfirmed,
			"this daemon stopped before the action's outcome was known: send it again with the same key")
	}
}

func (w *worker) postCancel(c *call) {
	select {
	case w.cancels <- c:
	case <-w.done:
	}
}

// post passes an event to the worker. It is dropped if the worker has stopped.
func (w *worker) post(event ledger.Event) {
	select {
	case w.events <- event:
	case <-w.done:
	}
}

func (w *worker) run() {
	defer close(w.done)
	for !w.draining || !w.ledger.Idle() {
		select {
		case c := <-w.arrivals:
			w.addCall(c)
		case c := <-w.cancels:
			w.step(ledger.Canceled{Request: c.id})
		case event := <-w.events:
			w.step(event)
		case <-w.nextTick():
			w.step(ledger.Tick{})
		case <-w.claims.ctx.Done():
			return
		}
	}
}

// nextTick returns a channel that fires when the ledger needs its next Tick. The
// channel is nil if no Tick is scheduled.
func (w *worker) nextTick() <-chan time.Time {
	at := w.ledger.NextTick()
	if at.IsZero() {
		return nil
	}
	return w.claims.options.Clock.After(at.Sub(w.claims.options.Clock.Now()))
}

func (w *worker) addCall(c *call) {
	w.lastID++
	c.id = w.lastID
	w.calls[c.id] = c
	w.step(ledger.Arrived{
		Request: c.id, Key: c.action.Key, Fingerprint: c.action.fingerprint(), FirstAttempt: c.action.FirstAttempt,
	})
}

func (w *worker) step(event ledger.Event) {
	if _, ok := event.(ledger.Drain); ok {
		w.draining = true
	}
	before := w.ledger.Stats().Open
	effects := w.ledger.Step(w.claims.options.Clock.Now(), event)
	w.recordOwnership(before, w.ledger.Stats())
	for _, effect := range effects {
		w.execute(effect)
	}
}

// recordOwnership logs and counts a takeover or the loss of the slot.
func (w *worker) recordOwnership(before bool, stats ledger.Stats) {
	if before == stats.Open {
		return
	}
	log := w.claims.options.Logger.WithFields(logrus.Fields{"slot": w.slot, "actions": stats.Actions})
	if stats.Open {
		w.claims.counters.slotsHeld.Inc(1)
		log.Info("claim slot taken over")
		return
	}
	w.claims.counters.slotsHeld.Dec(1)
	w.claims.counters.slotsLost.Inc(1)
	log.Warn("claim slot lost to another daemon")
}

func (w *worker) execute(effect ledger.Effect) {
	switch e := effect.(type) {
	case ledger.Load:
		go func() { w.post(w.journal.load(rand.Uint64())) }()
	case ledger.Append:
		go func() { w.post(w.journal.append(e)) }()
	case ledger.ReadBack:
		go func() { w.post(w.journal.readBack(e)) }()
	case ledger.CheckHead:
		go func() { w.post(w.journal.checkHead()) }()
	case ledger.Dispatch:
		w.dispatch(e)
	case ledger.Reply:
		w.calls[e.Request].reply <- e
		delete(w.calls, e.Request)
	}
}

// dispatch runs an action on behalf of a request. The action continues after
// the request's context ends.
func (w *worker) dispatch(d ledger.Dispatch) {
	c := w.calls[d.Request]
	w.claims.counters.dispatched.Inc(1)
	go func() {
		result, err := runDispatch(c, w.claims.options.Settings.DispatchTimeout.Std())
		w.post(finishedEvent(c, result, err))
	}()
}

func runDispatch(c *call, timeout time.Duration) (Result, error) {
	if c.ctx.Err() != nil {
		return Result{}, ErrNotDispatched
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), timeout)
	defer cancel()
	return c.dispatch(ctx)
}

// finishedEvent converts the result of a dispatch into an event of the ledger.
func finishedEvent(c *call, result Result, err error) ledger.Finished {
	event := ledger.Finished{Key: c.action.Key, Result: result}
	var given *refusal.Refusal
	hasRefusal := errors.As(err, &given)
	switch {
	case err == nil:
		event.Kind = ledger.FinishAnswered
	case hasRefusal && given.Outcome == refusal.NotRun:
		event.Kind = ledger.FinishNotDispatched
		event.Refusal = given
	case errors.Is(err, ErrNotDispatched):
		event.Kind = ledger.FinishNotDispatched
		event.Refusal = refusal.New(refusal.UpstreamFailed, err.Error()).WithRetryAfter(time.Second)
	default:
		event.Kind = ledger.FinishUnconfirmed
		event.Refusal = refusal.NewUnknown(refusal.ActionUnconfirmed,
			"the service gave no whole answer ("+err.Error()+"): look the action up in the service, and use a new key if it is missing there")
	}
	return event
}

func deadlineRefusal() *refusal.Refusal {
	return refusal.NewUnknown(refusal.DeadlineExceeded,
		"the caller gave up before the action was claimed: send it again with the same key")
}
