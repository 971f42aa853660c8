package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// flightStep is where the append in progress stands.
type flightStep int

const (
	// flightSent: the append's reply is awaited.
	flightSent flightStep = iota
	// flightReading: a read-back's reply is awaited.
	flightReading
	// flightPaused: the next read-back waits for retryAt.
	flightPaused
)

// flight is the append in progress. Its content is fixed until it is settled,
// so that it can be sent again: the head decides which attempt counts.
type flight struct {
	append Append
	// records are the queue's part of the segment.
	records []Record
	sentAt  time.Time
	step    flightStep
	// uncertain is set once an attempt may have been applied.
	uncertain bool
	// lostRace is set once the head is known to have moved.
	lostRace bool
}

// advanceAppend starts or continues an append when it is due.
func (l *Ledger) advanceAppend() {
	if l.flight != nil {
		if l.flight.step == flightPaused {
			l.readBack()
		}
		return
	}
	if l.queue.empty() && !l.expiryDue() {
		l.advanceCheck()
		return
	}
	if !l.now.Before(l.appendDue()) {
		l.startAppend()
	}
}

// expiryDue reports whether a segment without records would make room in a
// full ledger.
func (l *Ledger) expiryDue() bool {
	return l.full() && l.nextHorizon() > l.journal.horizon
}

// appendDue returns when the queued records are to be written.
func (l *Ledger) appendDue() time.Time {
	due := l.pace.Add(-time.Duration(l.cfg.AppendBurst-1) * l.cfg.CommitInterval)
	if l.queue.claims == 0 && !l.draining {
		due = later(due, l.queue.since.Add(l.cfg.OutcomeDelay))
	}
	return later(due, l.retryAt)
}

func (l *Ledger) startAppend() {
	records := l.queue.take(l.now, l.cfg.SegmentBytes)
	l.markInAppend(records, true)
	segment := Segment{
		Holder: l.cfg.Holder, Nonce: l.journal.nonce, Horizon: l.nextHorizon(),
	}
	if l.compactionDue() {
		segment.Compacted = true
		segment.Records = l.compactedRecords()
	}
	segment.Records = append(segment.Records, records...)
	l.pace = later(l.pace, l.now).Add(l.cfg.CommitInterval)
	l.flight = &flight{records: records, sentAt: l.now, append: Append{
		Number: l.journal.next, ExpectedHead: l.journal.head, Segment: segment,
		Remove: l.journal.removable(maxRemovals),
	}}
	l.emit(l.flight.append)
}

func (l *Ledger) markInAppend(records []Record, inAppend bool) {
	for _, r := range records {
		if e := l.entries[r.Key]; e != nil && r.Kind == RecordClaim {
			e.inAppend = inAppend
		}
	}
}

func (l *Ledger) inFlight(number uint64) bool {
	return l.phase == phaseOpen && l.flight != nil && l.flight.append.Number == number
}

// committed settles the append in progress and dispatches its claims.
func (l *Ledger) committed(number uint64, revision int64) {
	if !l.inFlight(number) {
		return
	}
	done := l.flight
	l.flight = nil
	l.succeeded()
	l.journal.committed(done.append, revision)
	l.journal.confirmed = done.sentAt
	for _, r := range done.records {
		if r.Kind == RecordClaim {
			l.claimCommitted(r)
		}
	}
	l.dropExpired()
}

// claimCommitted dispatches an action, or releases it when nobody waits.
func (l *Ledger) claimCommitted(r Record) {
	e := l.entries[r.Key]
	if e == nil || e.state != statePending {
		return
	}
	e.inAppend = false
	if len(e.waiters) == 0 {
		e.state = stateReleased
		l.queue.add(l.now, Record{Kind: RecordRelease, Key: r.Key, Fingerprint: r.Fingerprint})
		return
	}
	e.state = stateRunning
	l.running++
	l.emit(Dispatch{Key: r.Key, Request: e.waiters[0]})
}

// notApplied takes the records back when no earlier attempt is in doubt.
func (l *Ledger) notApplied(n NotApplied) {
	if !l.inFlight(n.Number) {
		return
	}
	l.failed(n.RateLimited)
	if l.flight.uncertain {
		l.flight.step = flightPaused
		return
	}
	records := l.flight.records
	l.flight = nil
	l.markInAppend(records, false)
	l.queue.putBack(records)
	l.dropAbandoned(records)
}

// dropAbandoned forgets the queued claims that nobody waits for.
func (l *Ledger) dropAbandoned(records []Record) {
	for _, r := range records {
		e := l.entries[r.Key]
		if e != nil && r.Kind == RecordClaim && e.state == statePending && len(e.waiters) == 0 {
			l.abandon(r.Key, e)
		}
	}
}

// resultUnknown reads back what the lost reply would have said.
func (l *Ledger) resultUnknown(number uint64) {
	if !l.inFlight(number) {
		return
	}
	l.failed(false)
	l.flight.uncertain = true
	l.readBack()
}

// lostRace reads back whether it was an earlier attempt that moved the head.
func (l *Ledger) lostRace(number uint64) {
	if !l.inFlight(number) {
		return
	}
	l.flight.lostRace = true
	l.flight.uncertain = true
	l.readBack()
}

func (l *Ledger) readBack() {
	l.flight.step = flightReading
	l.emit(ReadBack{Number: l.flight.append.Number})
}

func (l *Ledger) readBackFailed(number uint64) {
	if !l.inFlight(number) {
		return
	}
	l.failed(false)
	l.flight.step = flightPaused
}

func (l *Ledger) readBackDone(r ReadBackDone) {
	if !l.inFlight(r.Number) {
		return
	}
	switch {
	case r.Found && r.Nonce == l.journal.nonce:
		l.committed(r.Number, r.Revision)
	case r.Found || l.flight.lostRace:
		l.lose()
	case l.now.Before(l.retryAt):
		l.flight.step = flightPaused
	default:
		l.flight.step = flightSent
		l.emit(l.flight.append)
	}
}

// lose gives the slot up: another holder has moved the head. Requests whose
// claims were not committed wait until the journal is read again; dispatched
// actions go on. Outcomes are kept in case the slot comes back, but releases
// are not: the append in doubt may have released the action to another holder
// already.
func (l *Ledger) lose() {
	unwritten := l.queue.records
	if l.flight != nil {
		unwritten = slices.Concat(l.flight.records, unwritten)
	}
	l.flight = nil
	l.check = headCheck{}
	l.queue = queue{}
	l.phase = phaseClosed
	l.retryAt = l.now.Add(l.cfg.HoldOff)
	for _, r := range unwritten {
		switch r.Kind {
		case RecordClaim:
			l.returnWaiters(r.Key)
		case RecordAnswer, RecordUnconfirmed:
			l.queue.add(l.now, r)
		}
	}
	l.forgetJournal()
}

// returnWaiters makes the requests for an action wait for the journal again.
func (l *Ledger) returnWaiters(key uuid.UUID) {
	e := l.entries[key]
	if e == nil || e.state != statePending {
		return
	}
	for _, request := range e.waiters {
		l.arrivals = append(l.arrivals, l.requests[request])
	}
	e.waiters = nil
}

// forgetJournal keeps only the actions that run here or whose outcome is not
// written yet.
func (l *Ledger) forgetJournal() {
	for key, e := range l.entries {
		if e.state != stateRunning && !l.queue.has(key) {
			delete(l.entries, key)
		}
	}
	l.results.reset()
	l.journal = newJournal()
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
