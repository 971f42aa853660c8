package placement

import "github.com/verbenatrail/verbenatrail/internal/locality"

// LoadCandidate is an instance of a service without prompts.
type LoadCandidate struct {
	Name     string
	Load     int
	Slots    int
	Distance locality.Distance
	// Cold instances work slowly for a while after their start.
	Cold bool
	// Degraded instances are taken when no other has room.
	Degraded bool
}

const (
	// domainHandicap is the load, in calls, that an instance counts as more in
	// another failure domain of the region: the way takes a millisecond or two.
	domainHandicap = 1
	// regionShare is the part of its slots that an instance of another region
	// counts as taken: the way costs more than a short wait, less than a long one.
	regionShare = 0.5
	// regionOverMean bounds that handicap by the mean load, so that the busiest
	// instance stays below twice the mean.
	regionOverMean = 2
)

// coldHandicap is the load, in calls, that an instance counts as more while it
// is cold.
const coldHandicap = 2

// ChooseByLoad picks the least loaded instance, near ones first, and returns
// the mean load. Equals are decided by the key.
func ChooseByLoad(key uint64, candidates []LoadCandidate) (index int, mean float64) {
	mean = meanCalls(candidates)
	best, bestCost, bestAffinity := -1, 0.0, 0.0
	for i, c := range candidates {
		cost := float64(c.Load) + wayCost(c, mean)
		if c.Cold {
			cost += coldHandicap
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

// wayCost is what the way to an instance counts, in calls.
func wayCost(c LoadCandidate, mean float64) float64 {
	switch c.Distance {
	case locality.SameDomain:
		return 0
	case locality.SameRegion:
		return domainHandicap
	default:
		return domainHandicap + min(regionShare*float64(max(c.Slots, 1)), mean+regionOverMean)
	}
}
