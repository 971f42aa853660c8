package ratelimit

import "time"

// schedule holds the permits of one instance, by the generic cell rate algorithm: full is
// when all permits that are granted so far have been paid for by the passing of time.
type schedule struct {
	full time.Time
	rate float64
	used time.Time
}

// interval returns the time between two permits.
func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// tolerance returns how far ahead of full a permit may be used: what an instance saves.
func tolerance(rate float64) time.Duration { return max(BurstTime, interval(rate)) }

// newSchedule returns a schedule whose first permit is due after one interval.
func newSchedule(now time.Time, rate float64) *schedule {
	return &schedule{full: now.Add(interval(rate) + tolerance(rate)), rate: rate}
}

// setRate changes the rate. What is still to be paid for is scaled, so that a schedule
// that waits for a slow rate is due soon at a fast one.
func (s *schedule) setRate(now time.Time, rate float64) {
	if rate == s.rate {
		return
	}
	if ahead := s.full.Sub(now); ahead > 0 {
		s.full = now.Add(time.Duration(float64(ahead) * s.rate / rate))
	}
	s.rate = rate
}

// due returns the time until the next permit may be used.
func (s *schedule) due(now time.Time) time.Duration {
	return max(s.full.Add(-tolerance(s.rate)).Sub(now), 0)
}

// take grants a permit for a point in time.
func (s *schedule) take(at time.Time) {
	if s.full.Before(at) {
		s.full = at
	}
	s.full = s.full.Add(interval(s.rate))
}
