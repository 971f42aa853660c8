package placement

import "github.com/verbenatrail/verbenatrail/internal/locality"

// LoadCandidate is an instance of a service whose calls carry no prompt.
type LoadCandidate struct {
	Name     string
	Load     int
	Slots    int
	Distance locality.Distance
	// Cold instances are slow for a while after their start.
	Cold bool
	// Degraded instances are chosen only if no other has a free slot.
	Degraded bool
}

const (
	// otherDomainPenalty is the load, in calls, that is added to an instance in
	// another failure domain of the region: the network adds one or two
	// milliseconds.
	otherDomainPenalty = 1
	// otherRegionSlotShare is the fraction of its slots that is added to the load
	// of an instance in another region: the network latency costs more than a
	// short queueing time and less than a long one.
	otherRegionSlotShare = 0.5
	// maxRegionPenaltyOverMean limits that penalty to the mean load plus this
	// number of calls, so that the busiest instance stays below twice the mean.
	maxRegionPenaltyOverMean = 2
)

// coldPenalty is the load, in calls, that is added to a cold instance.
const coldPenalty = 2

// ChooseByLoad returns the instance with the lowest load, weighted by distance
// and state, and the mean load. Ties are broken by rendezvous hashing of the key.
// The index is -1 if there are no candidates.
func ChooseByLoad(key uint64, candidates []LoadCandidate) (index int, mean float64) {
	mean = meanCalls(candidates)
	best, bestCost, bestAffinity := -1, 0.0, 0.0
	for i, c := range candidates {
		cost := float64(c.Load) + distanceCost(c, mean)
		if c.Cold {
			cost += coldPenalty
		}
		if c.Degraded {
			cost += float64(max(c.Slots, 1))
		}
		affinity := rendezvousScore(key, c.Name, 1)
		if best < 0 || cost < bestCost || cost == bestCost && affinity > bestAffinity {
			best, bestCost, bestAffinity = i, cost, affinity
		}
	}
	return best, mean
}

func meanCalls(candidates []LoadCandidate) float64 {
	total := 0
	for _, c := range candidates {
		total += c.Load
	}
	return float64(total) / float64(max(len(candidates), 1))
}

// distanceCost returns the penalty for the distance to an instance, in calls.
func distanceCost(c LoadCandidate, mean float64) float64 {
	switch c.Distance {
	case locality.SameDomain:
		return 0
	case locality.SameRegion:
		return otherDomainPenalty
	default:
		return otherDomainPenalty + min(otherRegionSlotShare*float64(max(c.Slots, 1)), mean+maxRegionPenaltyOverMean)
	}
}
