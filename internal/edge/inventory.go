package edge

import (
	"context"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// CachedPart is a part of a prompt in an instance's prefix cache.
type CachedPart struct {
	Model string
	Part  string
}

// CacheList is an instance's response to a query of its prefix cache.
type CacheList struct {
	Parts []CachedPart
	// Leaving is set if the instance says that it leaves, also with an error.
	Leaving bool
}

// Inventory lists the contents of instances' prefix caches.
type Inventory interface {
	// CachedParts returns the prompt parts cached by the instance at an address.
	CachedParts(ctx context.Context, address string) (CacheList, error)
}

const (
	// inventoryDelay is how long a starting router waits for another router's list of
	// cached parts, which costs less than queries of the instances: some round trips.
	inventoryDelay = 60 * time.Millisecond
	// inventoryExchangeTime is the time in which routers that start together have
	// queried their instances and sent each other the results.
	inventoryExchangeTime = time.Second
	// inventoryTimeout bounds the query of one instance.
	inventoryTimeout = time.Second
	// cachedPartsPerDatagram limits the cached parts in a message so that it fits in
	// one datagram.
	cachedPartsPerDatagram = 80
)

// inventoryState tracks how a starting router learns which prompt parts instances
// have cached.
type inventoryState struct {
	// complete is set once all cached parts are known: at the first start of the
	// system, from a router with a complete list, or from the instances.
	complete bool
	// fetching is set while another router's list is being fetched.
	fetching bool
	// askedAt is when this router queried its share of the instances.
	askedAt time.Time
	timer   *time.Timer
}

// fetchCachedParts fetches the cached parts of all instances from the first live
// router that accepts calls.
func (c *control) fetchCachedParts(from peering.Router) {
	if c.inventory.complete || c.inventory.fetching || !from.Accepting || !c.inventory.askedAt.IsZero() {
		return
	}
	c.inventory.fetching = true
	request := c.stateRequest()
	request.WithHeld = true
	go c.edge.fetch(from, request)
}

// applyCachedParts applies another router's list of the cached parts of all
// instances.
func (c *control) applyCachedParts(from string, s *peerpb.StateResponse) {
	if len(s.GetHeld()) == 0 && !s.GetHeldComplete() {
		return
	}
	c.inventory.complete = c.inventory.complete || s.GetHeldComplete()
	c.edge.balancer.ApplyCachedParts(s.GetHeld())
	c.edge.options.Log.Decision("cache inventory received from router", decisionlog.Fields{
		"router": from, "parts": len(s.GetHeld()), "complete": s.GetHeldComplete(),
	})
}

// scheduleInventory schedules the query of the instances, unless all cached parts
// are known.
func (c *control) scheduleInventory(now time.Time) {
	s := &c.inventory
	switch {
	case s.complete:
	case !s.askedAt.IsZero():
		s.complete = now.Sub(s.askedAt) >= inventoryExchangeTime
	case s.timer == nil && c.edge.Ready():
		s.timer = time.AfterFunc(inventoryDelay, func() { c.edge.post(inventoryDue{}) })
	}
}

type inventoryDue struct{}

// apply queries the instances' cached parts. Routers that start together divide the
// instances among them.
func (inventoryDue) apply(c *control, now time.Time) {
	if c.inventory.complete || !c.edge.Ready() {
		return
	}
	c.inventory.askedAt = now
	for _, i := range c.assignedInstances(c.edge.balancer.Instances(c.edge.table.Load().ModelServices())) {
		go c.edge.queryInventory(i)
	}
}

// assignedInstances returns this router's share of the instances. They are divided
// among all routers that have a record, since few of those that start together
// have been heard yet.
func (c *control) assignedInstances(all []instances.Instance) []instances.Instance {
	self := c.edge.options.Settings.PeerAddress
	routers := append([]string{self}, c.discovered...)
	return slices.DeleteFunc(all, func(i instances.Instance) bool {
		owner, _ := placement.Owner(i.ID, routers)
		return owner != self
	})
}

type inventoryResult struct {
	instance instances.Instance
	parts    []uint64
	err      error
}

func (e *Edge) queryInventory(i instances.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), inventoryTimeout)
	defer cancel()
	cached, err := e.options.Inventory.CachedParts(ctx, i.Address)
	if cached.Leaving {
		e.balancer.RecordLeaving(i.ID)
	}
	parts := make([]uint64, 0, len(cached.Parts))
	for _, p := range cached.Parts {
		parts = append(parts, placement.PartHash(p.Model, p.Part))
	}
	e.post(inventoryResult{instance: i, parts: parts, err: err})
}

func (r inventoryResult) apply(c *control, _ time.Time) {
	if r.err != nil {
		c.edge.options.Log.Failure("cache inventory failed", r.err, decisionlog.Fields{"instance": r.instance.ID})
		return
	}
	c.edge.options.Log.Decision("cache inventory received from instance", decisionlog.Fields{"instance": r.instance.ID, "parts": len(r.parts)})
	c.edge.balancer.RecordCachedParts(r.instance.ID, r.parts)
	peers := c.members.PeerAddresses()
	for chunk := range slices.Chunk(r.parts, cachedPartsPerDatagram) {
		state := deltaToProto(mirror.Delta{Revision: c.mirror.Revision(), FromRevision: c.mirror.Revision()})
		for _, part := range chunk {
			state.Held = append(state.Held, &peerpb.HeldPart{Instance: loadshare.Hash(r.instance.ID), Part: part})
		}
		c.edge.link.SendState(peers, state)
	}
}
