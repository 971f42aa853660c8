package instances

import (
	"math"
	"time"
)

const (
	// initialBackoff and maxBackoff bound how long an instance is avoided after it
	// was unreachable. initialBackoff is a few round trips; maxBackoff keeps the
	// calls that are spent on retrying an instance below one in two seconds.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// decayTime is the time constant of the exponential decay of all counts: a
	// failing instance is detected, and a recovered one used again, within about
	// two seconds.
	decayTime = 2 * time.Second
	// degradedRatio is the failure ratio above which an instance is degraded.
	// Healthy services fail up to one call in seven on their own.
	degradedRatio = 0.3
	// degradedMinUses is the minimum decayed number of uses for which the ratios
	// are meaningful.
	degradedMinUses = 3
	// degradedSlowness is the mean slowness, as a multiple of the expected time to
	// the first byte, above which an instance is degraded.
	degradedSlowness = 3.5
	// suspectAfterBroken is the number of broken connections, without a success
	// in between, that make an instance suspect. A single one may be caused by
	// the network path.
	suspectAfterBroken = 2
)

// health is the state of one instance as derived from the results of its uses.
type health struct {
	suspectUntil time.Time
	backoff      time.Duration
	brokenConns  int
	replaced     bool

	updated  time.Time
	uses     float64
	failures float64
	slowness float64
	// faults is the decayed number of failures that are reported to other routers.
	// Failures caused by overload or by a short deadline aren't included.
	faults float64
}

func (h *health) observe(now time.Time, result Result, slowness float64) {
	h.decay(now)
	h.uses++
	if slowness > 0 {
		h.slowness += min(slowness, 2*degradedSlowness) - 1
	}
	switch result {
	case Succeeded:
		h.brokenConns, h.backoff = 0, 0
	case Unreachable, Silent:
		h.failures++
		h.faults++
		h.suspect(now)
	case Broken:
		h.failures++
		h.faults++
		h.brokenConns++
		if h.brokenConns >= suspectAfterBroken {
			h.suspect(now)
		}
	case Failed:
		h.failures++
		h.faults++
	case Shed, Late:
		h.failures++
	case Replaced:
		h.replaced = true
	}
}

func (h *health) suspect(now time.Time) {
	if now.Before(h.suspectUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
	h.suspectUntil = now.Add(h.backoff)
	h.brokenConns = 0
}

func (h *health) decay(now time.Time) {
	if elapsed := now.Sub(h.updated); elapsed > 0 && !h.updated.IsZero() {
		factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		h.uses *= factor
		h.failures *= factor
		h.slowness *= factor
		h.faults *= factor
	}
	h.updated = now
}

// faultsAt returns the number of faults, decayed up to now.
func (h *health) faultsAt(now time.Time) float64 {
	decayed := *h
	decayed.decay(now)
	return decayed.faults
}

func (h *health) state(now time.Time) State {
	if now.Before(h.suspectUntil) {
		return Suspect
	}
	decayed := *h
	decayed.decay(now)
	if decayed.uses < degradedMinUses {
		return Healthy
	}
	if decayed.failures/decayed.uses > degradedRatio || decayed.slowness/decayed.uses > degradedSlowness-1 {
		return Degraded
	}
	return Healthy
}
