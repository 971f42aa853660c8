// Package ledger decides which non-idempotent calls ("actions") may be
// dispatched. It is the state machine of one claim slot: a journal of numbered
// segments in the key-value service, written by one holder at a time.
//
// The package does no I/O, starts no goroutines and reads no clock. A shell
// feeds it events with Step and carries out the effects that Step returns.
//
// Every append must follow the journal's head that the holder knows. A holder
// that was replaced loses its next append, so a claim is committed by at most
// one holder, and only the holder that committed a claim dispatches it, once.
package ledger

import (
	"time"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// outageFailures is the number of failed calls in a row after which a request
// that needs a claim is refused at once.
const outageFailures = 2

// phase says whether the ledger knows the journal.
type phase int

const (
	phaseClosed phase = iota
	phaseLoading
	phaseOpen
)

// state is what the ledger knows about one action.
type state int

const (
	// statePending: the claim is queued or in an append, not yet committed.
	statePending state = iota
	// stateRunning: the claim is committed and was dispatched here.
	stateRunning
	// stateAnswered: the outcome is known.
	stateAnswered
	// stateUnconfirmed: claimed, and it can't be known whether it ran.
	stateUnconfirmed
	// stateReleased: claimed once, but provably not dispatched.
	stateReleased
)

type entry struct {
	fingerprint uint64
	state       state
	// inAppend is set while the claim is part of the append in progress.
	inAppend bool
	waiters  []RequestID
	result   Result
}

// wait is the deadline of one request for its claim.
type wait struct {
	request  RequestID
	deadline time.Time
}

// Ledger is the state of one claim slot at one daemon. It isn't safe for
// concurrent use: one goroutine owns it.
type Ledger struct {
	cfg     Config
	now     time.Time
	effects []Effect

	phase    phase
	draining bool
	// retryAt is the earliest time of the next call to the service after a
	// failure or a lost journal.
	retryAt time.Time
	// failures counts the failed calls in a row, pauses also the rate limits.
	failures int
	pauses   int

	entries  map[uuid.UUID]*entry
	requests map[RequestID]Arrived
	waits    []wait
	// arrivals wait for the journal to be loaded.
	arrivals []Arrived
	loadSent time.Time
	running  int

	journal journal
	queue   queue
	flight  *flight
	// pace is when the appends made so far would end at the mean rate.
	pace    time.Time
	check   headCheck
	results resultStore
}

// New returns the closed ledger of one slot; its first request loads the
// journal.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg:      cfg,
		entries:  make(map[uuid.UUID]*entry),
		requests: make(map[RequestID]Arrived),
		journal:  newJournal(),
		results:  resultStore{limit: cfg.ResultBytes},
	}
}

// Step applies one event at a time that must not run backwards, and returns
// the effects to carry out, in order.
func (l *Ledger) Step(now time.Time, event Event) []Effect {
	l.now = now
	l.effects = nil
	l.apply(event)
	l.expireWaits()
	l.advance()
	return l.effects
}

func (l *Ledger) apply(event Event) {
	switch e := event.(type) {
	case Arrived:
		l.arrive(e)
	case Canceled:
		l.cancel(e.Request)
	case Loaded:
		l.loaded(e)
	case LoadFailed:
		l.loadFailed(e)
	case Committed:
		l.committed(e.Number, e.Revision)
	case HeadMoved:
		l.lostRace(e.Number)
	case NotApplied:
		l.notApplied(e)
	case ResultUnknown:
		l.resultUnknown(e.Number)
	case ReadBackDone:
		l.readBackDone(e)
	case ReadBackFailed:
		l.readBackFailed(e.Number)
	case HeadChecked:
		l.headChecked(e.Revision)
	case HeadCheckFailed:
		l.headCheckFailed(e)
	case Finished:
		l.finished(e)
	case Drain:
		l.draining = true
	case Tick:
	}
}

// NextTick returns the time at which the ledger needs a Tick, or the zero time.
func (l *Ledger) NextTick() time.Time {
	var at time.Time
	if len(l.waits) > 0 {
		at = l.waits[0].deadline
	}
	switch {
	case l.phase == phaseClosed && len(l.arrivals) > 0:
		at = earlier(at, l.retryAt)
	case l.phase == phaseOpen && l.flight != nil && l.flight.step == flightPaused:
		at = earlier(at, l.retryAt)
	case l.phase == phaseOpen && l.flight == nil && !l.queue.empty():
		at = earlier(at, l.appendDue())
	case l.phase == phaseOpen && l.flight == nil && !l.check.running:
		at = earlier(at, l.checkDue())
	}
	return at
}

// Idle reports whether nothing is running or waiting to be written.
func (l *Ledger) Idle() bool {
	if l.running > 0 || l.flight != nil || len(l.arrivals) > 0 {
		return false
	}
	return l.phase != phaseOpen || l.queue.empty()
}

// Stats are counters of the ledger's size.
type Stats struct {
	// Open is set while the ledger holds the slot, as far as it knows.
	Open     bool
	Actions  int
	Running  int
	Segments int
	// ResultBytes is the memory spent on recorded answers.
	ResultBytes int
}

// Stats returns the current sizes.
func (l *Ledger) Stats() Stats {
	return Stats{
		Open: l.phase == phaseOpen, Actions: len(l.entries), Running: l.running,
		Segments: len(l.journal.retained), ResultBytes: l.results.bytes,
	}
}

func (l *Ledger) emit(e Effect) { l.effects = append(l.effects, e) }

func (l *Ledger) answer(request RequestID, result Result) {
	delete(l.requests, request)
	l.emit(Reply{Request: request, Result: result})
}

func (l *Ledger) refuse(request RequestID, r *refusal.Refusal) {
	delete(l.requests, request)
	l.emit(Reply{Request: request, Refusal: r})
}

// advance starts the calls that are due.
func (l *Ledger) advance() {
	if l.now.Before(l.retryAt) {
		return
	}
	switch l.phase {
	case phaseClosed:
		l.load()
	case phaseOpen:
		l.advanceAppend()
	}
}

func (l *Ledger) load() {
	if len(l.arrivals) == 0 {
		return
	}
	l.phase = phaseLoading
	l.loadSent = l.now
	l.emit(Load{})
}

// failed counts a failed call and sets the pause before the next. A rate
// limit alone is no outage.
func (l *Ledger) failed(rateLimited bool) {
	pause := l.cfg.RetryPause << min(l.pauses, maxPauseDoublings)
	l.retryAt = l.now.Add(min(pause, l.cfg.MaxRetryPause))
	l.pauses++
	if !rateLimited {
		l.failures++
	}
}

// succeeded ends the counting of failed calls.
func (l *Ledger) succeeded() {
	l.failures = 0
	l.pauses = 0
	l.retryAt = time.Time{}
}

// outage reports whether the service has failed several calls in a row.
func (l *Ledger) outage() bool { return l.failures >= outageFailures }

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
