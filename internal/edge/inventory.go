package edge

import (
	"context"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// CachedPart is a part of a prompt in an instance's cache.
type CachedPart struct {
	Model string
	Part  string
}

// Inventory asks instances what they hold.
type Inventory interface {
	// CachedParts returns the parts in the cache of the instance at an address.
	CachedParts(ctx context.Context, address string) ([]CachedPart, error)
}

const (
	// inventoryDelay is how long a started router waits for another one's word
	// on what instances hold, which costs less than theirs: some round trips.
	inventoryDelay = 60 * time.Millisecond
	// inventorySpread is the time in which routers that start together have
	// asked their instances and told each other.
	inventorySpread = time.Second
	// inventoryTimeout bounds one instance's answer.
	inventoryTimeout = time.Second
	// heldPerDatagram keeps what instances hold within a datagram.
	heldPerDatagram = 80
)

// warmState is how a started router learns what instances hold.
type warmState struct {
	// complete is set once that is known: from the first start on, from a router
	// that knows, or from the instances.
	complete bool
	// asking is set while a router is asked.
	asking bool
	// asked is when this router asked its share of the instances.
	asked time.Time
	timer *time.Timer
}

// askHeld asks the first router that is heard what instances hold.
func (c *control) askHeld(from peering.Router) {
	if c.warm.complete || c.warm.asking || !from.Accepting || !c.warm.asked.IsZero() {
		return
	}
	c.warm.asking = true
	go c.edge.fetch(from, &peerpb.StateRequest{HaveRevision: c.mirror.Revision(), WithHeld: true})
}

// hearHeldAll takes another router's word on what all instances hold.
func (c *control) hearHeldAll(from string, s *peerpb.StateResponse) {
	if len(s.GetHeld()) == 0 && !s.GetHeldComplete() {
		return
	}
	c.warm.complete = c.warm.complete || s.GetHeldComplete()
	c.edge.balancer.ApplyCachedParts(s.GetHeld())
	c.edge.options.Log.Decision("holdings heard", decisionlog.Fields{
		"router": from, "parts": len(s.GetHeld()), "complete": s.GetHeldComplete(),
	})
}

// warmUp has the instances asked after a while, unless another router knows.
func (c *control) warmUp(now time.Time) {
	w := &c.warm
	switch {
	case w.complete:
	case !w.asked.IsZero():
		w.complete = now.Sub(w.asked) >= inventorySpread
	case w.timer == nil && c.edge.Ready():
		w.timer = time.AfterFunc(inventoryDelay, func() { c.edge.post(inventoryDue{}) })
	}
}

type inventoryDue struct{}

// apply asks the instances what they hold. Routers that start together share
// them.
func (inventoryDue) apply(c *control, now time.Time) {
	if c.warm.complete || !c.edge.Ready() {
		return
	}
	c.warm.asked = now
	for _, i := range c.ownShare(c.edge.balancer.Instances(c.edge.table.Load().ModelServices())) {
		go c.edge.takeInventory(i)
	}
}

// ownShare returns the instances that this router asks, among all routers that
// have a record: of those that start together, few have been heard yet.
func (c *control) ownShare(all []instances.Instance) []instances.Instance {
	self := c.edge.options.Settings.PeerAddress
	sharers := append([]string{self}, c.found...)
	return slices.DeleteFunc(all, func(i instances.Instance) bool {
		owner, _ := placement.Owner(i.ID, sharers)
		return owner != self
	})
}

type inventoryTaken struct {
	instance instances.Instance
	parts    []uint64
	err      error
}

func (e *Edge) takeInventory(i instances.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), inventoryTimeout)
	defer cancel()
	held, err := e.options.Inventory.CachedParts(ctx, i.Address)
	parts := make([]uint64, 0, len(held))
	for _, h := range held {
		parts = append(parts, placement.PartHash(h.Model, h.Part))
	}
	e.post(inventoryTaken{instance: i, parts: parts, err: err})
}

func (t inventoryTaken) apply(c *control, _ time.Time) {
	if t.err != nil {
		c.edge.options.Log.Failure("holdings not told", t.err, decisionlog.Fields{"instance": t.instance.ID})
		return
	}
	c.edge.options.Log.Decision("holdings told", decisionlog.Fields{"instance": t.instance.ID, "parts": len(t.parts)})
	c.edge.balancer.RecordCachedParts(t.instance.ID, t.parts)
	everyone := c.roster.PeerAddresses()
	for chunk := range slices.Chunk(t.parts, heldPerDatagram) {
		state := &peerpb.StateResponse{Revision: c.mirror.Revision(), FromRevision: c.mirror.Revision()}
		for _, part := range chunk {
			state.Held = append(state.Held, &peerpb.HeldPart{Instance: loadshare.Hash(t.instance.ID), Part: part})
		}
		c.edge.link.SendState(everyone, state)
	}
}
