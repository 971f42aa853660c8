package ledger

import "time"

// headCheck is a read of an idle slot's head. It detects that another holder
// took the slot over, and that an outage has ended.
type headCheck struct {
	running bool
	// sentAt is when the check in progress was sent, head the revision then
	// expected.
	sentAt time.Time
	head   int64
}

// advanceCheck starts a check if it is due.
func (l *Ledger) advanceCheck() {
	if l.check.running || l.now.Before(l.checkDue()) {
		return
	}
	l.check = headCheck{running: true, sentAt: l.now, head: l.journal.head}
	l.emit(CheckHead{})
}

func (l *Ledger) checkDue() time.Time {
	if l.failures > 0 {
		return l.retryAt
	}
	return later(l.journal.confirmed.Add(l.cfg.CheckInterval), l.retryAt)
}

func (l *Ledger) headChecked(revision int64) {
	if !l.endCheck() {
		return
	}
	if revision != l.journal.head {
		l.loseSlot()
		return
	}
	l.recordSuccess()
	l.journal.confirmed = l.check.sentAt
}

func (l *Ledger) headCheckFailed(ev HeadCheckFailed) {
	if l.endCheck() {
		l.recordFailure(ev.RateLimited)
	}
}

// endCheck ends the check and reports whether its reply still applies. It does
// not if an append was started since, because that moves the head itself.
func (l *Ledger) endCheck() bool {
	ended := l.check.running
	l.check.running = false
	return ended && l.phase == phaseOpen && l.inFlight == nil && l.check.head == l.journal.head
}
