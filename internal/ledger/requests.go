package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// arrive answers a request from a recorded outcome, makes it wait for an action
// in progress, or queues a claim.
func (l *Ledger) arrive(a Arrived) {
	if !ValidKey(a.Key) {
		l.refuse(a.Request, refusalBadKey())
		return
	}
	if e := l.entries[a.Key]; e != nil && e.state != stateReleased {
		l.answerKnown(a, e)
		return
	}
	if l.phase == phaseOpen {
		l.claim(a)
		return
	}
	l.awaitLoad(a)
}

// answerKnown handles a request for an action that has an entry.
func (l *Ledger) answerKnown(a Arrived, e *entry) {
	if e.fingerprint != a.Fingerprint {
		l.refuse(a.Request, refusalKeyReused())
		return
	}
	switch e.state {
	case stateAnswered:
		result := e.result
		result.Recorded = true
		l.answer(a.Request, result)
	case stateUnconfirmed:
		l.refuse(a.Request, refusalUnconfirmed())
	default:
		l.join(a, e)
	}
}

func (l *Ledger) join(a Arrived, e *entry) {
	e.waiters = append(e.waiters, a.Request)
	l.requests[a.Request] = a
	if e.state == statePending {
		l.startWait(a.Request)
	}
}

// claim queues a claim for an action that has no entry or was released.
func (l *Ledger) claim(a Arrived) {
	if r := l.claimRefusal(a.Key); r != nil {
		l.refuse(a.Request, l.actionRefusal(a, r))
		return
	}
	e := &entry{fingerprint: a.Fingerprint, state: statePending}
	l.entries[a.Key] = e
	l.queue.add(l.now, Record{Kind: RecordClaim, Key: a.Key, Fingerprint: a.Fingerprint})
	l.join(a, e)
}

// claimRefusal returns why a key can't be claimed, or nil if it can.
func (l *Ledger) claimRefusal(key uuid.UUID) *refusal.Refusal {
	issued := IssuedAt(key)
	switch {
	case issued < l.journal.horizon || issued < l.now.Add(-l.cfg.Retention).UnixMilli():
		return refusalExpired()
	case issued > l.now.Add(l.cfg.ClockAllowance).UnixMilli():
		return refusalFutureKey()
	case l.draining:
		return refusalLeaving()
	case l.outage():
		return refusalOutage(l.untilRetry())
	case l.full():
		return refusalFull()
	default:
		return nil
	}
}

// awaitLoad makes a request wait until the journal is loaded, or refuses it
// while draining or between retries in an outage.
func (l *Ledger) awaitLoad(a Arrived) {
	switch {
	case l.draining:
		l.refuse(a.Request, l.actionRefusal(a, refusalLeaving()))
	case l.phase == phaseClosed && l.outage() && l.now.Before(l.retryAt):
		l.refuse(a.Request, l.actionRefusal(a, refusalOutage(l.untilRetry())))
	default:
		l.awaitingLoad = append(l.awaitingLoad, a)
		l.requests[a.Request] = a
		l.startWait(a.Request)
	}
}

func (l *Ledger) startWait(request RequestID) {
	l.waits = append(l.waits, wait{request: request, deadline: l.now.Add(l.cfg.ClaimWait)})
}

// expireWaits refuses the requests that have waited for their claim longer than
// ClaimWait.
func (l *Ledger) expireWaits() {
	for len(l.waits) > 0 && !l.now.Before(l.waits[0].deadline) {
		request := l.waits[0].request
		l.waits = l.waits[1:]
		l.endWait(request, refusalOutage(l.untilRetry()))
	}
}

// cancel ends a request whose caller has disconnected or given up.
func (l *Ledger) cancel(request RequestID) {
	a, ok := l.requests[request]
	if !ok {
		return
	}
	if e := l.entries[a.Key]; e != nil && e.state == stateRunning {
		e.waiters = removeRequest(e.waiters, request)
		l.refuse(request, refusalStillRunning())
		return
	}
	l.endWait(request, refusal.New(refusal.DeadlineExceeded,
		"the caller gave up before the action was claimed: send it again with the same key"))
}

