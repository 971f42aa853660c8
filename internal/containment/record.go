package containment

import "time"

// record holds the crashes during which one request was in flight.
type record struct {
	// crashes maps crash IDs to whether the crash counts as a strike.
	crashes map[uint64]bool
	// lastCrash is when the latest crash became known.
	lastCrash time.Time
}

func newRecord() *record { return &record{crashes: make(map[uint64]bool)} }

// add records a crash unless it is known or the record is full, and reports whether
// it did.
func (r *record) add(crashID uint64, limit int) bool {
	if _, known := r.crashes[crashID]; known || len(r.crashes) >= limit {
		return false
	}
	r.crashes[crashID] = true
	return true
}

func (r *record) strikes() int {
	count := 0
	for _, counts := range r.crashes {
		if counts {
			count++
		}
	}
	return count
}

func (r *record) clear() {
	for crashID := range r.crashes {
		r.crashes[crashID] = false
	}
}

// lookup returns the record of a request, or nil if there is none or it has expired.
func (c *Containment) lookup(now time.Time, fingerprint uint64) *record {
	r := c.records[fingerprint]
	if r == nil {
		return nil
	}
	if now.Before(c.expiry(r)) {
		return r
	}
	delete(c.records, fingerprint)
	return nil
}

// expiry returns when a record expires.
func (c *Containment) expiry(r *record) time.Time {
	expiry := r.lastCrash.Add(c.settings.StrikeLifetime.Std())
	if r.strikes() >= c.settings.MaxStrikes {
		expiry = expiry.Add(c.settings.RefusalTime.Std())
	}
	return expiry
}

// evict makes room for a record if MaxFingerprints is reached. It drops the expired
// records, or else the one that expires first.
func (c *Containment) evict(now time.Time) {
	if len(c.records) < c.settings.MaxFingerprints {
		return
	}
	var first uint64
	var firstExpiry time.Time
	for fingerprint, r := range c.records {
		expiry := c.expiry(r)
		if !now.Before(expiry) {
			delete(c.records, fingerprint)
			continue
		}
		if firstExpiry.IsZero() || earlier(expiry, fingerprint, firstExpiry, first) {
			first, firstExpiry = fingerprint, expiry
		}
	}
	if len(c.records) >= c.settings.MaxFingerprints {
		delete(c.records, first)
	}
}

// earlier orders records by expiry, and by fingerprint if the expiry is equal.
func earlier(a time.Time, fa uint64, b time.Time, fb uint64) bool {
	if a.Equal(b) {
		return fa < fb
	}
	return a.Before(b)
}

// recentCrashes counts the crashes within a sliding window.
type recentCrashes struct {
	window time.Duration
	seen   map[uint64]time.Time
}

// maxRecentCrashes is the maximum number of crashes in memory. A higher count makes no
// difference to decisions.
const maxRecentCrashes = 256

func newRecentCrashes(window time.Duration) recentCrashes {
	return recentCrashes{window: window, seen: make(map[uint64]time.Time)}
}

func (c *recentCrashes) add(now time.Time, crashID uint64) {
	c.expire(now)
	if _, known := c.seen[crashID]; !known && len(c.seen) < maxRecentCrashes {
		c.seen[crashID] = now
	}
}

func (c *recentCrashes) count(now time.Time) int {
	c.expire(now)
	return len(c.seen)
}

func (c *recentCrashes) expire(now time.Time) {
	for crashID, at := range c.seen {
		if now.Sub(at) >= c.window {
			delete(c.seen, crashID)
		}
	}
}
