package edge

import (
	"context"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
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
	case f.stop == nil && others < followers:
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

// confirmedWithin is the age from which on records count as unconfirmed: two
// questions to the store in a row had no answer.
const confirmedWithin = 2 * time.Second

// noteAge tells the balancer when nothing has confirmed the records for long:
// entries that are missing afterwards may have lapsed with the store.
func (c *control) noteAge(now time.Time) {
	age := c.records.freshness.Age(now)
	if !c.records.freshness.Known() || c.follow.unconfirmed || age < confirmedWithin {
		return
	}
	c.follow.unconfirmed = true
	c.edge.balancer.ListingLost(now.Add(-age))
	c.edge.options.Log.Lifecycle("records unconfirmed", decisionlog.Fields{
		"revision": c.mirror.Revision(), "confirmed_age_ms": age.Milliseconds(),
	})
}

// noteConfirmed ends what noteAge began. It comes before the records that are
// the confirmation.
func (c *control) noteConfirmed(now time.Time) {
	c.noteAge(now)
	if !c.follow.unconfirmed {
		return
	}
	c.follow.unconfirmed = false
	c.edge.balancer.ListingBack()
	c.edge.options.Log.Lifecycle("records confirmed again", decisionlog.Fields{
		"revision": c.mirror.Revision(), "confirmed_age_ms": c.records.freshness.Age(now).Milliseconds(),
	})
}

func (c *control) storeLost(now time.Time, err error) {
	f := &c.follow
	if f.lost {
		return
	}
	f.up, f.lost = false, true
	c.edge.outage.Store(true)
	c.edge.options.Log.Failure("store lost", err, decisionlog.Fields{"revision": c.mirror.Revision()})
	// Another router may take over.
	c.send(now, c.roster.Targets())
}

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
func (c *control) keptBack(now time.Time, known int64) {
	if !c.follow.healthy() {
		return
	}
	c.records.freshness.KeptBack(now)
	c.edge.options.Log.Decision("watch is behind", decisionlog.Fields{
		"revision": c.mirror.Revision(), "known": known, "behind_ms": now.Sub(c.records.behindSince).Milliseconds(),
	})
	select {
	case c.edge.resync <- struct{}{}:
	default:
	}
}

// hearConfirmation takes another router's word that a copy was complete.
func (c *control) hearConfirmation(now time.Time, r peering.Received) {
	if r.Router.StateRevision > c.mirror.Revision() {
		return
	}
	c.confirmed(now, now.Add(-time.Duration(r.Digest.GetConfirmedAgeMs())*time.Millisecond))
}

// confirmed notes that the copy was complete at a moment.
func (c *control) confirmed(now, at time.Time) {
	if now.Sub(at) < confirmedWithin {
		c.noteConfirmed(now)
	}
	c.records.freshness.Confirmed(at)
}
