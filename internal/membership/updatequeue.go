package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// transmitFactor times the base-2 logarithm of the number of routers is how many
// times a daemon sends each update.
const transmitFactor = 3

// updateKey identifies the host that an update is about.
type updateKey struct {
	host     string
	upstream bool
}

// queuedUpdate is an update with the number of times it was sent.
type queuedUpdate struct {
	update Update
	sent   int
}

// updateQueue holds the updates that this daemon still sends with its datagrams.
// A newer update about a host replaces the older one.
type updateQueue struct {
	items map[updateKey]*queuedUpdate
}

func newUpdateQueue() *updateQueue { return &updateQueue{items: make(map[updateKey]*queuedUpdate)} }

func (q *updateQueue) put(update Update) {
	q.items[updateKey{host: update.Host, upstream: update.Upstream}] = &queuedUpdate{update: update}
}

// take returns up to limit updates: updates about routers before updates about
// upstreams, and then the least often sent first. It counts them as sent, and
// removes those sent often enough for a fleet with the given number of routers.
func (q *updateQueue) take(limit, routers int) []Update {
	ordered := make([]*queuedUpdate, 0, len(q.items))
	for _, item := range q.items {
		ordered = append(ordered, item)
	}
	slices.SortFunc(ordered, compareUpdates)
	ordered = ordered[:min(limit, len(ordered))]
	out := make([]Update, 0, len(ordered))
	for _, item := range ordered {
		out = append(out, item.update)
		q.countSent(item, routers)
	}
	return out
}

func compareUpdates(a, b *queuedUpdate) int {
	if a.update.Upstream != b.update.Upstream {
		return cmp.Compare(kindRank(a.update), kindRank(b.update))
	}
	if a.sent != b.sent {
		return cmp.Compare(a.sent, b.sent)
	}
	return cmp.Compare(a.update.Host, b.update.Host)
}

// kindRank orders updates about routers before updates about upstreams, since a
// burst of updates about upstreams must not delay changes of ownership.
func kindRank(update Update) int {
	if update.Upstream {
		return 1
	}
	return 0
}

func (q *updateQueue) countSent(item *queuedUpdate, routers int) {
	item.sent++
	if item.sent >= transmitFactor*bits.Len(uint(routers)) {
		delete(q.items, updateKey{host: item.update.Host, upstream: item.update.Upstream})
	}
}
