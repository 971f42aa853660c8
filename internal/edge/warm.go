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

// Held is a part of a prompt in an instance's cache.
type Held struct {
	Model string
	Part  string
}

// Inventory asks instances what they hold.
type Inventory interface {
	// Held returns the parts in the cache of the instance at an address.
	Held(ctx context.Context, address string) ([]Held, error)
}

const (
	// inventoryDelay is how long a started router waits for another one's word
	// on what instances hold, which costs less than theirs: one round.
	inventoryDelay = peering.RoundInterval
	// inventoryTimeout bounds one instance's answer.
	inventoryTimeout = time.Second
	// heldPerDatagram keeps what instances hold within a datagram.
	heldPerDatagram = 80
)

// warmState is how a started router learns what instances hold.
type warmState struct {
	// done is set once that is known, or nothing can be held.
	done    bool
	asking  bool
	readyAt time.Time
}

// askHeld asks the first router that is heard what instances hold.
func (c *control) askHeld(from peering.Router) {
	if c.warm.done || c.warm.asking || !from.Accepting {
		return
	}
	c.warm.asking = true
	go c.edge.fetch(from, &peerpb.StateRequest{HaveRevision: c.mirror.Revision(), WithHeld: true})
}

// hearHeldAll takes another router's word on what all instances hold.
func (c *control) hearHeldAll(from string, held []*peerpb.HeldPart) {
	c.warm.asking = false
	if len(held) == 0 {
		return
	}
	c.warm.done = true
	c.edge.balancer.HearHeld(held)
	c.edge.options.Log.Decision("holdings heard", decisionlog.Fields{"router": from, "parts": len(held)})
}

// warmUp asks the instances themselves what they hold, when no other router
// knows. At the first start of the whole system they hold nothing.
func (c *control) warmUp(now time.Time) {
	if c.warm.done || c.edge.options.Settings.FirstStart || !c.edge.Ready() {
		return
	}
	if c.warm.readyAt.IsZero() {
		c.warm.readyAt = now
	}
	if now.Sub(c.warm.readyAt) < inventoryDelay || c.warm.asking {
		return
	}
	c.warm.done = true
	names := []string{c.edge.options.Settings.Name}
	for _, r := range c.roster.Live() {
		names = append(names, r.Name)
	}
	slices.Sort(names)
	for _, i := range c.edge.balancer.UnknownHoldings(c.edge.table.Load().ModelServices()) {
		if owner, _ := placement.Owner(i.ID, names); owner == c.edge.options.Settings.Name {
			go c.edge.takeInventory(i)
		}
	}
}

type inventoryTaken struct {
	instance instances.Instance
	parts    []uint64
	err      error
}

func (e *Edge) takeInventory(i instances.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), inventoryTimeout)
	defer cancel()
	held, err := e.options.Inventory.Held(ctx, i.Address)
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
	c.edge.balancer.NoteHeld(t.instance.ID, t.parts)
	everyone := c.roster.Everyone()
	for chunk := range slices.Chunk(t.parts, heldPerDatagram) {
		state := &peerpb.StateResponse{Revision: c.mirror.Revision(), FromRevision: c.mirror.Revision()}
		for _, part := range chunk {
			state.Held = append(state.Held, &peerpb.HeldPart{Instance: loadshare.Hash(t.instance.ID), Part: part})
		}
		c.edge.link.SendState(everyone, state)
	}
}
