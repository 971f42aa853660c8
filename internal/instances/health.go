package instances

import (
	"math"
	"time"
)

const (
	// firstHold and maxHold bound how long an instance is avoided after it could
	// not be reached. The first is a few round trips, the last keeps the cost of
	// finding it back below one call in two seconds.
	firstHold = 250 * time.Millisecond
	maxHold   = 2 * time.Second
	// memory is the time constant of the failure ratio: a failing instance is
	// found, and a recovered one trusted, within about two seconds.
	memory = 2 * time.Second
	// degradedRatio is the share of failures from which on an instance counts as
	// degraded. Sound services fail up to one call in seven by themselves.
	degradedRatio = 0.3
	// degradedWeight is the least decayed number of uses that says anything.
	degradedWeight = 3
	// slowFactor is the mean slowness from which on an instance counts as
	// degraded.
	slowFactor = 3.5
	// brokenToSuspect is the number of connections in a row that must break; a
	// single one may be the fault of the path.
	brokenToSuspect = 2
)

// health is what the results of uses say about one instance.
type health struct {
	// holdUntil is when a suspicion ends.
	holdUntil time.Time
	hold      time.Duration
	broken    int
	replaced  bool

	updated  time.Time
	uses     float64
	failures float64
	slowness float64
	// faults are the failures that other routers are told of: those that don't
	// come from too much load or too little time.
	faults float64
}

func (h *health) observe(now time.Time, result Result, slowness float64) {
	h.decay(now)
	h.uses++
	if slowness > 0 {
		h.slowness += min(slowness, 2*slowFactor) - 1
	}
	switch result {
	case Succeeded:
		h.broken, h.hold = 0, 0
	case Unreachable, Silent:
		h.failures++
		h.faults++
		h.suspect(now)
	case Broken:
		h.failures++
		h.faults++
		h.broken++
		if h.broken >= brokenToSuspect {
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
	if now.Before(h.holdUntil) {
		return
	}
	h.hold = min(max(2*h.hold, firstHold), maxHold)
	h.holdUntil = now.Add(h.hold)
	h.broken = 0
}

func (h *health) decay(now time.Time) {
	if passed := now.Sub(h.updated); passed > 0 && !h.updated.IsZero() {
		factor := math.Exp(-passed.Seconds() / memory.Seconds())
		h.uses *= factor
		h.failures *= factor
		h.slowness *= factor
		h.faults *= factor
	}
	h.updated = now
}

// faultsAt returns the faults as they have decayed by a moment.
func (h *health) faultsAt(now time.Time) float64 {
	faded := *h
	faded.decay(now)
	return faded.faults
}

func (h *health) state(now time.Time) State {
	if now.Before(h.holdUntil) {
		return Suspect
	}
	faded := *h
	faded.decay(now)
	if faded.uses < degradedWeight {
		return Healthy
	}
	if faded.failures/faded.uses > degradedRatio || faded.slowness/faded.uses > slowFactor-1 {
		return Degraded
	}
	return Healthy
}
