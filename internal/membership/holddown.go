package membership

import "time"

// holdDown keeps a host that fails again and again out of use for longer and
// longer, up to a part of the time that it stays up in between.
type holdDown struct {
	failures int
	until    time.Time
}

// fail counts a failure and holds the host down from now.
func (h *holdDown) fail(now time.Time, s Settings) {
	h.forgive(now, s)
	h.failures++
	h.until = now.Add(h.span(s))
}

// restartHold holds the host down from now without counting a failure; used
// when a host returns that had failed before.
func (h *holdDown) restartHold(now time.Time, s Settings) { h.until = now.Add(h.span(s)) }

// stableSpans is how many times its last hold-down a host must have been up
// for it not to double. A host is thus never held down for much more than a
// fifth of the time because of its flapping alone.
const stableSpans = 4

// forgive takes back failures that a time without one has made up for.
func (h *holdDown) forgive(now time.Time, s Settings) {
	up := now.Sub(h.until)
	switch {
	case up > s.StableAfter.Std():
		h.failures = 0
	case up > stableSpans*h.span(s):
		h.failures = max(h.failures-1, 0)
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

// unprovenTime is how long after a hold-down a host counts as unproven.
const unprovenTime = 30 * time.Second

// recent reports whether the host was held down a short time ago.
func (h *holdDown) recent(now time.Time) bool {
	return h.failures > 0 && now.Before(h.until.Add(unprovenTime))
}
