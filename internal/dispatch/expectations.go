package dispatch

import "time"

const (
	// fallRate and riseRate adapt an expectation to a faster and a slower
	// answer: it settles near the lower quartile, which a few slow instances
	// don't move.
	fallRate = 0.15
	riseRate = 0.03
	// leastExpected keeps the noise of very fast answers from counting as
	// slowness.
	leastExpected = 10 * time.Millisecond
)

// expectations are the usual times to the first byte, by route.
type expectations struct {
	usual map[string]time.Duration
}

func newExpectations() *expectations {
	return &expectations{usual: make(map[string]time.Duration)}
}

// slowness returns a time relative to the usual one of its route, and learns
// from it.
func (e *expectations) slowness(route string, took time.Duration) float64 {
	usual, ok := e.usual[route]
	if !ok {
		e.usual[route] = max(took, leastExpected)
		return 1
	}
	rate := riseRate
	if took < usual {
		rate = fallRate
	}
	e.usual[route] = max(usual+time.Duration(rate*float64(took-usual)), leastExpected)
	return float64(took) / float64(usual)
}
