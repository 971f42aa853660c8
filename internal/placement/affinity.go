package placement

import (
	"container/list"
	"slices"
)

// AffinityCache caches the upstreams that ran the latest turns of chats. When it
// is full, it evicts the chat whose last turn is the oldest. Callers connect to
// the same router for a chat, so each router caches only the chats of its own
// callers. It is not safe for concurrent use.
type AffinityCache struct {
	limit   int
	order   *list.List
	entries map[uint64]*list.Element
}

// RecentUpstreams holds the last upstream that ran a turn of a chat, and the last
// one before it that is different; empty if there is none.
type RecentUpstreams struct {
	Last     string
	Previous string
}

// affinityEntry is the value of an element of AffinityCache.order.
type affinityEntry struct {
	key    uint64
	recent RecentUpstreams
}

// NewAffinityCache returns an empty AffinityCache for up to limit chats.
func NewAffinityCache(limit int) *AffinityCache {
	return &AffinityCache{limit: max(limit, 1), order: list.New(), entries: make(map[uint64]*list.Element)}
}

// Record stores the upstream that runs a turn of a chat; key is Request.Key.
func (c *AffinityCache) Record(key uint64, upstream string) {
	element, ok := c.entries[key]
	if !ok {
		c.entries[key] = c.order.PushFront(&affinityEntry{key: key, recent: RecentUpstreams{Last: upstream}})
		c.evictOldest()
		return
	}
	c.order.MoveToFront(element)
	entry := element.Value.(*affinityEntry)
	if entry.recent.Last != upstream {
		entry.recent = RecentUpstreams{Last: upstream, Previous: entry.recent.Last}
	}
}

// Lookup returns the recent upstreams of a chat; false if it is not cached.
func (c *AffinityCache) Lookup(key uint64) (RecentUpstreams, bool) {
	element, ok := c.entries[key]
	if !ok {
		return RecentUpstreams{}, false
	}
	return element.Value.(*affinityEntry).recent, true
}

// Len returns the number of cached chats.
func (c *AffinityCache) Len() int { return c.order.Len() }

func (c *AffinityCache) evictOldest() {
	if c.order.Len() <= c.limit {
		return
	}
	oldest := c.order.Back()
	c.order.Remove(oldest)
	delete(c.entries, oldest.Value.(*affinityEntry).key)
}

// Promote moves the recent upstreams to the front of a ranking in place, the last
// one first. It returns how many of them are in the ranking.
func (r RecentUpstreams) Promote(ranked []string) int {
	promoted := 0
	for _, name := range []string{r.Last, r.Previous} {
		i := slices.Index(ranked, name)
		if i < promoted {
			continue
		}
		copy(ranked[promoted+1:i+1], ranked[promoted:i])
		ranked[promoted] = name
		promoted++
	}
	return promoted
}
