package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// transmitFactor times the logarithm of the fleet's size is how often a router
// passes on one piece of news.
const transmitFactor = 3

// newsKey identifies what a piece of news is about.
type newsKey struct {
	host     string
	upstream bool
}

// queuedNews is news with the number of times it was sent.
type queuedNews struct {
	news Update
	sent int
}

// newsQueue holds the news that a router still passes on. Newer news about a
// host replaces older.
type newsQueue struct {
	items map[newsKey]*queuedNews
}

func newNewsQueue() *newsQueue { return &newsQueue{items: make(map[newsKey]*queuedNews)} }

func (q *newsQueue) put(n Update) {
	q.items[newsKey{host: n.Host, upstream: n.Upstream}] = &queuedNews{news: n}
}

// take returns up to limit pieces of news, those about routers before those
// about upstreams and then those sent least often, and counts them as sent in
// a fleet of that many routers.
func (q *newsQueue) take(limit, routers int) []Update {
	ordered := make([]*queuedNews, 0, len(q.items))
	for _, item := range q.items {
		ordered = append(ordered, item)
	}
	slices.SortFunc(ordered, compareNews)
	ordered = ordered[:min(limit, len(ordered))]
	out := make([]Update, 0, len(ordered))
	for _, item := range ordered {
		out = append(out, item.news)
		q.countSent(item, routers)
	}
	return out
}

func compareNews(a, b *queuedNews) int {
	if a.news.Upstream != b.news.Upstream {
		return cmp.Compare(kindRank(a.news), kindRank(b.news))
	}
	if a.sent != b.sent {
		return cmp.Compare(a.sent, b.sent)
	}
	return cmp.Compare(a.news.Host, b.news.Host)
}

// kindRank orders news about routers before news about upstreams, since a
// storm of the latter must not delay a change of ownership.
func kindRank(n Update) int {
	if n.Upstream {
		return 1
	}
	return 0
}

func (q *newsQueue) countSent(item *queuedNews, routers int) {
	item.sent++
	if item.sent >= transmitFactor*bits.Len(uint(routers)) {
		delete(q.items, newsKey{host: item.news.Host, upstream: item.news.Upstream})
	}
}
