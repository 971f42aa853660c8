package containment

import (
	"cmp"
	"slices"
	"time"
)

// strike is one crash during which requests with a key were in flight.
type strike struct {
	at time.Time
	// counts is false once a whole response has cleared the key.
	counts bool
}

// record holds the strikes of one key by the ID of the crash.
type record struct {
	key uint64
	// shared is set if other requests may have the key, too: it isn't a fingerprint.
	shared  bool
	crashes map[uint64]strike
	// lastCrash is the time of the latest crash that counted when it became known.
	lastCrash time.Time
	// updated is the time of the latest crash or clearance.
	updated time.Time
}

// strikes returns the number of crashes that count.
func (r *record) strikes() int {
	count := 0
	for _, s := range r.crashes {
		if s.counts {
			count++
		}
	}
	return count
}

// counting returns the IDs of the crashes up to a time that count.
func (r *record) counting(until time.Time) []uint64 {
	crashIDs := make([]uint64, 0, len(r.crashes))
	for crashID, s := range r.crashes {
		if s.counts && !s.at.After(until) {
			crashIDs = append(crashIDs, crashID)
		}
	}
	return crashIDs
}

// distinct returns the number of crashes up to a time that count, as distinctOf.
func (c *Containment) distinct(r *record, until time.Time) int {
	return c.distinctOf(r, r.counting(until))
}

// distinctOf returns the number of some of a key's crashes. Those of shared keys that are
// simultaneous count once, those long before the others don't count unless they were
// enough for a refusal.
func (c *Containment) distinctOf(r *record, crashIDs []uint64) int {
	times := make([]time.Time, 0, len(crashIDs))
	for _, crashID := range crashIDs {
		times = append(times, r.crashes[crashID].at)
	}
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range times {
		if count < c.settings.MaxStrikes && at.Sub(last) > c.settings.StrikeLifetime.Std() {
			count = 0
		}
		if count == 0 || !r.shared || at.Sub(last) >= simultaneous {
			count, last = count+1, at
		}
	}
	return count
}

// includes reports whether all crashes up to a time that count for another record count
// for this one.
func (r *record) includes(other *record, until time.Time) bool {
	return !slices.ContainsFunc(other.counting(until), func(crashID uint64) bool { return !r.crashes[crashID].counts })
}

// strike adds a strike to a key unless it is known, and reports whether it did.
func (c *Containment) strike(now, at time.Time, key, crashID uint64, shared bool) bool {
	r := c.recordOf(now, key)
	r.shared = shared
	if _, known := r.crashes[crashID]; known {
		return false
	}
	c.add(r, crashID, strike{at: at, counts: true})
	return true
}

// clear makes a strike not count, also if it is reported later. It reports whether the
// strike counted or was unknown.
func (c *Containment) clear(now time.Time, key, crashID uint64) bool {
	r := c.recordOf(now, key)
	if s, known := r.crashes[crashID]; known && !s.counts {
		return false
	}
	c.add(r, crashID, strike{at: now})
	return true
}

// add sets a strike. It drops the key's oldest strike if there are too many.
func (c *Containment) add(r *record, crashID uint64, s strike) {
	if _, known := r.crashes[crashID]; !known {
		if len(r.crashes) >= c.maxCrashes() {
			c.dropStrike(r, r.first(func(strike) bool { return true }))
		}
		c.addStruck(crashID, r.key)
	}
	r.crashes[crashID] = s
	if s.counts && s.at.After(r.lastCrash) {
		r.lastCrash = s.at
	}
	if s.at.After(r.updated) {
		r.updated = s.at
	}
	c.updateHeavy(r)
}

// updateHeavy adds a record to those with the strikes to be blamed, or removes it.
func (c *Containment) updateHeavy(r *record) {
	if c.distinct(r, r.lastCrash) >= c.settings.MaxStrikes {
		c.heavy[r.key] = r
		return
	}
	delete(c.heavy, r.key)
}

