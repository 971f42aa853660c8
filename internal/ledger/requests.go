package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// arrive answers a request from what is known, lets it join an action that is
// under way, or queues a claim.
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

// answerKnown handles a request for an action that the ledger remembers.
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

// claim queues the claim of an action that isn't remembered.
func (l *Ledger) claim(a Arrived) {
	if r := l.claimRefusal(a.Key); r != nil {
		l.refuse(a.Request, l.ofAction(a, r))
		return
	}
	e := &entry{fingerprint: a.Fingerprint, state: statePending}
	l.entries[a.Key] = e
	l.queue.add(l.now, Record{Kind: RecordClaim, Key: a.Key, Fingerprint: a.Fingerprint})
	l.join(a, e)
}

// claimRefusal returns why a key that isn't remembered can't be claimed.
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

// awaitLoad keeps a request until the journal is loaded.
func (l *Ledger) awaitLoad(a Arrived) {
	switch {
	case l.draining:
		l.refuse(a.Request, l.ofAction(a, refusalLeaving()))
	case l.phase == phaseClosed && l.outage() && l.now.Before(l.retryAt):
		l.refuse(a.Request, l.ofAction(a, refusalOutage(l.untilRetry())))
	default:
		l.arrivals = append(l.arrivals, a)
		l.requests[a.Request] = a
		l.startWait(a.Request)
	}
}

func (l *Ledger) startWait(request RequestID) {
	l.waits = append(l.waits, wait{request: request, deadline: l.now.Add(l.cfg.ClaimWait)})
}

// expireWaits refuses the requests that have waited too long for their claim.
func (l *Ledger) expireWaits() {
	for len(l.waits) > 0 && !l.now.Before(l.waits[0].deadline) {
		request := l.waits[0].request
		l.waits = l.waits[1:]
		l.leave(request, refusalOutage(l.untilRetry()))
	}
}

// cancel ends a request whose caller has gone.
func (l *Ledger) cancel(request RequestID) {
	a, ok := l.requests[request]
	if !ok {
		return
	}
	if e := l.entries[a.Key]; e != nil && e.state == stateRunning {
		e.waiters = without(e.waiters, request)
		l.refuse(request, refusalStillRunning())
		return
	}
	l.leave(request, refusal.New(refusal.DeadlineExceeded,
		"the caller gave up before the action was claimed: send it again with the same key"))
}

// leave ends a request that still waits for its claim. It is told the given
// refusal when nobody else waits for the action, so that it can't run.
func (l *Ledger) leave(request RequestID, r *refusal.Refusal) {
	a, ok := l.requests[request]
	if !ok {
		return
	}
	r = l.ofAction(a, r)
	if l.leaveArrivals(request, r) {
		return
	}
	e := l.entries[a.Key]
	if e == nil || e.state != statePending {
		return
	}
	e.waiters = without(e.waiters, request)
	if len(e.waiters) > 0 {
		l.refuse(request, refusalStillRunning())
		return
	}
	l.refuse(request, r)
	l.abandon(a.Key, e)
}

func (l *Ledger) leaveArrivals(request RequestID, r *refusal.Refusal) bool {
	at := slices.IndexFunc(l.arrivals, func(a Arrived) bool { return a.Request == request })
	if at < 0 {
		return false
	}
	key := l.arrivals[at].Key
	l.arrivals = slices.Delete(l.arrivals, at, at+1)
	if slices.ContainsFunc(l.arrivals, func(a Arrived) bool { return a.Key == key }) {
		r = refusalStillRunning()
	}
	l.refuse(request, r)
	return true
}

// abandon drops a claim that nobody waits for. A claim that may already be
// written stays until its append is settled, and is then released.
func (l *Ledger) abandon(key uuid.UUID, e *entry) {
	if e.inAppend {
		return
	}
	l.queue.dropClaim(key)
	delete(l.entries, key)
}

// finished records the end of a dispatch and answers all that wait for it.
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
		l.results.keep(f.Key, e)
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

// ofAction turns the refusal of a request into one of its action: unless the
// journal is known to lack the action, an earlier request may have run it.
func (l *Ledger) ofAction(a Arrived, r *refusal.Refusal) *refusal.Refusal {
	missing := l.phase == phaseOpen && l.now.Sub(l.journal.confirmed) <= l.cfg.TrustTime
	if a.First || missing || r.Outcome == refusal.Unknown {
		return r
	}
	unknown := r.AsUnknown()
	unknown.Message = "this request was not run, but an earlier one with its key may have been: the claims can't be read now; " + r.Message
	return unknown
}

func (l *Ledger) untilRetry() time.Duration {
	return max(l.retryAt.Sub(l.now), l.cfg.RetryPause)
}

func without(waiters []RequestID, request RequestID) []RequestID {
	return slices.DeleteFunc(waiters, func(r RequestID) bool { return r == request })
}
