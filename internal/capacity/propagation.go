package capacity

import (
	"math"
	"strings"
)

const (
	// againstRouterDoublings is the size for times of propagation from router to
	// router. The watchers learn of a change first, so these times grow with each
	// doubling of the routers beyond the watchers.
	againstRouterDoublings = "doublings of routers beyond the watchers"
	// watcherCount is the number of routers that watch the key-value service.
	watcherCount = domainCount * 2
)

// propagationFigures are the prefixes of figures that are propagation times.
var propagationFigures = []string{"change: until", "outage: until", "killed router: until", "cold start, all at once: until"}

// doublings returns the size againstRouterDoublings of a fleet, and false if all of
// its routers watch the key-value service.
func doublings(routers float64) (float64, bool) {
	if routers <= watcherCount {
		return 0, false
	}
	return math.Log2(routers / watcherCount), true
}

// withPropagation returns the observations with a copy of each propagation time,
// recorded against againstRouterDoublings.
func withPropagation(observations []Observation) []Observation {
	out := observations
	for _, o := range observations {
		x, propagates := doublings(o.X)
		if o.Against != AgainstRouters || !propagates || !isPropagation(o.Figure) {
			continue
		}
		o.Against, o.X = againstRouterDoublings, x
		out = append(out, o)
	}
	return out
}

func isPropagation(figure string) bool {
	for _, prefix := range propagationFigures {
		if strings.HasPrefix(figure, prefix) {
			return true
		}
	}
	return false
}