// first returns the ID of the earliest crash whose strike meets a condition.
func (r *record) first(condition func(strike) bool) uint64 {
	var first uint64
	var at time.Time
	for crashID, s := range r.crashes {
		if condition(s) && (at.IsZero() || s.at.Before(at)) {
			first, at = crashID, s.at
		}
	}
	return first
}

func (c *Containment) dropStrike(r *record, crashID uint64) {
	delete(r.crashes, crashID)
	s := c.struck[crashID]
	s.live--
	switch {
	case s.live == 0:
		delete(c.struck, crashID)
	case s.live < len(s.keys)/2:
		s.keys = slices.DeleteFunc(s.keys, func(key uint64) bool { return !c.hasStrike(key, crashID) })
		slices.Sort(s.keys)
		s.keys = slices.Compact(s.keys)
	}
}

// struckKeys are the keys with a strike for one crash. Dropped ones stay in the list until
// they are the larger part of it, so that dropping many takes no time for each.
type struckKeys struct {
	keys []uint64
	// live is the number of keys that have the strike.
	live int
}

func (c *Containment) addStruck(crashID, key uint64) {
	s := c.struck[crashID]
	if s == nil {
		s = &struckKeys{}
		c.struck[crashID] = s
	}
	s.keys = append(s.keys, key)
	s.live++
}

// hasStrike reports whether a key has a strike for a crash.
func (c *Containment) hasStrike(key, crashID uint64) bool {
	r := c.records[key]
	if r == nil {
		return false
	}
	_, known := r.crashes[crashID]
	return known
}

// maxCrashes returns the maximum number of crashes in one record.
func (c *Containment) maxCrashes() int { return 4 * c.settings.MaxStrikes }

// recordOf returns the record of a key. It creates one if there is none.
func (c *Containment) recordOf(now time.Time, key uint64) *record {
	if r := c.lookup(now, key); r != nil {
		return r
	}
	c.evict()
	r := &record{key: key, crashes: make(map[uint64]strike)}
	c.records[key] = r
	return r
}

func (c *Containment) drop(r *record) {
	for crashID := range r.crashes {
		c.dropStrike(r, crashID)
	}
	delete(c.records, r.key)
	delete(c.heavy, r.key)
}

// lookup returns the record of a key, or nil if there is none or it has expired.
func (c *Containment) lookup(now time.Time, key uint64) *record {
	r := c.records[key]
	if r == nil {
		return nil
	}
	if now.Before(c.expiry(r)) {
		return r
	}
	c.drop(r)
	return nil
}

// expiry returns when a record expires. Records without the strikes for a refusal are
// kept as long as those with them: their strikes may arrive one by one.
func (c *Containment) expiry(r *record) time.Time {
	return r.updated.Add(c.settings.StrikeLifetime.Std() + c.settings.RefusalTime.Std())
}

// evictedShare is the share of the records, an eighth, that one eviction drops, so that
// a flood of new keys doesn't order all records for each.
const evictedShare = 8

// evict makes room if MaxFingerprints is reached. It drops the records with the fewest
// strikes, and of these the ones that expire first.
func (c *Containment) evict() {
	if len(c.records) < c.settings.MaxFingerprints {
		return
	}
	ranked := make([]evictionRank, 0, len(c.records))
	for _, r := range c.records {
		ranked = append(ranked, evictionRank{strikes: r.strikes(), expiry: c.expiry(r), record: r})
	}
	slices.SortFunc(ranked, evictionRank.compare)
	for _, rank := range ranked[:len(ranked)/evictedShare+1] {
		c.drop(rank.record)
	}
}

// evictionRank orders records by strikes, expiry and key.
type evictionRank struct {
	strikes int
	expiry  time.Time
	record  *record
}

func (a evictionRank) compare(b evictionRank) int {
	return cmp.Or(cmp.Compare(a.strikes, b.strikes), a.expiry.Compare(b.expiry), cmp.Compare(a.record.key, b.record.key))
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
