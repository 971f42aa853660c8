package mirror

import "time"

const (
	// followerConfirmAfter is the age of the last confirmation at which a router
	// that follows the store asks it again. Together with a round of digests and a
	// list call, a change that a watch misses takes effect well within two seconds.
	followerConfirmAfter = 800 * time.Millisecond
	// nonFollowerConfirmAfter is the same for a router that doesn't follow the
	// store. It is longer because followers ask the store and their digests relay
	// the confirmation, unless the router is partitioned from them.
	nonFollowerConfirmAfter = 1150 * time.Millisecond
	// unreliableConfirmAfter is the same for a follower while watches count as
	// unreliable.
	unreliableConfirmAfter = 450 * time.Millisecond
	// unreliablePeriod is how long watches count as unreliable after one missed a
	// change.
	unreliablePeriod = 15 * time.Second
	// MaxJitter spreads the routers' calls, so that usually one of them asks
	// and the others receive the confirmation from it.
	MaxJitter = 200 * time.Millisecond
	// askAgainAfter is the pause after a question that got no answer.
	askAgainAfter = 300 * time.Millisecond
)

// MaxUnconfirmed returns the longest age of a copy at which a router asks the store
// itself, if a confirmation takes the given time to reach all routers.
func MaxUnconfirmed(propagation time.Duration) time.Duration {
	return nonFollowerConfirmAfter + propagation + MaxJitter
}

// Freshness decides when to ask the store whether a copy of its records is
// complete. A watch alone is not enough: one that misses changes can't be told
// from one that has none to deliver. Freshness does no I/O and is not safe for
// concurrent use.
type Freshness struct {
	lastConfirmed   time.Time
	unreliableUntil time.Time
	lastAsked       time.Time
	// askAgainAt is the end of the pause after a failed question.
	askAgainAt time.Time
}

// RecordConfirmation records that the copy was complete at a point in time.
func (f *Freshness) RecordConfirmation(at time.Time) {
	if at.After(f.lastConfirmed) {
		f.lastConfirmed = at
	}
}

// MarkWatchUnreliable records that a watch missed a change.
func (f *Freshness) MarkWatchUnreliable(now time.Time) { f.unreliableUntil = now.Add(unreliablePeriod) }

// EverConfirmed reports whether the copy was ever confirmed to be complete.
func (f *Freshness) EverConfirmed() bool { return !f.lastConfirmed.IsZero() }

// Age returns the time since the copy was last known to be complete.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(f.lastConfirmed) }

// RecordFailure records that the store didn't answer: the next question doesn't wait for
// as long as after an answer.
func (f *Freshness) RecordFailure(now time.Time) {
	f.lastAsked, f.askAgainAt = time.Time{}, now.Add(askAgainAfter)
}

// Due reports whether to ask the store now, and records that it is asked. follows
// tells whether the router follows the store, propagation is how long a
// confirmation takes to reach all routers, and jitter is a random time below
// MaxJitter, the same until the store is asked.
func (f *Freshness) Due(now time.Time, follows bool, propagation, jitter time.Duration) bool {
	maxAge := nonFollowerConfirmAfter + propagation
	if follows {
		maxAge = max(followerConfirmAfter-propagation, unreliableConfirmAfter)
	}
	if follows && now.Before(f.unreliableUntil) {
		maxAge = unreliableConfirmAfter
	}
	maxAge += jitter
	if f.Age(now) < maxAge || now.Sub(f.lastAsked) < maxAge || now.Before(f.askAgainAt) {
		return false
	}
	f.lastAsked = now
	return true
}
