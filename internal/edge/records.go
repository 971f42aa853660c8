package edge

import (
	"context"
	"slices"
	"time"

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
	// fetchPause is the least time between two fetches of a copy.
	fetchPause = 300 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 2 * time.Second
)

// recordsState is what is known of how current the copy of the records is.
type recordsState struct {
	freshness mirror.Freshness
	// confirmedRevision is the store's revision at the last confirmation.
	confirmedRevision int64
	fetching          bool
	fetched           time.Time
	// behindSince is when the copy was first seen to be behind.
	behindSince time.Time
	problems    []string
}

type storeUpdate struct{ update mirror.Update }

func (s storeUpdate) apply(c *control, now time.Time) {
	u := s.update
	if u.Err != nil {
		c.storeLost(now, u.Err)
		return
	}
	c.storeBack()
	before := c.mirror.Revision()
	changed := false
	if u.Full {
		c.confirmed(now, now)
		changed = c.mirror.Replace(u.Entries, u.Revision)
	} else {
		changed = c.mirror.Apply(u.Events, u.Revision)
	}
	if changed {
		c.noteConfirmed(now)
		c.publish(now)
		c.passOn(now, before)
	}
}

// passOn tells the other routers what has changed after a revision.
func (c *control) passOn(now time.Time, before int64) {
	delta, ok := c.mirror.Since(before)
	if !ok {
		return
	}
	everyone := c.roster.Everyone()
	if delta.Full || !c.edge.link.SendState(everyone, deltaToProto(delta)) {
		c.send(now, everyone)
	}
}

type stateFetched struct {
	from     string
	response *peerpb.StateResponse
	err      error
}

// catchUp fetches what the copy lacks from another router, when the store does
// not bring it.
func (c *control) catchUp(now time.Time) {
	newest, ok := c.roster.Newest()
	known := c.records.confirmedRevision
	if ok {
		known = max(known, newest.StateRevision)
	}
	r := &c.records
	if known <= c.mirror.Revision() {
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	waited := c.mirror.Revision() == 0 || !c.follow.healthy() || now.Sub(r.behindSince) >= behindPatience
	if !waited || r.fetching || now.Sub(r.fetched) < fetchPause {
		return
	}
	r.fetched = now
	c.keptBack(now, known)
	if ok && newest.StateRevision > c.mirror.Revision() {
		r.fetching = true
		go c.edge.fetch(newest, &peerpb.StateRequest{HaveRevision: c.mirror.Revision()})
	}
}

// fetch asks another router for what the copy lacks.
func (e *Edge) fetch(from peering.Router, request *peerpb.StateRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	response, err := e.link.FetchState(ctx, from.PeerAddress, request)
	e.post(stateFetched{from: from.Name, response: response, err: err})
}

func (s stateFetched) apply(c *control, now time.Time) {
	c.records.fetching = false
	log := c.edge.options.Log
	if s.err != nil {
		c.warm.asking = false
		log.Failure("records not fetched", s.err, decisionlog.Fields{"router": s.from})
		return
	}
	c.hearHeldAll(s.from, s.response)
	delta := deltaFromProto(s.response)
	had := c.mirror.Revision()
	if !c.mirror.Merge(delta) {
		return
	}
	c.records.behindSince = time.Time{}
	c.noteConfirmed(now)
	log.Decision("records fetched", decisionlog.Fields{
		"router": s.from, "revision": delta.Revision, "had": had, "full": delta.Full,
		"entries": len(delta.Entries), "removed": len(delta.Removed),
	})
	c.publish(now)
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
