package membership

import "time"

// holdDown keeps a host that fails again and again out of use for longer and
// longer.
type holdDown struct {
	failures    int
	lastFailure time.Time
	until       time.Time
}

// fail counts a failure and holds the host down from now.
func (h *holdDown) fail(now time.Time, s Settings) {
	h.forgetIfStable(now, s)
	h.failures++
	h.lastFailure = now
	h.until = now.Add(h.span(s))
}

// restartHold holds the host down from now without counting a failure; used
// when a host returns that had failed before.
func (h *holdDown) restartHold(now time.Time, s Settings) { h.until = now.Add(h.span(s)) }

func (h *holdDown) forgetIfStable(now time.Time, s Settings) {
	if now.Sub(h.lastFailure) > s.StableAfter.Std() {
		h.failures = 0
	}
}

// maxDoublings keeps the shift below the width of a time span.
const maxDoublings = 20

// span is the hold-down after the failures counted so far.
func (h *holdDown) span(s Settings) time.Duration {
	doublings := min(max(h.failures-1, 0), maxDoublings)
	return min(s.HoldDown.Std()<<doublings, s.MaxHoldDown.Std())
}

func (h *holdDown) active(now time.Time) bool { return now.Before(h.until) }
