package admission

import "math"

// workspaceUsage is the number of requests a workspace has in flight, and its
// weight.
type workspaceUsage struct {
	count  int
	weight int
}

// overShareFactor is the multiple of its fair share at which a workspace must
// leave the reserve free.
const overShareFactor = 1.5

// fairShare determines which workspaces must leave slots free for the others, so
// that a surge of one workspace does not make the others wait. The reserve
// follows the square-root staffing rule: the load of the others varies by about
// the square root of its mean.
type fairShare struct {
	// limitPerWeight is the number of requests in flight per weight at which a
	// workspace counts as over its share.
	limitPerWeight float64
	// reserve is the number of slots to leave free.
	reserve int
}

// fairShare divides the capacity among the workspaces that have requests in
// flight or queued.
func (s *Scheduler) fairShare() fairShare {
	weights := s.queuedOnlyWeight()
	for _, u := range s.usage {
		weights += u.weight
	}
	out := fairShare{limitPerWeight: overShareFactor * float64(s.limit.capacity) / float64(max(weights, 1))}
	others := 0
	for _, u := range s.usage {
		if !out.reachedBy(u) {
			others += u.count
		}
	}
	out.reserve = int(math.Ceil(s.settings.ReserveFactor * math.Sqrt(float64(others))))
	return out
}

// queuedOnlyWeight returns the total weight of the workspaces that have requests
// queued but none in flight.
func (s *Scheduler) queuedOnlyWeight() int {
	sum := 0
	seen := make(map[string]bool, len(s.queue.flows))
	for _, f := range s.queue.flows {
		if _, running := s.usage[f.workspace]; running || seen[f.workspace] {
			continue
		}
		seen[f.workspace] = true
		sum += f.queue[0].request.Weight
	}
	return sum
}

// reachedBy reports whether a workspace has reached the limit of its share.
func (s fairShare) reachedBy(u workspaceUsage) bool {
	return float64(u.count) >= s.limitPerWeight*float64(max(u.weight, 1))
}
