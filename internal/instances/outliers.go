package instances

import (
	"math"
	"time"
)

const (
	// outlierFaults is the decayed number of faults, over all routers, from which
	// on an instance may be an outlier; outlierEnd is the number below which it
	// ceases to be one, a few seconds after the last fault.
	outlierFaults = 3
	outlierEnd    = 1
	// outlierFactor is how many times the mean of the others of its service an
	// instance must fail: what all do is the service's own.
	outlierFactor = 3
	// leastTold is the decayed number of faults from which on others are told.
	leastTold = 0.3
	// faultLifetime is how long another router's word counts: it has decayed to a
	// twentieth by then.
	faultLifetime = 3 * memory
)

// Faults are decayed numbers of broken, silent and failed uses, by instance.
type Faults map[string]float64

// toldFaults is the last word of another router.
type toldFaults struct {
	at     time.Time
	faults Faults
}

// LocalFaults returns what this router has seen fail lately, to tell others. In a
// large fleet each router uses an instance too seldom to judge it alone.
func (r *Registry) LocalFaults(now time.Time) Faults {
	out := make(Faults)
	for id, e := range r.entries {
		if e.health.faults < leastTold {
			// Decay only lessens it: most instances need no more than this.
			continue
		}
		if faults := e.health.faultsAt(now); faults >= leastTold {
			out[id] = faults
		}
	}
	return out
}

// UpdatePeerFaults takes what another router has seen fail.
func (r *Registry) UpdatePeerFaults(now time.Time, router string, faults Faults) {
	if len(faults) == 0 {
		delete(r.told, router)
		return
	}
	r.told[router] = toldFaults{at: now, faults: faults}
}

// findOutliers compares the instances of each service.
func (r *Registry) findOutliers(now time.Time) {
	told := r.toldAt(now)
	for _, entries := range r.services {
		sum := 0.0
		for _, e := range entries {
			e.faults = e.health.faultsAt(now) + told[e.instance.ID]
			sum += e.faults
		}
		for _, e := range entries {
			others := (sum - e.faults) / math.Max(float64(len(entries)-1), 1)
			e.outlier = isOutlier(e.outlier, e.faults, others)
		}
	}
}

// isOutlier decides about an instance by its own faults and the mean of the
// others'.
func isOutlier(was bool, faults, others float64) bool {
	least := float64(outlierFaults)
	if was {
		least = outlierEnd
	}
	return faults >= least && faults > outlierFactor*others
}

// toldAt sums up what other routers have told, and drops what is old.
func (r *Registry) toldAt(now time.Time) Faults {
	sums := make(Faults)
	for router, told := range r.told {
		age := now.Sub(told.at)
		if age >= faultLifetime {
			delete(r.told, router)
			continue
		}
		factor := math.Exp(-age.Seconds() / memory.Seconds())
		for id, faults := range told.faults {
			sums[id] += faults * factor
		}
	}
	return sums
}
