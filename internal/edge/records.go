package edge

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

const (
	// behindPatience is how long the store's own watch may take to bring what
	// another router has already: a few answers of the store.
	behindPatience = 150 * time.Millisecond
	// strangerPatience is the same for a router that doesn't follow the store:
	// those that do push changes, and a round of digests tells that a copy lacks
	// nothing.
	strangerPatience = 300 * time.Millisecond
	// fetchPause is the least time between two fetches of a copy.
	fetchPause = 300 * time.Millisecond
	// elsewherePause is the same after a router that was busy or failed.
	elsewherePause = 50 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 2 * time.Second
)

// recordsState is what is known of how current the copy of the records is.
type recordsState struct {
	freshness mirror.Freshness
	// store is what the store said last of its revision.
	store storeRevision
	// fetching is set while another router is asked, nextFetch is the earliest
	// time for the next one.
	fetching  bool
	nextFetch time.Time
	// behindSince is when the copy was first seen to be behind at behindAt, its
	// present revision.
	behindSince time.Time
	behindAt    int64
	// passedOver are routers that were busy or failed since a fetch succeeded.
	passedOver []string
	problems   []string
}

// storeRevision is a revision of the store and when the store was asked for it.
type storeRevision struct {
	revision int64
	asked    time.Time
}

type storeUpdate struct{ update mirror.Update }

func (s storeUpdate) apply(c *control, now time.Time) {
	u := s.update
	if u.Err != nil {
		c.storeLost(now, u.Err)
		return
	}
	c.storeBack()
	before := c.mirror.ChangedRevision()
	changed := false
	if u.Full {
		c.confirmed(now, now)
		changed = c.mirror.Replace(u.Entries, u.Revision)
	} else {
		changed = c.mirror.Apply(u.Events, u.Revision)
	}
	c.advanced(now)
	if changed {
		c.noteConfirmed(now)
		c.publish(now)
		c.passOn(now, before)
	}
}

// passOn tells the other routers what has changed since an earlier change. A
// copy that had that one lacks nothing else, whatever its revision.
func (c *control) passOn(now time.Time, before int64) {
	delta, ok := c.mirror.Since(before)
	if !ok {
		return
	}
	if delta.Full || !c.edge.link.SendState(c.roster.PeerAddresses(), deltaToProto(delta)) {
		c.announce(now)
	}
}

// announce has other routers fetch what has changed: some of them, which
// announce it in turn.
func (c *control) announce(now time.Time) {
	d := c.digest(now)
	d.FetchNow = true
	c.edge.link.SendDigest(c.roster.Targets(), d, nil)
}

type stateFetched struct {
	from     string
	response *peerpb.StateResponse
	err      error
}

// catchUp fetches what the copy lacks from another router, when the store does
// not bring it.
func (c *control) catchUp(now time.Time) {
	r := &c.records
	if c.known() <= c.mirror.Revision() {
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() || r.behindAt != c.mirror.Revision() {
		r.behindSince, r.behindAt = now, c.mirror.Revision()
	}
	if now.Sub(r.behindSince) >= c.catchUpPatience() {
		c.fetchLacking(now)
	}
}

// known is the latest revision that the copy has to be complete up to.
func (c *control) known() int64 { return max(c.records.store.revision, c.roster.NewestChange()) }

// catchUpPatience is how long the copy may be behind without any progress.
func (c *control) catchUpPatience() time.Duration {
	switch {
	case c.mirror.Revision() == 0:
		return 0
	case c.follow.healthy():
		return behindPatience
	default:
		return strangerPatience
	}
}

// fetchLacking asks another router for what the copy lacks, and the store if it
// is ahead of all.
func (c *control) fetchLacking(now time.Time) {
	r := &c.records
	if r.fetching || now.Before(r.nextFetch) {
		return
	}
	r.nextFetch = now.Add(fetchPause)
	switch {
	case c.follow.stop != nil:
		c.keptBack(now)
	case r.store.revision > c.mirror.Revision():
		// Others say that they follow, and have not passed on what the store holds.
		others, _ := c.roster.Followers()
		c.startFollowing(others)
	}
	source, ok := c.roster.Source(c.mirror.Revision(), r.passedOver)
	if !ok {
		r.passedOver = nil
		return
	}
	r.fetching = true
	go c.edge.fetch(source, &peerpb.StateRequest{HaveRevision: c.mirror.Revision()})
}

// fetch asks another router for what the copy lacks.
func (e *Edge) fetch(from peering.Router, request *peerpb.StateRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	response, err := e.link.FetchState(ctx, from.PeerAddress, request)
	e.post(stateFetched{from: from.Name, response: response, err: err})
}

func (s stateFetched) apply(c *control, now time.Time) {
	r := &c.records
	r.fetching = false
	c.warm.asking = false
	log := c.edge.options.Log
	if s.err != nil {
		r.passedOver = append(r.passedOver, s.from)
		r.nextFetch = now.Add(elsewherePause)
		if errors.Is(s.err, peering.ErrBusy) {
			log.Detail("records not fetched", decisionlog.Fields{"router": s.from, "error": s.err.Error()})
			return
		}
		log.Failure("records not fetched", s.err, decisionlog.Fields{"router": s.from})
		return
	}
	r.passedOver = nil
	c.hearHeldAll(s.from, s.response)
	delta := deltaFromProto(s.response)
	had := c.mirror.Revision()
	if !c.mirror.Merge(delta) {
		return
	}
	c.advanced(now)
	c.noteConfirmed(now)
	log.Decision("records fetched", decisionlog.Fields{
		"router": s.from, "revision": delta.Revision, "had": had, "full": delta.Full,
		"entries": len(delta.Entries), "removed": len(delta.Removed),
	})
	c.publish(now)
	c.announce(now)
}

// publish puts the records in force.
func (c *control) publish(now time.Time) {
	snapshot := c.edge.options.Provider.Translate(c.mirror.Entries(), now)
	c.logProblems(snapshot.Problems)
	c.publishTable(now, snapshot.Table)
	c.edge.balancer.SetInstances(snapshot.Instances)
	c.found = snapshot.Routers
	c.listRouters()
	c.warmUp(now)
}

// publishTable puts a configuration in force that isn't older than the last.
func (c *control) publishTable(now time.Time, table *routing.Table) {
	current := c.edge.table.Load()
	if table == nil || table == current {
		return
	}
	if current != nil && table.Revision < current.Revision {
		c.edge.options.Log.Decision("older configuration passed over", decisionlog.Fields{
			"config": table.Revision, "in_force": current.Revision,
		})
		return
	}
	c.edge.table.Store(table)
	c.edge.options.Log.Decision("configuration in force", decisionlog.Fields{
		"config": table.Revision, "records_revision": c.mirror.Revision(), "follows_store": c.follow.healthy(),
		"confirmed_age_ms": c.records.freshness.Age(now).Milliseconds(),
	})
}

// logProblems logs the records that can't be read, when they change.
func (c *control) logProblems(problems []string) {
	if slices.Equal(problems, c.records.problems) {
		return
	}
	c.records.problems = problems
	c.edge.options.Log.Decision("records not readable", decisionlog.Fields{"problems": problems})
}
