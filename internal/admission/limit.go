package admission

import (
	"math"
	"time"
)

// smallMean is the mean load below which the limit is the integer part of the
// mean plus one request; the multiple applies from here on.
const smallMean = 4

// raiseDuration is how long a raised limit stays in effect. By then the
// gossiped averages are expected to show the higher mean.
const raiseDuration = time.Second

// concurrencyLimit derives the maximum number of requests in flight at an engine
// from the mean load of its pool.
type concurrencyLimit struct {
	// multiple is the highest ratio of load to mean that admission allows.
	multiple float64
	// capacity is the engine's own limit; zero means none.
	capacity int

	mean        float64
	raisedLimit int
	raisedUntil time.Time
}

// setMean sets the mean load of the pool; NaN and negative values count as zero.
func (l *concurrencyLimit) setMean(mean float64) {
	if math.IsNaN(mean) || mean < 0 {
		mean = 0
	}
	l.mean = mean
}

// raise increases the limit by one request for raiseDuration. It is called when
// every engine of the pool was found at its limit: the mean is then at least
// that limit, even if the averages are lower. The raised limit stays within the
// multiple of that mean.
func (l *concurrencyLimit) raise(now time.Time) {
	minMean := limitFor(l.mean, l.multiple)
	highest := limitFor(float64(minMean), l.multiple)
	l.raisedLimit = min(l.current(now)+1, highest)
	l.raisedUntil = now.Add(raiseDuration)
}

// observe raises the limit for raiseDuration if a mean just collected from all
// owners, which is more recent than the averages, allows more.
func (l *concurrencyLimit) observe(now time.Time, mean float64) {
	observed := limitFor(mean, l.multiple)
	if observed <= l.current(now) {
		return
	}
	l.raisedLimit = observed
	l.raisedUntil = now.Add(raiseDuration)
}

// current returns the maximum number of requests in flight, at least 1.
func (l *concurrencyLimit) current(now time.Time) int {
	limit := limitFor(l.mean, l.multiple)
	if now.Before(l.raisedUntil) {
		limit = max(limit, l.raisedLimit)
	}
	if l.capacity > 0 {
		limit = min(limit, l.capacity)
	}
	return limit
}

// limitFor returns the limit for a mean load. It always exceeds the mean;
// otherwise the load of a pool could never grow.
func limitFor(mean, multiple float64) int {
	limit := math.Floor(mean) + 1
	if mean >= smallMean {
		limit = max(limit, math.Floor(multiple*mean))
	}
	return int(min(limit, math.MaxInt32))
}

// flexibleLimit returns the load below which a flexible request may start.
func (l *concurrencyLimit) flexibleLimit(now time.Time) int {
	return max(1, min(int(l.mean), l.current(now)))
}
