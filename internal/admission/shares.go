package admission

import "math"

// holding is what a workspace has in flight.
type holding struct {
	count  int
	weight int
}

// overShare is how many times its fair share a workspace may hold before it
// has to leave the reserve free.
const overShare = 1.5

// shares tells which workspaces must leave places free for the others, so that
// a workspace that surges doesn't make the others wait. The reserve follows
// the square-root staffing rule: the load of the others varies by about the
// square root of its mean.
type shares struct {
	// perWeight is the number of requests in flight per weight from which a
	// workspace is over its share.
	perWeight float64
	reserve   int
}

// shares computes the shares of the capacity among the workspaces that have
// requests in flight or waiting.
func (s *Scheduler) shares() shares {
	weights := s.waitingWeights()
	for _, h := range s.held {
		weights += h.weight
	}
	out := shares{perWeight: overShare * float64(s.bound.capacity) / float64(max(weights, 1))}
	others := 0
	for _, h := range s.held {
		if !out.over(h) {
			others += h.count
		}
	}
	out.reserve = int(math.Ceil(s.settings.ReserveFactor * math.Sqrt(float64(others))))
	return out
}

// waitingWeights sums the weights of the workspaces that only wait.
func (s *Scheduler) waitingWeights() int {
	sum := 0
	seen := make(map[string]bool, len(s.queue.flows))
	for _, f := range s.queue.flows {
		if _, running := s.held[f.workspace]; running || seen[f.workspace] {
			continue
		}
		seen[f.workspace] = true
		sum += f.queue[0].request.Weight
	}
	return sum
}

// over reports whether a workspace holds its share and more.
func (s shares) over(h holding) bool {
	return float64(h.count) >= s.perWeight*float64(max(h.weight, 1))
}
