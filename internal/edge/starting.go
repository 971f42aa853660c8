package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

const (
	// smallFleet is the number of routers up to which all may read the store when
	// they start together: their copies come to some tens of megabytes.
	smallFleet = 64
	// firstReaders is the number of routers of a larger fleet that read the store
	// at once, chosen by their addresses; the others get their copies from these.
	firstReaders = 3
	// readerPatience and readerJitter are how long the others wait for that: the
	// first readers may be down. The jitter keeps them from reading together.
	readerPatience = 1500 * time.Millisecond
	readerJitter   = 3 * time.Second
	// findTimeout bounds the question which routers there are.
	findTimeout = 400 * time.Millisecond
	// readersKey is hashed to choose the first readers.
	readersKey = "first readers"
)

// startState is what a router knows before it has a copy of the records.
type startState struct {
	began time.Time
	// found is set once the store has answered which routers there are, or failed
	// to.
	found   bool
	readers []string
	routers int
	jitter  time.Duration
}

// routersFound is the store's answer to the question which routers there are.
type routersFound struct {
	addresses []string
	err       error
}

// findRouters asks the store which routers there are.
func (e *Edge) findRouters() {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	entries, _, err := e.options.Store.List(ctx, e.options.Provider.RoutersPrefix())
	var addresses []string
	for _, entry := range entries {
		addresses = append(addresses, string(entry.Value))
	}
	e.post(routersFound{addresses: addresses, err: err})
}

func (r routersFound) apply(c *control, now time.Time) {
	s := &c.start
	s.found = true
	if r.err != nil {
		c.edge.options.Log.Failure("routers not found", r.err, nil)
	}
	self := c.edge.options.Settings.PeerAddress
	addresses := slices.DeleteFunc(r.addresses, func(a string) bool { return a == self })
	if c.mirror.Revision() == 0 {
		c.found = addresses
		c.listRouters()
	}
	s.routers = len(addresses) + 1
	s.readers = placement.OwnersInOrder(readersKey, append(addresses, self), firstReaders)
	c.edge.options.Log.Decision("routers found", decisionlog.Fields{
		"routers": s.routers, "reads_store": c.mayRead(now), "first_readers": s.readers,
	})
	c.decideFollow(now)
	c.tellReaders(now)
}

// mayRead reports whether this router may read the records from the store. In a
// large fleet that starts at once, the copies of all would hold up the store for
// long.
func (c *control) mayRead(now time.Time) bool {
	s := &c.start
	switch {
	case c.mirror.Revision() > 0:
		return true
	case !s.found:
		return false
	case s.routers <= smallFleet || slices.Contains(s.readers, c.edge.options.Settings.PeerAddress):
		return true
	default:
		return now.Sub(s.began) >= readerPatience+s.jitter
	}
}

// tellReaders tells the first readers that this router has no copy yet; they
// answer once they have one.
func (c *control) tellReaders(now time.Time) {
	if c.mirror.Revision() > 0 || c.start.routers <= smallFleet {
		return
	}
	self := c.edge.options.Settings.PeerAddress
	c.send(now, slices.DeleteFunc(slices.Clone(c.start.readers), func(a string) bool { return a == self }))
}

func newStartState(now time.Time) startState {
	return startState{began: now, jitter: rand.N(readerJitter)}
}
