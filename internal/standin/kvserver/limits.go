package kvserver

import (
	"time"

	"golang.org/x/time/rate"
)

// limits holds the rate limiters for reads and writes. The burst of each equals
// its rate for one second.
type limits struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newLimits(writesPerSecond, readsPerSecond int) limits {
	return limits{
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
	}
}

// allow reports whether a call is within its rate limit, and takes one token if so.
func (l limits) allow(now time.Time, write bool) bool {
	if write {
		return l.writes.AllowN(now, 1)
	}
	return l.reads.AllowN(now, 1)
}
