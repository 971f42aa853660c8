package admission

import (
	"math"
	"time"
)

// smallMean is the mean below which the bound is one request over the mean.
const smallMean = 4

// raiseDuration is how long a limit that a full pool has raised stays in use,
// until averages can be expected to show the higher mean.
const raiseDuration = time.Second

// bound computes the most requests in flight from the mean of the pool.
type bound struct {
	// multiple of the mean that admission allows.
	multiple float64
	capacity int

	mean        float64
	raisedLimit int
	raisedUntil time.Time
}

// setMean takes a new average; values that are no load count as zero.
func (b *bound) setMean(mean float64) {
	if math.IsNaN(mean) || mean < 0 {
		mean = 0
	}
	b.mean = mean
}

// raise allows one request more after every engine of the pool was found at
// its limit: the mean is then at least that limit, whatever the averages say.
func (b *bound) raise(now time.Time) {
	proven := limitFor(b.mean, b.multiple)
	highest := limitFor(float64(proven), b.multiple)
	b.raisedLimit = min(b.limit(now)+1, highest)
	b.raisedUntil = now.Add(raiseDuration)
}

// observe takes a mean that was collected from all owners just now, which is
// newer than the averages.
func (b *bound) observe(now time.Time, mean float64) {
	observed := limitFor(mean, b.multiple)
	if observed <= b.limit(now) {
		return
	}
	b.raisedLimit = observed
	b.raisedUntil = now.Add(raiseDuration)
}

// limit returns the most requests in flight, at least 1.
func (b *bound) limit(now time.Time) int {
	limit := limitFor(b.mean, b.multiple)
	if now.Before(b.raisedUntil) {
		limit = max(limit, b.raisedLimit)
	}
	if b.capacity > 0 {
		limit = min(limit, b.capacity)
	}
	return limit
}

// limitFor returns the limit that a mean allows. It always exceeds the mean,
// or else the load of a pool could never grow.
func limitFor(mean, multiple float64) int {
	limit := math.Floor(mean) + 1
	if mean >= smallMean {
		limit = max(limit, math.Floor(multiple*mean))
	}
	return int(min(limit, math.MaxInt32))
}

// flexibleLimit returns the number of requests in flight below which a
// flexible request still starts.
func (b *bound) flexibleLimit(now time.Time) int {
	return max(1, min(int(b.mean), b.limit(now)))
}
