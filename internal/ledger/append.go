package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// appendStep is the progress of the in-flight append.
type appendStep int

const (
	// appendSent: sent, waiting for the reply.
	appendSent appendStep = iota
	// appendReadingBack: waiting for the reply to a read-back.
	appendReadingBack
	// appendPaused: waiting for retryAt before the next read-back.
	appendPaused
)

// inFlightAppend is the append whose result is not yet known. Its content does
// not change until then, so that it can be resent: the comparison with the head
// lets at most one attempt be applied.
type inFlightAppend struct {
	append Append
	// records are the segment's records that came from the queue, without the
	// compacted ones.
	records []Record
	sentAt  time.Time
	step    appendStep
	// maybeApplied is set when an earlier attempt may have been applied.
	maybeApplied bool
	// headMoved is set when the head is known to have moved.
	headMoved bool
}

// advanceAppend starts an append or continues the in-flight one if it is due.
// Without records to write it checks the head instead.
func (l *Ledger) advanceAppend() {
	if l.inFlight != nil {
		if l.inFlight.step == appendPaused {
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

// expiryDue reports whether an empty segment with a later horizon would free
// entries in a full ledger.
func (l *Ledger) expiryDue() bool {
	return l.full() && l.nextHorizon() > l.journal.horizon
}

// appendDue returns the earliest time of the next append. The rate limit is a
// generic cell rate algorithm with a burst of AppendBurst. Unless the ledger is
// draining, a queue without claims waits up to OutcomeDelay to share its segment.
func (l *Ledger) appendDue() time.Time {
	due := l.appendTAT.Add(-time.Duration(l.cfg.AppendBurst-1) * l.cfg.CommitInterval)
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
	l.appendTAT = later(l.appendTAT, l.now).Add(l.cfg.CommitInterval)
	l.inFlight = &inFlightAppend{records: records, sentAt: l.now, append: Append{
		Number: l.journal.next, ExpectedHead: l.journal.head, Segment: segment,
		Remove: l.journal.removable(maxRemovals),
	}}
	l.emit(l.inFlight.append)
}

func (l *Ledger) markInAppend(records []Record, inAppend bool) {
	for _, r := range records {
		if e := l.entries[r.Key]; e != nil && r.Kind == RecordClaim {
			e.inAppend = inAppend
		}
	}
}

func (l *Ledger) isInFlight(number uint64) bool {
	return l.phase == phaseOpen && l.inFlight != nil && l.inFlight.append.Number == number
}

// committed completes the in-flight append and dispatches its claims.
func (l *Ledger) committed(number uint64, revision int64) {
	if !l.isInFlight(number) {
		return
	}
	done := l.inFlight
	l.inFlight = nil
	l.recordSuccess()
	l.journal.committed(done.append, revision)
	l.journal.confirmed = done.sentAt
	for _, r := range done.records {
		if r.Kind == RecordClaim {
			l.claimCommitted(r)
		}
	}
	l.sweepExpired()
}

// claimCommitted dispatches an action, or releases its claim if no request
// waits for it.
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

// notApplied returns the records to the queue, unless an earlier attempt may
// have been applied: then it reads back after a pause.
func (l *Ledger) notApplied(n NotApplied) {
	if !l.isInFlight(n.Number) {
		return
	}
	l.recordFailure(n.RateLimited)
	if l.inFlight.maybeApplied {
		l.inFlight.step = appendPaused
		return
	}
	records := l.inFlight.records
	l.inFlight = nil
	l.markInAppend(records, false)
	l.queue.putBack(records)
	l.abandonUnwaited(records)
}

// abandonUnwaited drops the queued claims that no request waits for.
func (l *Ledger) abandonUnwaited(records []Record) {
	for _, r := range records {
		e := l.entries[r.Key]
		if e != nil && r.Kind == RecordClaim && e.state == statePending && len(e.waiters) == 0 {
			l.abandonClaim(r.Key, e)
		}
	}
}

// resultUnknown reads the segment back to find out whether it was written.
func (l *Ledger) resultUnknown(number uint64) {
	if !l.isInFlight(number) {
		return
	}
	l.recordFailure(false)
	l.inFlight.maybeApplied = true
	l.readBack()
}

// appendConflict reads the segment back: an earlier attempt of this append may
// have moved the head itself.
func (l *Ledger) appendConflict(number uint64) {
	if !l.isInFlight(number) {
		return
	}
	l.inFlight.headMoved = true
	l.inFlight.maybeApplied = true
	l.readBack()
}

func (l *Ledger) readBack() {
	l.inFlight.step = appendReadingBack
	l.emit(ReadBack{Number: l.inFlight.append.Number})
}

func (l *Ledger) readBackFailed(number uint64) {
	if !l.isInFlight(number) {
		return
	}
	l.recordFailure(false)
	l.inFlight.step = appendPaused
}

func (l *Ledger) readBackDone(r ReadBackDone) {
	if !l.isInFlight(r.Number) {
		return
	}
	switch {
	case r.Found && r.Nonce == l.journal.nonce:
		l.committed(r.Number, r.Revision)
	case r.Found || l.inFlight.headMoved:
		l.loseSlot()
	case l.now.Before(l.retryAt):
		l.inFlight.step = appendPaused
	default:
		l.inFlight.step = appendSent
		l.emit(l.inFlight.append)
	}
}

// loseSlot closes the ledger because another holder has moved the head.
// Requests whose claims were not committed wait for the journal to be loaded
// again; dispatched actions continue. Unwritten outcomes are kept in case the
// slot is taken over again, but unwritten releases are not: the in-flight
// append may have been applied, and another holder may have claimed the
// released action since.
func (l *Ledger) loseSlot() {
	unwritten := l.queue.records
	if l.inFlight != nil {
		unwritten = slices.Concat(l.inFlight.records, unwritten)
	}
	l.inFlight = nil
	l.check = headCheck{}
	l.queue = queue{}
	l.phase = phaseClosed
	l.retryAt = l.now.Add(l.cfg.HoldOff)
	for _, r := range unwritten {
		switch r.Kind {
		case RecordClaim:
			l.requeueWaiters(r.Key)
		case RecordAnswer, RecordUnconfirmed:
			l.queue.add(l.now, r)
		}
	}
	l.discardJournal()
}

// requeueWaiters moves the requests that wait for a pending claim back to
// those that wait for the journal to be loaded.
func (l *Ledger) requeueWaiters(key uuid.UUID) {
	e := l.entries[key]
	if e == nil || e.state != statePending {
		return
	}
	for _, request := range e.waiters {
		l.awaitingLoad = append(l.awaitingLoad, l.requests[request])
	}
	e.waiters = nil
}

// discardJournal drops all state read from the journal. It keeps only the
// entries that run here or whose outcome has not been written.
func (l *Ledger) discardJournal() {
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
