package instances

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// MinRateLimit is the lowest rate limit that is applied, in calls a second. An instance
// that names less, or zero, still gets this much: only its responses tell when the limit
// ends.
const MinRateLimit = 0.2

// RateLimit is the statement of one run of an instance on how many calls it takes from
// all routers together.
type RateLimit struct {
	ID string
	// StartedAt is the start of the instance that made the statement.
	StartedAt time.Time
	// Rate is in calls a second, zero if the instance names no limit any more.
	Rate float64
	// At is when the instance made the statement.
	At time.Time
}

// rateLimit is the latest statement of an instance, and when its rate last changed.
type rateLimit struct {
	RateLimit
	changedAt time.Time
}

// SetRateLimit records a statement. Statements of another run of the instance, and those
// that are older than the known one, are ignored. It returns the rate before and whether
// it has changed.
func (r *Registry) SetRateLimit(now time.Time, s RateLimit) (previous float64, changed bool) {
	e, ok := r.entries[s.ID]
	if !ok || !e.instance.StartedAt.Equal(s.StartedAt) {
		return 0, false
	}
	if s.Rate > 0 {
		s.Rate = max(s.Rate, MinRateLimit)
	}
	known, ok := r.rateLimits[s.ID]
	if !ok || !known.StartedAt.Equal(s.StartedAt) {
		known = rateLimit{}
	}
	if s.Rate == 0 && known.At.IsZero() || !s.At.After(known.At) {
		return known.Rate, false
	}
	previous, changed = known.Rate, !closeTo(known.Rate, s.Rate)
	changedAt := known.changedAt
	if changed {
		changedAt = now
	}
	r.rateLimits[s.ID] = rateLimit{RateLimit: s, changedAt: changedAt}
	return previous, changed
}

// closeTo reports whether two rates differ by no more than their encoding in messages.
func closeTo(a, b float64) bool {
	const precision = 1e-6
	return math.Abs(a-b) <= precision*max(a, b)
}

// RateLimit returns the rate limit of an instance, zero if it has none.
func (r *Registry) RateLimit(i Instance) float64 { return r.Statement(i).Rate }

// RateLimits returns the known statements, the latest changes first, and how many of them
// have changed since a point in time.
func (r *Registry) RateLimits(since time.Time) (statements []RateLimit, recent int) {
	all := slices.SortedFunc(maps.Values(r.rateLimits), func(a, b rateLimit) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range all {
		statements = append(statements, s.RateLimit)
		if s.changedAt.After(since) {
			recent++
		}
	}
	return statements, recent
}

// forgetRateLimits drops the statements of earlier runs, and those of instances that have
// not been listed for departureLifetime: an entry may be missing for a while.
func (r *Registry) forgetRateLimits(now time.Time) {
	maps.DeleteFunc(r.rateLimits, func(id string, s rateLimit) bool {
		if e, ok := r.entries[id]; ok {
			return !e.instance.StartedAt.Equal(s.StartedAt)
		}
		return now.Sub(s.At) >= departureLifetime
	})
}

// Statement returns the latest statement of an instance, with a rate of zero if it has
// never named a limit.
func (r *Registry) Statement(i Instance) RateLimit {
	if s, ok := r.rateLimits[i.ID]; ok && s.StartedAt.Equal(i.StartedAt) {
		return s.RateLimit
	}
	return RateLimit{ID: i.ID, StartedAt: i.StartedAt}
}