// endWait refuses a request that still waits for its claim. The given refusal
// applies only if no other request waits for the action, because it may still
// run for that one.
func (l *Ledger) endWait(request RequestID, r *refusal.Refusal) {
	a, ok := l.requests[request]
	if !ok {
		return
	}
	r = l.actionRefusal(a, r)
	if l.endLoadWait(request, r) {
		return
	}
	e := l.entries[a.Key]
	if e == nil || e.state != statePending {
		return
	}
	e.waiters = removeRequest(e.waiters, request)
	if len(e.waiters) > 0 {
		l.refuse(request, refusalStillRunning())
		return
	}
	l.refuse(request, r)
	l.abandonClaim(a.Key, e)
}

func (l *Ledger) endLoadWait(request RequestID, r *refusal.Refusal) bool {
	at := slices.IndexFunc(l.awaitingLoad, func(a Arrived) bool { return a.Request == request })
	if at < 0 {
		return false
	}
	key := l.awaitingLoad[at].Key
	l.awaitingLoad = slices.Delete(l.awaitingLoad, at, at+1)
	if slices.ContainsFunc(l.awaitingLoad, func(a Arrived) bool { return a.Key == key }) {
		r = refusalStillRunning()
	}
	l.refuse(request, r)
	return true
}

// abandonClaim drops a claim that no request waits for. A claim that may already
// be written stays until the result of its append is known, and is then dropped
// or released.
func (l *Ledger) abandonClaim(key uuid.UUID, e *entry) {
	if e.inAppend {
		return
	}
	l.queue.dropClaim(key)
	delete(l.entries, key)
}

// finished records the end of a dispatch and replies to all requests that wait
// for it.
func (l *Ledger) finished(f Finished) {
	e := l.entries[f.Key]
	if e == nil || e.state != stateRunning {
		return
	}
	l.running--
	record := Record{Key: f.Key, Fingerprint: e.fingerprint}
	switch f.Kind {
	case FinishAnswered:
		e.state = stateAnswered
		e.result = recordable(f.Result, l.cfg.BodyBytes)
		record.Kind = RecordAnswer
		record.Result = e.result
		l.results.add(f.Key, e)
	case FinishNotDispatched:
		e.state = stateReleased
		record.Kind = RecordRelease
	default:
		e.state = stateUnconfirmed
		record.Kind = RecordUnconfirmed
	}
	l.replyAll(e, f)
	l.queue.add(l.now, record)
}

func (l *Ledger) replyAll(e *entry, f Finished) {
	for _, request := range e.waiters {
		if f.Kind == FinishAnswered {
			l.answer(request, f.Result)
		} else {
			l.refuse(request, f.Refusal)
		}
	}
	e.waiters = nil
}

// actionRefusal turns the refusal of a request into a refusal of its action. The
// outcome becomes unknown unless the journal is known to lack the action or the
// caller never sent its key before: an earlier request may have run it.
func (l *Ledger) actionRefusal(a Arrived, r *refusal.Refusal) *refusal.Refusal {
	missing := l.phase == phaseOpen && l.now.Sub(l.journal.confirmed) <= l.cfg.TrustTime
	if a.FirstAttempt || missing || r.Outcome == refusal.Unknown {
		return r
	}
	unknown := r.AsUnknown()
	unknown.Message = "this request was not run, but an earlier one with its key may have been: the claims can't be read now; " + r.Message
	return unknown
}

func (l *Ledger) untilRetry() time.Duration {
	return max(l.retryAt.Sub(l.now), l.cfg.RetryPause)
}

func removeRequest(waiters []RequestID, request RequestID) []RequestID {
	return slices.DeleteFunc(waiters, func(r RequestID) bool { return r == request })
}
