package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/hostport"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

const (
	// smallFleetSize is the largest fleet in which all routers may read the store
	// when they start together: their copies add up to some tens of megabytes.
	smallFleetSize = 64
	// firstReaderCount is the number of routers of a larger fleet that read the store
	// immediately, chosen by a hash of their addresses; the others get their copies
	// from these.
	firstReaderCount = 3
	// readerTimeout is how long the others wait for a copy before they read the store
	// themselves, since the first readers may be down. A random time up to
	// readerJitter is added, so that they don't all read at the same time.
	readerTimeout = 1500 * time.Millisecond
	readerJitter  = 3 * time.Second
	// discoveryTimeout bounds the listing of the routers' records.
	discoveryTimeout = 400 * time.Millisecond
	// readersKey is the hash key for the choice of the first readers.
	readersKey = "first readers"
)

// startState is a router's state before it has a copy of the records.
type startState struct {
	startedAt time.Time
	// discoveryDone is set once the listing of the routers' records has succeeded or
	// failed.
	discoveryDone bool
	firstReaders  []string
	fleetSize     int
	jitter        time.Duration
}

// routersDiscovered is the result of listing the routers' records.
type routersDiscovered struct {
	addresses []string
	err       error
}

// discoverRouters lists the routers' records in the store.
func (e *Edge) discoverRouters() {
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	entries, _, err := e.options.Store.List(ctx, e.options.Provider.RoutersPrefix())
	var addresses []string
	for _, entry := range entries {
		// The translation of the records names those that are left out.
		if address, err := hostport.Parse(string(entry.Value)); err == nil {
			addresses = append(addresses, address.String())
		}
	}
	e.post(routersDiscovered{addresses: addresses, err: err})
}

func (r routersDiscovered) apply(c *control, now time.Time) {
	s := &c.start
	s.discoveryDone = true
	if r.err != nil {
		c.edge.options.Log.Failure("router discovery failed", r.err, nil)
	}
	self := c.edge.options.Settings.PeerAddress
	addresses := slices.DeleteFunc(r.addresses, func(a string) bool { return a == self })
	if c.mirror.Revision() == 0 {
		c.discovered = addresses
		c.updateListedRouters()
	}
	s.fleetSize = len(addresses) + 1
	s.firstReaders = placement.OwnersInOrder(readersKey, append(addresses, self), firstReaderCount)
	c.edge.options.Log.Decision("router discovery finished", decisionlog.Fields{
		"routers": s.fleetSize, "reads_store": c.mayReadStore(now), "first_readers": s.firstReaders,
	})
	c.decideFollow(now)
	c.notifyFirstReaders(now)
}

// mayReadStore reports whether this router may read the records from the store. If
// all routers of a large fleet started together and each read a copy, the store
// would be blocked for a long time.
func (c *control) mayReadStore(now time.Time) bool {
	switch {
	case c.mirror.Revision() > 0:
		return true
	case !c.start.discoveryDone:
		return false
	default:
		return c.readsAtOnce() || c.waitedForReaders(now)
	}
}

// mayFollow reports whether this router may start to follow the store. One that got its
// copy from another router has yet to hear which routers follow.
func (c *control) mayFollow(now time.Time) bool {
	return c.mayReadStore(now) && (c.readsAtOnce() || c.waitedForReaders(now))
}

// readsAtOnce reports whether this router reads the records from the store as soon as
// it has started.
func (c *control) readsAtOnce() bool {
	settings := &c.edge.options.Settings
	if settings.waitsForSeeds() {
		return false
	}
	return c.start.fleetSize <= smallFleetSize || slices.Contains(c.start.firstReaders, settings.PeerAddress)
}

// waitedForReaders reports whether the routers that read at once had their time.
func (c *control) waitedForReaders(now time.Time) bool {
	return now.Sub(c.start.startedAt) >= readerTimeout+c.start.jitter
}

// notifyFirstReaders tells the first readers that this router has no copy yet. They
// reply once they have one.
func (c *control) notifyFirstReaders(now time.Time) {
	if c.mirror.Revision() > 0 || c.start.fleetSize <= smallFleetSize {
		return
	}
	self := c.edge.options.Settings.PeerAddress
	c.send(now, slices.DeleteFunc(slices.Clone(c.start.firstReaders), func(a string) bool { return a == self }))
}

// waitsForSeeds reports whether a router gets its first copy from the seeds. When the
// whole system starts for the first time, the store has no record of any router yet, so
// that none can tell how large the fleet is.
func (s *Settings) waitsForSeeds() bool { return s.FirstStart && !s.IsSeed && len(s.Seeds) > 0 }

// newStartState returns the state of a router that starts now. One that waits for the
// seeds has no use for the list of routers.
func newStartState(now time.Time, s *Settings) startState {
	return startState{startedAt: now, jitter: rand.N(readerJitter), discoveryDone: s.waitsForSeeds()}
}
