package mirror

import "time"

const (
	// confirmAfter is the age of the last confirmation at which a router asks
	// the store again. With a round of digests and a list, a change that a watch
	// keeps back is in force well within two seconds.
	confirmAfter = 900 * time.Millisecond
	// strangerAfter is the same for a router that doesn't follow the store: those
	// that do ask, and it hears of it, unless it is cut off from them.
	strangerAfter = 1400 * time.Millisecond
	// distrustedAfter is the same while watches are known to keep changes back.
	distrustedAfter = 450 * time.Millisecond
	// distrustTime is how long a watch is distrusted after it kept back a change.
	distrustTime = 15 * time.Second
	// MaxJitter spreads the routers' calls, so that mostly one of them asks
	// and the others hear of it.
	MaxJitter = 300 * time.Millisecond
)

// Freshness decides when the store must be asked whether a copy of its records
// is complete. A watch alone doesn't tell: one that keeps changes back looks
// like one without changes. It is pure, and not safe for concurrent use.
type Freshness struct {
	confirmed     time.Time
	distrustUntil time.Time
	asked         time.Time
}

// RecordConfirmation tells that a copy was complete at a moment.
func (f *Freshness) RecordConfirmation(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// MarkWatchUnreliable tells that a watch kept back a change.
func (f *Freshness) MarkWatchUnreliable(now time.Time) { f.distrustUntil = now.Add(distrustTime) }

// EverConfirmed reports whether the copy was ever confirmed.
func (f *Freshness) EverConfirmed() bool { return !f.confirmed.IsZero() }

// Age returns the time since the copy was last known to be complete.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(f.confirmed) }

// Due reports whether to ask the store now, and notes that it is asked. Follows
// tells whether the router follows the store, spread is how long what it hears
// needs to come to all routers. Jitter is a random time below JitterBound.
func (f *Freshness) Due(now time.Time, follows bool, spread, jitter time.Duration) bool {
	patience := strangerAfter + spread
	if follows {
		patience = max(confirmAfter-spread, distrustedAfter)
	}
	if follows && now.Before(f.distrustUntil) {
		patience = distrustedAfter
	}
	patience += jitter
	if f.Age(now) < patience || now.Sub(f.asked) < patience {
		return false
	}
	f.asked = now
	return true
}
