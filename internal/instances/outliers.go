package instances

import (
	"math"
	"time"
)

const (
	// outlierFaults is the minimum decayed number of faults, over all routers, of an
	// outlier. outlierClearFaults is the number below which an instance stops being
	// one, a few seconds after its last fault.
	outlierFaults      = 3
	outlierClearFaults = 1
	// outlierFactor is the multiple of the mean faults of the other instances of its
	// service that an outlier must exceed: failures that all instances share are
	// caused by the service itself.
	outlierFactor = 3
	// minReportedFaults is the minimum decayed number of faults that is reported to
	// other routers.
	minReportedFaults = 0.3
	// peerFaultLifetime is how long another router's report is used: by then it has
	// decayed to a twentieth.
	peerFaultLifetime = 3 * decayTime
)

// Faults maps instance IDs to decayed numbers of unreachable, broken, silent and
// failed uses.
type Faults map[string]float64

// peerReport is the last report of another router.
type peerReport struct {
	at     time.Time
	faults Faults
}

// LocalFaults returns the recent faults seen by this router, to be reported to the
// others. In a large fleet each router uses an instance too rarely to detect a
// failing one on its own.
func (r *Registry) LocalFaults(now time.Time) Faults {
	out := make(Faults)
	for id, e := range r.entries {
		if e.health.faults < minReportedFaults {
			// The decayed number can't be larger, so that most instances need no
			// further computation.
			continue
		}
		if faults := e.health.faultsAt(now); faults >= minReportedFaults {
			out[id] = faults
		}
	}
	return out
}

// UpdatePeerFaults replaces the faults reported by another router; an empty set
// removes them.
func (r *Registry) UpdatePeerFaults(now time.Time, router string, faults Faults) {
	if len(faults) == 0 {
		delete(r.peerFaults, router)
		return
	}
	r.peerFaults[router] = peerReport{at: now, faults: faults}
}

// findOutliers compares the fault counts of the instances of each service.
func (r *Registry) findOutliers(now time.Time) {
	reported := r.sumPeerFaults(now)
	for _, entries := range r.services {
		sum := 0.0
		for _, e := range entries {
			e.faults = e.health.faultsAt(now) + reported[e.instance.ID]
			sum += e.faults
		}
		for _, e := range entries {
			others := (sum - e.faults) / math.Max(float64(len(entries)-1), 1)
			e.outlier = isOutlier(e.outlier, e.faults, others)
		}
	}
}

// isOutlier compares the faults of an instance with the mean of the others. A
// current outlier has to fall below the lower threshold to stop being one.
func isOutlier(current bool, faults, others float64) bool {
	threshold := float64(outlierFaults)
	if current {
		threshold = outlierClearFaults
	}
	return faults >= threshold && faults > outlierFactor*others
}

// sumPeerFaults sums the decayed faults reported by other routers and drops expired
// reports.
func (r *Registry) sumPeerFaults(now time.Time) Faults {
	sums := make(Faults)
	for router, reported := range r.peerFaults {
		age := now.Sub(reported.at)
		if age >= peerFaultLifetime {
			delete(r.peerFaults, router)
			continue
		}
		factor := math.Exp(-age.Seconds() / decayTime.Seconds())
		for id, faults := range reported.faults {
			sums[id] += faults * factor
		}
	}
	return sums
}
