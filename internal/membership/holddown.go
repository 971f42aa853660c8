package membership

import "time"

// holdDown keeps a failed host out of use for a time. The time doubles with
// repeated failures, unless the host stays up long enough between them.
type holdDown struct {
	failures int
	until    time.Time
}

// fail counts a failure and holds the host down from now.
func (h *holdDown) fail(now time.Time, s Settings) {
	h.decay(now, s)
	h.failures++
	h.until = now.Add(h.duration(s))
}

// restart holds the host down from now without counting a failure. It is called
// when a failed host returns.
func (h *holdDown) restart(now time.Time, s Settings) { h.until = now.Add(h.duration(s)) }

// stableHoldDowns is the uptime, as a multiple of the last hold-down, after which
// the next hold-down doesn't double. Flapping alone thus keeps a host held down
// for not much more than a fifth of the time.
const stableHoldDowns = 4

// decay lowers the number of failures after a time without one: to zero after
// StableAfter, by one after stableHoldDowns hold-downs.
func (h *holdDown) decay(now time.Time, s Settings) {
	up := now.Sub(h.until)
	switch {
	case up > s.StableAfter.Std():
		h.failures = 0
	case up > stableHoldDowns*h.duration(s):
		h.failures = max(h.failures-1, 0)
	}
}

// maxDoublings limits the shift in duration, to prevent an overflow of
// time.Duration.
const maxDoublings = 20

// duration returns the length of the hold-down after the failures counted so far.
func (h *holdDown) duration(s Settings) time.Duration {
	doublings := min(max(h.failures-1, 0), maxDoublings)
	return min(s.HoldDown.Std()<<doublings, s.MaxHoldDown.Std())
}

func (h *holdDown) active(now time.Time) bool { return now.Before(h.until) }

// recentlySuspectTime is how long after a hold-down a host counts as recently
// suspect.
const recentlySuspectTime = 30 * time.Second

// recent reports whether the host is held down or was until recently.
func (h *holdDown) recent(now time.Time) bool {
	return h.failures > 0 && now.Before(h.until.Add(recentlySuspectTime))
}
