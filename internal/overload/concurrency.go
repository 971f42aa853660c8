package overload

import "time"

const (
	// slowShare and fastShare are the shares of the objective for the first byte above which
	// an instance has too many calls, and below which it may get more.
	slowShare = 0.5
	fastShare = 0.25
	// decreaseFactor is applied to the limit, at most once in decreaseInterval: the calls in
	// flight were admitted under the limit before.
	decreaseFactor   = 0.8
	decreaseInterval = 500 * time.Millisecond
	// usedShare is the share of the limit that must be in use for it to grow.
	usedShare = 0.8
	// minConcurrency is the lowest limit.
	minConcurrency = 2
)

// Concurrency is the number of calls that one instance runs within their objective. It
// falls by a factor when responses begin late, and grows by one when they begin early
// while it is in use. It isn't safe for concurrent use.
type Concurrency struct {
	limit       float64
	decreasedAt time.Time
}

// Limit returns the number of calls at an instance with a number of slots from which on it
// has no room.
func (c *Concurrency) Limit(slots int) int {
	if c == nil || c.limit == 0 || int(c.limit) > slots {
		return slots
	}
	return int(c.limit)
}

// RecordFirstByte records the time until a response began, or zero if the instance has
// failed the call for lack of room, and the number of calls at the instance then.
func (c *Concurrency) RecordFirstByte(now time.Time, took, objective time.Duration, load, slots int) {
	if slots <= 0 || objective <= 0 {
		return
	}
	if c.limit == 0 {
		c.limit = float64(slots)
	}
	switch share := float64(took) / float64(objective); {
	case took <= 0 || share > slowShare:
		c.decrease(now, load)
	case share < fastShare && float64(load) >= usedShare*c.limit:
		c.limit = min(c.limit+1, float64(slots))
	}
}

func (c *Concurrency) decrease(now time.Time, load int) {
	if now.Sub(c.decreasedAt) < decreaseInterval {
		return
	}
	c.decreasedAt = now
	c.limit = max(min(c.limit, float64(load))*decreaseFactor, minConcurrency)
}
