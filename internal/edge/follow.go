package edge

import (
	"context"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/boottime"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
)

const (
	// wantedFollowers is the number of routers that follow the store and push its
	// changes to the others. Calls to the store are billed, and one follower may
	// fail.
	wantedFollowers = 2
	// unfollowDelay is how long enough routers of higher precedence must follow the
	// store before this one stops: two rounds, in which one that has become silent
	// is detected.
	unfollowDelay = 500 * time.Millisecond
	// standbyPace is how often the follower that doesn't have precedence takes changes
	// from its watch. The other one pushes them at once; if it fails, a new
	// configuration is still in force well within two seconds.
	standbyPace = 600 * time.Millisecond
	// settleTime is how long after its start a follower paces its watch as one that
	// stands by: most of those that start together turn out to be redundant.
	settleTime = unfollowDelay + peering.RoundInterval
)

// followState is this router's state as a follower of the store.
type followState struct {
	// stop ends the follower; nil while there is none.
	stop context.CancelFunc
	// connected is set while the store responds, lost while it doesn't. Neither is set
	// before the first response or error.
	connected bool
	lost      bool
	// redundantSince is when enough routers of higher precedence were first seen to
	// follow.
	redundantSince time.Time
	// unconfirmed is set while the last confirmation of the records is older than
	// maxConfirmedAge.
	unconfirmed bool
}

// healthy reports whether this router follows the store and can reach it.
func (f *followState) healthy() bool { return f.stop != nil && f.connected }

// decideFollow starts or stops following the store, depending on how many other
// routers follow it.
func (c *control) decideFollow(now time.Time) {
	others, before := c.members.Followers(kv.EraOf(c.mirror.Revision()))
	c.edge.standby.Store(before > 0)
	f := &c.follow
	switch {
	case f.stop == nil && others < wantedFollowers && c.mayFollow(now):
		c.startFollowing(others)
	case f.stop != nil && before >= wantedFollowers:
		if f.redundantSince.IsZero() {
			f.redundantSince = now
		}
		if now.Sub(f.redundantSince) >= unfollowDelay {
			c.stopFollowing(others)
		}
	default:
		f.redundantSince = time.Time{}
	}
}

func (c *control) startFollowing(others int) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.follow.stop, c.follow.connected = cancel, false
	started := time.Now()
	c.edge.followsSince.Store(&started)
	c.edge.options.Log.Decision("store follower started", decisionlog.Fields{"others": others, "revision": kv.RawRevision(c.mirror.Revision())})
	follower := &mirror.Follower{
		Store:   c.edge.options.Store,
		Skip:    c.edge.isStreamRecord,
		Deliver: func(u mirror.Update) { c.edge.deliver(ctx, storeUpdate{update: u}) },
		Pace:    c.edge.followerPace,
		Now:     boottime.Now,
	}
	go follower.Run(ctx, c.edge.resync)
}

// followerPace returns the pause of this router's follower between two changes. One
// that has just started is about to learn whether others follow.
func (e *Edge) followerPace() time.Duration {
	since := e.followsSince.Load()
	if e.standby.Load() || since != nil && time.Since(*since) < settleTime {
		return standbyPace
	}
	return 0
}

func (c *control) stopFollowing(others int) {
	c.follow.stop()
	c.follow = followState{unconfirmed: c.follow.unconfirmed}
	c.edge.outage.Store(false)
	c.edge.options.Log.Decision("redundant store follower stopped", decisionlog.Fields{"others": others, "revision": kv.RawRevision(c.mirror.Revision())})
}

// storeUnavailable handles a failed call to the store.
func (c *control) storeUnavailable(now time.Time, err error) {
	f := &c.follow
	if f.stop == nil {
		c.edge.options.Log.Detail("store unreachable", decisionlog.Fields{"error": err.Error()})
		return
	}
	if f.lost {
		return
	}
	f.connected, f.lost = false, true
	c.edge.outage.Store(true)
	c.edge.options.Log.Failure("store unavailable", err, decisionlog.Fields{"revision": kv.RawRevision(c.mirror.Revision())})
	// Lets another router take over.
	c.send(now, c.members.Targets())
}

// storeRestored handles a response from the store.
func (c *control) storeRestored() {
	f := &c.follow
	if f.stop == nil || f.connected {
		return
	}
	if f.lost {
		c.edge.options.Log.Lifecycle("store available again", decisionlog.Fields{"revision": kv.RawRevision(c.mirror.Revision())})
	}
	f.connected, f.lost = true, false
	c.edge.outage.Store(false)
}

// resyncWatch makes the follower list all records again: its watch withholds
// changes, or its connection no longer responds.
func (c *control) resyncWatch(now time.Time) {
	if !c.follow.healthy() {
		return
	}
	c.records.freshness.MarkWatchUnreliable(now)
	c.edge.options.Log.Decision("store watch behind, listing records again", decisionlog.Fields{
		"revision": kv.RawRevision(c.mirror.Revision()), "known": kv.RawRevision(c.requiredRevision()), "behind_ms": now.Sub(c.records.behindSince).Milliseconds(),
	})
	select {
	case c.edge.resync <- struct{}{}:
	default:
	}
}
