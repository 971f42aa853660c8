package admission

import "time"

// serviceTime is an exponentially weighted moving average of request run times.
type serviceTime struct {
	mean time.Duration
}

// ewmaDivisor sets the weight of a new sample to 1/ewmaDivisor.
const ewmaDivisor = 16

// add records the run time of one request.
func (s *serviceTime) add(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	s.mean += (d - s.mean) / ewmaDivisor
}

// waitFor returns the expected time until n requests have finished on a number
// of slots.
func (s *serviceTime) waitFor(n, slots int) time.Duration {
	return s.mean * time.Duration(n) / time.Duration(max(slots, 1))
}

// Limits of the retry delay that is returned to callers.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
