package edge

import (
	"context"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
)

const (
	// followers is the number of routers that follow the store; they pass
	// changes on. Each call of the store is paid for, and one may fail.
	followers = 2
	// unfollowAfter is how long enough others that go first must follow before a
	// router stops: two rounds, in which one that fell silent is noticed.
	unfollowAfter = 500 * time.Millisecond
)

// followState is this router's part in following the store.
type followState struct {
	// stop ends the follower, nil while there is none.
	stop context.CancelFunc
	up   bool
	lost bool
	// spareSince is when enough others were first seen to follow.
	spareSince time.Time
	// unconfirmed is set while the records were not confirmed for long.
	unconfirmed bool
}

// healthy reports whether this router follows the store and reaches it.
func (f *followState) healthy() bool { return f.stop != nil && f.up }

// decideFollow starts or stops to follow the store.
func (c *control) decideFollow(now time.Time) {
	others, before := c.roster.Followers()
	f := &c.follow
	switch {
	case f.stop == nil && others < followers && c.mayRead(now):
		c.startFollowing(others)
	case f.stop != nil && before >= followers:
		if f.spareSince.IsZero() {
			f.spareSince = now
		}
		if now.Sub(f.spareSince) >= unfollowAfter {
			c.stopFollowing(others)
		}
	default:
		f.spareSince = time.Time{}
	}
}

func (c *control) startFollowing(others int) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.follow.stop, c.follow.up = cancel, false
	c.edge.options.Log.Decision("store followed", decisionlog.Fields{"others": others, "revision": c.mirror.Revision()})
	follower := &mirror.Follower{
		Store:   c.edge.options.Store,
		Deliver: func(u mirror.Update) { c.edge.deliver(ctx, storeUpdate{update: u}) },
	}
	go follower.Run(ctx, c.edge.resync)
}

func (c *control) stopFollowing(others int) {
	c.follow.stop()
	c.follow = followState{unconfirmed: c.follow.unconfirmed}
	c.edge.outage.Store(false)
	c.edge.options.Log.Decision("store left to others", decisionlog.Fields{"others": others, "revision": c.mirror.Revision()})
}

// storeLost takes a failed call of the store.
func (c *control) storeLost(now time.Time, err error) {
	f := &c.follow
	if f.stop == nil {
		c.edge.options.Log.Detail("store not reached", decisionlog.Fields{"error": err.Error()})
		return
	}
	if f.lost {
		return
	}
	f.up, f.lost = false, true
	c.edge.outage.Store(true)
	c.edge.options.Log.Failure("store lost", err, decisionlog.Fields{"revision": c.mirror.Revision()})
	// Another router may take over.
	c.send(now, c.roster.Targets())
}

// storeBack takes an answer of the store.
func (c *control) storeBack() {
	f := &c.follow
	if f.stop == nil || f.up {
		return
	}
	if f.lost {
		c.edge.options.Log.Lifecycle("store regained", decisionlog.Fields{"revision": c.mirror.Revision()})
	}
	f.up, f.lost = true, false
	c.edge.outage.Store(false)
}

// keptBack makes the follower read everything again: its watch keeps changes
// back, or its connection has gone silent.
func (c *control) keptBack(now time.Time) {
	if !c.follow.healthy() {
		return
	}
	c.records.freshness.MarkWatchUnreliable(now)
	c.edge.options.Log.Decision("watch is behind", decisionlog.Fields{
		"revision": c.mirror.Revision(), "known": c.known(), "behind_ms": now.Sub(c.records.behindSince).Milliseconds(),
	})
	select {
	case c.edge.resync <- struct{}{}:
	default:
	}
}
