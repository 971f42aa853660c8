package ledger

import "time"

// headCheck is the reading of an idle slot's head. It tells a holder that was
// replaced, and the end of an outage.
type headCheck struct {
	running bool
	// sentAt and head are those of the check in progress.
	sentAt time.Time
	head   int64
}

// advanceCheck starts a check when it is due.
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
		l.lose()
		return
	}
	l.succeeded()
	l.journal.confirmed = l.check.sentAt
}

func (l *Ledger) headCheckFailed(ev HeadCheckFailed) {
	if l.endCheck() {
		l.failed(ev.RateLimited)
	}
}

// endCheck ends the check, and reports whether its reply still matters: an
// append that was started since moves the head itself.
func (l *Ledger) endCheck() bool {
	ended := l.check.running
	l.check.running = false
	return ended && l.phase == phaseOpen && l.flight == nil && l.check.head == l.journal.head
}
