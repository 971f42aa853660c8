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
	groups := c.strongest(now)
	for _, g := range groups {
		own := slices.DeleteFunc(slices.Clone(g.crashes), func(crashID uint64) bool {
			return explained[crashID] > len(g.crashes) || g.tiedAt(crashID, groups)
		})
		blamed := len(keys)
		for _, r := range g.records {
			if c.distinctOf(r, own) >= c.needed(r) {
				keys = append(keys, r.key)
			}
		}
		if len(keys) == blamed {
			continue
		}
		for _, crashID := range g.crashes {
			explained[crashID] = max(explained[crashID], len(g.crashes))
		}
	}
	slices.Sort(keys)
	return keys
}

// suspectGroup holds the keys with the strikes to be blamed for which the same crashes
// count, such as all parts of a long prompt.
type suspectGroup struct {
	shared  bool
	records []*record
	// crashes are the IDs of the crashes, in ascending order.
	crashes []uint64
}

// tiedAt reports whether another group with as many crashes, of which some are others,
// was in flight at a crash. Only shared keys are tied.
func (g *suspectGroup) tiedAt(crashID uint64, groups []*suspectGroup) bool {
	return g.shared && slices.ContainsFunc(groups, func(o *suspectGroup) bool {
		return len(o.crashes) == len(g.crashes) && slices.Contains(o.crashes, crashID) && !slices.Equal(o.crashes, g.crashes)
	})
}

// strongest returns the keys with the strikes to be blamed, those with the most first.
func (c *Containment) strongest(now time.Time) []*suspectGroup {
	type identity struct {
		shared bool
		hash   uint64
	}
	byCrashes := make(map[identity]*suspectGroup)
	var groups []*suspectGroup
	for key := range c.heavy {
		r := c.lookup(now, key)
		if r == nil || !c.enough(now, r) {
			continue
		}
		crashes := r.counting(c.settled(now, r))
		slices.Sort(crashes)
		id := identity{shared: r.shared, hash: hashOf(crashes)}
		g := byCrashes[id]
		if g == nil {
			g = &suspectGroup{shared: r.shared, crashes: crashes}
			byCrashes[id] = g
			groups = append(groups, g)
		}
		g.records = append(g.records, r)
	}
	slices.SortFunc(groups, func(a, b *suspectGroup) int { return len(b.crashes) - len(a.crashes) })
	return groups
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
	if !slices.ContainsFunc(all, func(key uint64) bool { return c.heavy[key] != nil }) {
		return nil
	}
	blamed := c.blamedKeys(now)
	sorted := slices.Sorted(slices.Values(all))
	has := func(key uint64) bool { _, found := slices.BinarySearch(sorted, key); return found }
	// partial are the keys that the request has without all those equal to them.
	partial := make(map[uint64]bool)
	for _, key := range all {
		if _, found := slices.BinarySearch(blamed, key); !found || partial[key] {
			continue
		}
		equals := c.equals(now, key)
		if !slices.ContainsFunc(equals, func(other uint64) bool { return !has(other) }) {
			return equals
		}
		for _, other := range equals {
			if c.records[other].shared == c.records[key].shared {
				partial[other] = true
			}
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
	s := c.struck[first]
	if s == nil {
		return nil
	}
	// Cloned, since looking up an expired record changes the original.
	return slices.Clone(s.keys)
}

// exportable returns those of some blamed keys whose strikes fit into a number of messages.
// Of keys that can't be told apart it returns all or none: a daemon that knew only some of
// them would refuse requests that have only those.
func (c *Containment) exportable(now time.Time, blamed []uint64, messages int) []uint64 {
	var sets [][]uint64
	seen := make(map[uint64]bool)
	for _, key := range blamed {
		if seen[key] {
			continue
		}
		var set []uint64
		for _, other := range c.equals(now, key) {
			if _, found := slices.BinarySearch(blamed, other); found && !seen[other] {
				seen[other], set = true, append(set, other)
			}
		}
		sets = append(sets, set)
	}
	size := func(set []uint64) int {
		return (len(set) + maxKeysPerMessage - 1) / maxKeysPerMessage * c.records[set[0]].strikes()
	}
	slices.SortFunc(sets, func(a, b []uint64) int { return cmp.Or(size(a)-size(b), cmp.Compare(a[0], b[0])) })
	var keys []uint64
	for _, set := range sets {
		if messages -= size(set); messages < 0 {
			break
		}
		keys = append(keys, set...)
	}
	return keys
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
			if !r.shared || message == nil || len(message.Keys) >= maxKeysPerMessage {
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
