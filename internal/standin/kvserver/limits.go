package kvserver

import (
	"time"

	"golang.org/x/time/rate"
)

// limits are the rates of calls that the service takes. The burst of each is
// the calls of one second.
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

// allow takes one call from the rate of its class.
func (l limits) allow(now time.Time, write bool) bool {
	if write {
		return l.writes.AllowN(now, 1)
	}
	return l.reads.AllowN(now, 1)
}
