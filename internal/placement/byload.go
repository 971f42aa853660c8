package placement

// LoadCandidate is an instance of a service without prompts.
type LoadCandidate struct {
	Name  string
	Load  int
	Slots int
	// Near instances are in the caller's failure domain.
	Near bool
	// Cold instances work slowly for a while after their start.
	Cold bool
	// Degraded instances are taken when no other has room.
	Degraded bool
}

// nearAdvantage is the load, in calls, that an instance in another failure
// domain must be below a near one to be worth the way.
const nearAdvantage = 1

// coldHandicap is the load, in calls, that an instance counts as more while it
// is cold.
const coldHandicap = 2

// ChooseByLoad picks the least loaded instance, near ones first, and returns
// the mean load. Equals are decided by the key.
func ChooseByLoad(key uint64, candidates []LoadCandidate) (index int, mean float64) {
	total := 0
	best, bestCost, bestAffinity := -1, 0.0, 0.0
	for i, c := range candidates {
		total += c.Load
		cost := float64(c.Load)
		if !c.Near {
			cost += nearAdvantage
		}
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
	return best, float64(total) / float64(max(len(candidates), 1))
}
