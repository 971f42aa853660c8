package admission

import (
	"math"
	"time"
)

// smallMean is the mean below which the bound is one request over the mean.
const smallMean = 4

// raiseDuration is how long a mean that a full pool has proved stays in use.
const raiseDuration = 2 * time.Second

// bound computes the most requests in flight from the mean of the pool.
type bound struct {
	multiple float64
	capacity int

	mean        float64
	raisedMean  float64
	raisedUntil time.Time
}

// setMean takes a new average; values that are no load count as zero.
func (b *bound) setMean(mean float64) {
	if math.IsNaN(mean) || mean < 0 {
		mean = 0
	}
	b.mean = mean
}

// raise records that every engine of the pool holds at least its bound.
func (b *bound) raise(now time.Time) {
	b.raisedMean = float64(b.limit(now))
	b.raisedUntil = now.Add(raiseDuration)
}

// limit returns the most requests in flight, at least 1. It always exceeds the
// mean, or else the load of a pool could never grow.
func (b *bound) limit(now time.Time) int {
	mean := b.currentMean(now)
	limit := math.Floor(mean) + 1
	if mean >= smallMean {
		limit = max(limit, math.Floor(b.multiple*mean))
	}
	if b.capacity > 0 {
		limit = min(limit, float64(b.capacity))
	}
	return int(min(limit, math.MaxInt32))
}

func (b *bound) currentMean(now time.Time) float64 {
	if now.Before(b.raisedUntil) {
		return max(b.mean, b.raisedMean)
	}
	return b.mean
}
