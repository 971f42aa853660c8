package admission

import "time"

// serviceTime is a moving average of how long requests run.
type serviceTime struct {
	mean time.Duration
}

// Weight of a new sample in the moving average: one part in sampleParts.
const sampleParts = 16

// add takes the run time of one request.
func (s *serviceTime) add(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	s.mean += (d - s.mean) / sampleParts
}

// waitFor returns the expected time until n of the slots are free.
func (s *serviceTime) waitFor(n, slots int) time.Duration {
	return s.mean * time.Duration(n) / time.Duration(max(slots, 1))
}

// Bounds of the times that callers are told to wait.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
