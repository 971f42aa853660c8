// Package ledger decides which non-idempotent calls ("actions") may be
// dispatched. It is the state machine of one claim slot: a journal of numbered
// segments in the key-value service, written by one holder at a time.
//
// The package does no I/O, starts no goroutines and reads no clock. The caller
// passes events to Step and carries out the effects that Step returns.
//
// Every append is conditional on the revision of the journal's head that the
// holder last saw. After a takeover the former holder's next append fails, so a
// claim is committed by at most one holder, and only that holder dispatches the
// action, once.
package ledger

import (
	"time"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// outageFailures is the number of consecutive failed calls after which a request
// that needs a claim is refused at once.
const outageFailures = 2

// phase is whether the journal is loaded.
type phase int

const (
	phaseClosed phase = iota
	phaseLoading
	phaseOpen
)

// state is the state of one action.
type state int

const (
	// statePending: the claim is queued or in the in-flight append, not yet
	// committed.
	statePending state = iota
	// stateRunning: the claim is committed and the action was dispatched by
	// this ledger.
	stateRunning
	// stateAnswered: the service's answer is known.
	stateAnswered
	// stateUnconfirmed: claimed, and the action may or may not have run.
	stateUnconfirmed
	// stateReleased: claimed, but certainly not dispatched; may be claimed
	// again.
	stateReleased
)

type entry struct {
	fingerprint uint64
	state       state
	// inAppend is set while the claim is part of the in-flight append.
	inAppend bool
	waiters  []RequestID
	result   Result
}

// wait is the deadline by which a request's claim must be committed.
type wait struct {
	request  RequestID
	deadline time.Time
}

// Ledger is the state of one claim slot at one daemon. It isn't safe for
// concurrent use; one goroutine owns it.
type Ledger struct {
	cfg     Config
	now     time.Time
	effects []Effect

	phase    phase
	draining bool
	// retryAt is the earliest time of the next call to the service after a
	// failed call or the loss of the slot.
	retryAt time.Time
	// failures counts consecutive failed calls; backoffs counts rate-limited
	// ones as well.
	failures int
	backoffs int

	entries  map[uuid.UUID]*entry
	requests map[RequestID]Arrived
	waits    []wait
	// awaitingLoad are the requests that wait for the journal to be loaded.
	awaitingLoad []Arrived
	loadSent     time.Time
	running      int

	journal  journal
	queue    queue
	inFlight *inFlightAppend
	// appendTAT is the theoretical arrival time of the next append in the
	// generic cell rate algorithm: when the appends so far would end at the mean
	// rate.
	appendTAT time.Time
	check     headCheck
	results   resultStore
}

// New returns a ledger for one slot. It is closed until the first request
// causes the journal to be loaded.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg:      cfg,
		entries:  make(map[uuid.UUID]*entry),
		requests: make(map[RequestID]Arrived),
		journal:  newJournal(),
		results:  resultStore{limit: cfg.ResultBytes},
	}
}

// Step applies one event and returns the effects to carry out, in order. now
// must not go backwards from one call to the next.
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
		l.appendConflict(e.Number)
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

// NextTick returns the time at which the ledger needs a Tick event, or the zero
// time if it needs none.
func (l *Ledger) NextTick() time.Time {
	var at time.Time
	if len(l.waits) > 0 {
		at = l.waits[0].deadline
	}
	switch {
	case l.phase == phaseClosed && len(l.awaitingLoad) > 0:
		at = earlier(at, l.retryAt)
	case l.phase == phaseOpen && l.inFlight != nil && l.inFlight.step == appendPaused:
		at = earlier(at, l.retryAt)
	case l.phase == phaseOpen && l.inFlight == nil && !l.queue.empty():
		at = earlier(at, l.appendDue())
	case l.phase == phaseOpen && l.inFlight == nil && !l.check.running:
		at = earlier(at, l.checkDue())
	}
	return at
}

// Idle reports whether no action is running, no request waits for the journal
// and no record waits to be written.
func (l *Ledger) Idle() bool {
	if l.running > 0 || l.inFlight != nil || len(l.awaitingLoad) > 0 {
		return false
	}
	return l.phase != phaseOpen || l.queue.empty()
}

// Stats describes the ledger's size.
type Stats struct {
	// Open is set while the ledger holds the slot, as far as it knows: it learns
	// of a takeover with its next append or head check.
	Open     bool
	Actions  int
	Running  int
	Segments int
	// ResultBytes is the size of the recorded answers in memory.
	ResultBytes int
}

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

// advance starts the calls to the service that are due.
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
	if len(l.awaitingLoad) == 0 {
		return
	}
	l.phase = phaseLoading
	l.loadSent = l.now
	l.emit(Load{})
}

// recordFailure counts a failed call and sets the backoff before the next one.
// Rate-limited calls don't count towards an outage.
func (l *Ledger) recordFailure(rateLimited bool) {
	pause := l.cfg.RetryPause << min(l.backoffs, maxPauseDoublings)
	l.retryAt = l.now.Add(min(pause, l.cfg.MaxRetryPause))
	l.backoffs++
	if !rateLimited {
		l.failures++
	}
}

// recordSuccess resets the failure counts and the backoff.
func (l *Ledger) recordSuccess() {
	l.failures = 0
	l.backoffs = 0
	l.retryAt = time.Time{}
}

// outage reports whether outageFailures or more consecutive calls have failed.
func (l *Ledger) outage() bool { return l.failures >= outageFailures }

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
