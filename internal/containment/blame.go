package containment

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// simultaneous is the time within which crashes count as one strike: an outage of
// several upstreams at once isn't caused by what happens to be in flight on them.
const simultaneous = 300 * time.Millisecond

// soundStrikes is the number of additional strikes for a refusal of keys that have
// recently been in a whole response.
const soundStrikes = 1

// needed returns the number of strikes for which a key is blamed.
func (c *Containment) needed(r *record) int {
	if c.sound.has(r.key) {
		return c.settings.MaxStrikes + soundStrikes
	}
	return c.settings.MaxStrikes
}

// settleShare is the share of SpreadTime, a half, after which a crash counts for a blame
// on a shared key: most daemons have reported by then what was in flight.
const settleShare = 2

// settled returns the time up to which crashes count for a blame on a key.
func (c *Containment) settled(now time.Time, r *record) time.Time {
	if r.shared {
		return now.Add(-c.settings.SpreadTime.Std() / settleShare)
	}
	return now
}

// enough reports whether a key has the strikes to be blamed unless other keys explain them.
func (c *Containment) enough(now time.Time, r *record) bool {
	return c.distinct(r, c.settled(now, r)) >= c.needed(r)
}

// blamedKeys returns the keys that are blamed, in ascending order. A key is blamed if it
// has the strikes for it at crashes that no blamed key with more strikes was in flight at:
// such a key explains the crashes that they share. Shared keys with as many strikes, but at
// other crashes too, may each explain what they share: it counts for neither.
func (c *Containment) blamedKeys(now time.Time) []uint64 {
	var keys []uint64
	// explained maps crashes to the highest number of strikes of a blamed key in flight.
	explained := make(map[uint64]int)
	suspects := c.strongest(now)
	for _, s := range suspects {
		own := slices.DeleteFunc(slices.Clone(s.crashes), func(crashID uint64) bool {
			return explained[crashID] > len(s.crashes) || s.tiedAt(crashID, suspects)
		})
		if c.distinctOf(s.record, own) < c.needed(s.record) {
			continue
		}
		keys = append(keys, s.record.key)
		for _, crashID := range s.crashes {
			explained[crashID] = max(explained[crashID], len(s.crashes))
		}
	}
	slices.Sort(keys)
	return keys
}

// suspectedKey is a key with the strikes to be blamed, and the crashes that count for it.
type suspectedKey struct {
	record  *record
	crashes []uint64
}

// tiedAt reports whether another suspect with as many crashes, of which some are others,
// was in flight at a crash. Only shared keys are tied.
func (s suspectedKey) tiedAt(crashID uint64, suspects []suspectedKey) bool {
	return s.record.shared && slices.ContainsFunc(suspects, func(o suspectedKey) bool {
		return len(o.crashes) == len(s.crashes) && slices.Contains(o.crashes, crashID) &&
			slices.ContainsFunc(o.crashes, func(other uint64) bool { return !slices.Contains(s.crashes, other) })
	})
}

// strongest returns the keys with the strikes to be blamed, those with the most first.
func (c *Containment) strongest(now time.Time) []suspectedKey {
	var suspects []suspectedKey
	for key := range c.heavy {
		if r := c.lookup(now, key); r != nil && c.enough(now, r) {
			suspects = append(suspects, suspectedKey{record: r, crashes: r.counting(c.settled(now, r))})
		}
	}
	slices.SortFunc(suspects, func(a, b suspectedKey) int { return len(b.crashes) - len(a.crashes) })
	return suspects
}

// refusalGrowth is the factor by which the refusal for shared keys grows with each crash
// after those that were needed for it.
const refusalGrowth = 6

// refusalTime returns how long requests with blamed keys are refused after the last
// strike. A refusal for the content of one request affects no other.
func (c *Containment) refusalTime(blamed []uint64) time.Duration {
	longest := c.settings.RefusalTime.Std()
	shortest := longest
	for _, key := range blamed {
		r := c.records[key]
		if !r.shared {
			return longest
		}
		refusal := c.settings.FirstRefusal.Std()
		for n := c.distinct(r, r.lastCrash); n > c.needed(r) && refusal < longest; n-- {
			refusal *= refusalGrowth
		}
		shortest = min(shortest, refusal)
	}
	return shortest
}

// blamed returns the blamed keys that a request has together with all keys that can't be
// told apart from them, or nil if there are none.
func (c *Containment) blamed(now time.Time, request Request) []uint64 {
	all := request.all()
	var blamed []uint64
	if slices.ContainsFunc(all, func(key uint64) bool { return c.heavy[key] != nil }) {
		blamed = c.blamedKeys(now)
	}
	for _, key := range all {
		if _, found := slices.BinarySearch(blamed, key); !found {
			continue
		}
		equals := c.equals(now, key)
		if !slices.ContainsFunc(equals, func(other uint64) bool { return !slices.Contains(all, other) }) {
			return equals
		}
	}
	return nil
}

// equals returns the keys that were in flight at the same crashes as a key, itself
// included, in ascending order.
func (c *Containment) equals(now time.Time, key uint64) []uint64 {
	r := c.records[key]
	until := c.settled(now, r)
	out := []uint64{key}
	for _, other := range c.companions(key) {
		o := c.lookup(now, other)
		if other != key && o != nil && o.includes(r, until) && r.includes(o, until) {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// companions returns the keys that have a strike for the first of a key's crashes that
// count. Keys that were in flight at all of them are among these.
func (c *Containment) companions(key uint64) []uint64 {
	first := c.records[key].first(func(s strike) bool { return s.counts })
	// Cloned, since looking up an expired record changes the original.
	return slices.Clone(c.struck[first])
}

// byStrikes returns the keys with strikes that count, those with the most first.
func (c *Containment) byStrikes(now time.Time) []uint64 {
	var keys []uint64
	for key := range c.records {
		if r := c.lookup(now, key); r != nil && r.strikes() > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint64) int {
		return cmp.Or(c.records[b].strikes()-c.records[a].strikes(), cmp.Compare(a, b))
	})
	return keys
}

// export returns the strikes of keys, in one message for each crash and one for each
// strike of a fingerprint.
func (c *Containment) export(now time.Time, keys []uint64, limit int) []*peerpb.Strike {
	var out []*peerpb.Strike
	open := make(map[uint64]*peerpb.Strike)
	for _, key := range keys {
		r := c.records[key]
		for crashID, s := range r.crashes {
			if !s.counts {
				continue
			}
			message := open[crashID]
			if !r.shared || message == nil || len(message.Keys) >= maxKeysPerStrike {
				if len(out) >= limit {
					continue
				}
				message = &peerpb.Strike{CrashId: crashID, AgeMs: uint32(max(now.Sub(s.at), 0).Milliseconds())}
				out = append(out, message)
			}
			if !r.shared {
				message.Fingerprint = key
				continue
			}
			open[crashID] = message
			message.Keys = append(message.Keys, key)
		}
	}
	return out
}
