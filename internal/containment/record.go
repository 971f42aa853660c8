package containment

import "time"

// record holds the crashes of one request.
type record struct {
	// crashes maps a crash to whether it counts as a strike.
	crashes map[uint64]bool
	// last is when the newest crash was learnt.
	last time.Time
}

func newRecord() *record { return &record{crashes: make(map[uint64]bool)} }

// add notes a crash, and reports whether it was new and kept.
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

// live returns the record of a request unless it has expired.
func (c *Containment) live(now time.Time, fingerprint uint64) *record {
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

// expiry returns when a record is forgotten.
func (c *Containment) expiry(r *record) time.Time {
	expiry := r.last.Add(c.settings.StrikeLifetime.Std())
	if r.strikes() >= c.settings.MaxStrikes {
		expiry = expiry.Add(c.settings.RefusalTime.Std())
	}
	return expiry
}

// makeRoom drops the expired records when memory is full, or else the record
// that would expire first.
func (c *Containment) makeRoom(now time.Time) {
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

// earlier orders records by expiry, and by fingerprint for equal ones.
func earlier(a time.Time, fa uint64, b time.Time, fb uint64) bool {
	if a.Equal(b) {
		return fa < fb
	}
	return a.Before(b)
}

// recentCrashes counts the crashes within a window.
type recentCrashes struct {
	window time.Duration
	seen   map[uint64]time.Time
}

// maxRecentCrashes bounds the crashes in memory; more make no difference.
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
