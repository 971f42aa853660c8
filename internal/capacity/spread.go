package capacity

import (
	"math"
	"strings"
)

const (
	// againstDoublings is the size for what spreads from router to router: it
	// grows with each doubling of the routers beyond those that know it first.
	againstDoublings = "doublings of routers beyond the watchers"
	// watchers is the number of routers that watch the key-value service.
	watchers = domainCount * 2
)

// spreadFigures are the beginnings of figures that are times of spreading.
var spreadFigures = []string{"change: until", "outage: until", "killed router: until", "cold start, all at once: until"}

// doublings returns the size against which spreading grows; false for fleets
// in which all routers watch.
func doublings(routers float64) (float64, bool) {
	if routers <= watchers {
		return 0, false
	}
	return math.Log2(routers / watchers), true
}

// withSpread adds to observations those of spreading against doublings.
func withSpread(observations []Observation) []Observation {
	out := observations
	for _, o := range observations {
		x, spreads := doublings(o.X)
		if o.Against != AgainstRouters || !spreads || !isSpread(o.Figure) {
			continue
		}
		o.Against, o.X = againstDoublings, x
		out = append(out, o)
	}
	return out
}

func isSpread(figure string) bool {
	for _, prefix := range spreadFigures {
		if strings.HasPrefix(figure, prefix) {
			return true
		}
	}
	return false
}
