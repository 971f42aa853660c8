package placement

import (
	"container/list"
	"slices"
)

// AffinityCache remembers where chats ran last, up to a number of chats; the chat
// that was quiet for longest is forgotten first. Callers connect to the same
// router for a chat, so each router remembers its own callers' chats. It is
// not safe for concurrent use.
type AffinityCache struct {
	limit   int
	order   *list.List
	entries map[uint64]*list.Element
}

// RecentUpstreams are the upstreams that ran a chat's turns: the last one, and the last
// one that differs from it; empty where there is none.
type RecentUpstreams struct {
	Last     string
	Previous string
}

// memoryEntry is the value of a list element.
type memoryEntry struct {
	key    uint64
	places RecentUpstreams
}

// NewAffinityCache returns an empty Memory for that many chats.
func NewAffinityCache(limit int) *AffinityCache {
	return &AffinityCache{limit: max(limit, 1), order: list.New(), entries: make(map[uint64]*list.Element)}
}

// Record records the upstream that runs a chat's turn; key is Request.Key.
func (m *AffinityCache) Record(key uint64, upstream string) {
	element, ok := m.entries[key]
	if !ok {
		m.entries[key] = m.order.PushFront(&memoryEntry{key: key, places: RecentUpstreams{Last: upstream}})
		m.forgetOldest()
		return
	}
	m.order.MoveToFront(element)
	entry := element.Value.(*memoryEntry)
	if entry.places.Last != upstream {
		entry.places = RecentUpstreams{Last: upstream, Previous: entry.places.Last}
	}
}

// Lookup returns where a chat ran; false when it isn't remembered.
func (m *AffinityCache) Lookup(key uint64) (RecentUpstreams, bool) {
	element, ok := m.entries[key]
	if !ok {
		return RecentUpstreams{}, false
	}
	return element.Value.(*memoryEntry).places, true
}

// Len returns the number of chats that are remembered.
func (m *AffinityCache) Len() int { return m.order.Len() }

func (m *AffinityCache) forgetOldest() {
	if m.order.Len() <= m.limit {
		return
	}
	oldest := m.order.Back()
	m.order.Remove(oldest)
	delete(m.entries, oldest.Value.(*memoryEntry).key)
}

// Promote moves the upstreams of a chat to the front of a rank, in place, the
// last one first. It returns how many of them are in the rank.
func (p RecentUpstreams) Promote(ranked []string) int {
	promoted := 0
	for _, name := range []string{p.Last, p.Previous} {
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
