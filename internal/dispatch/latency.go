package dispatch

import "time"

const (
	// fallRate and riseRate are the weights of a response that is faster or
	// slower than the baseline. With these, the baseline settles near the lower
	// quartile, so that a few slow instances don't move it.
	fallRate = 0.15
	riseRate = 0.03
	// minBaseline keeps the jitter of very fast responses from counting as
	// slowness.
	minBaseline = 10 * time.Millisecond
)

// latencyBaselines hold the usual time to the first byte of each route.
type latencyBaselines struct {
	byRoute map[string]time.Duration
}

func newLatencyBaselines() *latencyBaselines {
	return &latencyBaselines{byRoute: make(map[string]time.Duration)}
}

// observe returns the ratio of a time to the first byte to its route's baseline,
// and then updates the baseline.
func (l *latencyBaselines) observe(route string, took time.Duration) float64 {
	baseline, ok := l.byRoute[route]
	if !ok {
		l.byRoute[route] = max(took, minBaseline)
		return 1
	}
	rate := riseRate
	if took < baseline {
		rate = fallRate
	}
	l.byRoute[route] = max(baseline+time.Duration(rate*float64(took-baseline)), minBaseline)
	return float64(took) / float64(baseline)
}
