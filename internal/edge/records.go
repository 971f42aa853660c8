package edge

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

const (
	// followerCatchUpDelay is how long the store's watch may take to deliver a change
	// that another router already has: a few response times of the store.
	followerCatchUpDelay = 150 * time.Millisecond
	// nonFollowerCatchUpDelay is the same for a router that doesn't follow the store:
	// followers push changes.
	nonFollowerCatchUpDelay = 150 * time.Millisecond
	// fetchInterval is the minimum time between two fetches from other routers.
	fetchInterval = 300 * time.Millisecond
	// fetchRetryDelay is the same after a fetch from a router that was busy or failed.
	fetchRetryDelay = 50 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 2 * time.Second
)

// recordsState tracks how current the copy of the records is.
type recordsState struct {
	freshness mirror.Freshness
	// store is the last revision that the store reported, pending the reported ones that
	// the copy has not reached, oldest first.
	store   storeRevision
	pending []storeRevision
	// askJitter is added to the age at which the store is asked for its revision.
	askJitter time.Duration
	// storeEra is the highest era that any response of the store has named.
	storeEra int64
	// fetching is set while a fetch is in progress; nextFetch is the earliest time of
	// the next one.
	fetching  bool
	nextFetch time.Time
	// behindSince is when the copy was first seen to be behind at behindRevision, its
	// current revision.
	behindSince    time.Time
	behindRevision int64
	// failedSources are the routers that were busy or failed since the last
	// successful fetch.
	failedSources []string
	problems      []string
}

// storeRevision is a revision of the store and the time when it was requested.
type storeRevision struct {
	revision int64
	asked    time.Time
}

type storeUpdate struct{ update mirror.Update }

func (s storeUpdate) apply(c *control, now time.Time) {
	u := s.update
	if u.Err != nil {
		c.storeUnavailable(now, u.Err)
		return
	}
	c.storeRestored()
	before, had := c.mirror.ChangedRevision(), c.mirror.Revision()
	changed := false
	if u.Full {
		c.confirmed(now, u.AskedAt)
		changed = c.mirror.Replace(u.Entries, u.Revision)
	} else {
		changed = c.mirror.Apply(u.Events, u.Revision)
	}
	c.handleEraChange(had, storeSource)
	c.revisionAdvanced(now)
	if changed {
		c.clearUnconfirmed(now)
		c.publish(now)
		c.pushChanges(now, before)
	}
}

// pushChanges sends the changes since an earlier changed revision to all other
// routers. A copy that includes that change lacks nothing else, whatever its
// revision.
func (c *control) pushChanges(now time.Time, before int64) {
	delta, ok := c.mirror.Since(before)
	if !ok {
		return
	}
	if delta.Full || !c.edge.link.SendState(c.members.PeerAddresses(), deltaToProto(delta)) {
		c.announceChange(now)
	}
}

// announceChange tells some of the other routers to fetch the change; these
// announce it in turn.
func (c *control) announceChange(now time.Time) {
	d := c.digest(now)
	d.FetchNow = true
	c.edge.link.SendDigest(c.members.Targets(), d, peering.News{})
}

type stateFetched struct {
	from     string
	response *peerpb.StateResponse
	err      error
}

// catchUp fetches missing changes from another router when neither the store nor a
// push delivers them in time.
func (c *control) catchUp(now time.Time) {
	r := &c.records
	if c.requiredRevision() <= c.mirror.Revision() {
		r.behindSince = time.Time{}
		return
	}
	delay := c.catchUpDelay()
	if r.behindSince.IsZero() || r.behindRevision != c.mirror.Revision() {
		r.behindSince, r.behindRevision = now, c.mirror.Revision()
		time.AfterFunc(delay, func() { c.edge.post(catchUpDue{}) })
	}
	if now.Sub(r.behindSince) >= delay {
		c.fetchMissing(now)
	}
}

type catchUpDue struct{}

func (catchUpDue) apply(c *control, now time.Time) { c.catchUp(now) }

// requiredRevision is the latest revision that the copy has to be complete up to.
func (c *control) requiredRevision() int64 {
	return max(c.storeRequirement(), c.members.NewestChange())
}

// catchUpDelay is how long the copy may be behind without progress before missing
// changes are fetched.
func (c *control) catchUpDelay() time.Duration {
	switch {
	case c.mirror.Revision() == 0:
		return 0
	case c.follow.healthy():
		return c.edge.followerPace() + followerCatchUpDelay
	default:
		return nonFollowerCatchUpDelay
	}
}

// fetchMissing fetches the changes that the copy lacks from another router. A router
// that follows the store also lists the records again; one that doesn't starts to
// follow the store if the store is ahead of the copy.
func (c *control) fetchMissing(now time.Time) {
	r := &c.records
	following := c.follow.stop != nil
	if !following && c.storeRequirement() > c.mirror.Revision() {
		// The routers that claim to follow the store have not pushed its changes.
		others, _ := c.members.Followers(kv.EraOf(c.mirror.Revision()))
		c.startFollowing(others)
	}
	if r.fetching || now.Before(r.nextFetch) {
		return
	}
	r.nextFetch = now.Add(fetchInterval)
	if following {
		c.resyncWatch(now)
	}
	source, ok := c.members.Source(c.mirror.Revision(), r.failedSources)
	if !ok {
		r.failedSources = nil
		return
	}
	r.fetching = true
	go c.edge.fetch(source, c.stateRequest())
}

// stateRequest returns the request for the changes that the copy lacks.
func (c *control) stateRequest() *peerpb.StateRequest {
	have := c.mirror.DeltaBase()
	return &peerpb.StateRequest{HaveRevision: kv.RawRevision(have), HaveEra: kv.EraOf(have)}
}

// fetch requests the changes that the copy lacks from another router.
func (e *Edge) fetch(from peering.Router, request *peerpb.StateRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	response, err := e.link.FetchState(ctx, from.PeerAddress, request)
	e.post(stateFetched{from: from.Name, response: response, err: err})
}

func (s stateFetched) apply(c *control, now time.Time) {
	r := &c.records
	r.fetching = false
	c.inventory.fetching = false
	log := c.edge.options.Log
	if s.err != nil {
		r.failedSources = append(r.failedSources, s.from)
		r.nextFetch = now.Add(fetchRetryDelay)
		if errors.Is(s.err, peering.ErrBusy) {
			log.Detail("records not fetched", decisionlog.Fields{"router": s.from, "error": s.err.Error()})
			return
		}
		log.Failure("records not fetched", s.err, decisionlog.Fields{"router": s.from})
		return
	}
	r.failedSources = nil
	delta := deltaFromProto(s.response)
	had := c.mirror.Revision()
	merged := c.mirror.Merge(delta)
	if merged {
		c.handleEraChange(had, s.from)
		c.revisionAdvanced(now)
		c.clearUnconfirmed(now)
		log.Decision("records fetched", decisionlog.Fields{
			"router": s.from, "era": kv.EraOf(delta.Revision), "revision": kv.RawRevision(delta.Revision),
			"had": kv.RawRevision(had), "full": delta.Full,
			"entries": len(delta.Entries), "removed": len(delta.Removed),
		})
		c.publish(now)
	} else if adopted := c.mirror.AdoptLater(delta.Entries); len(adopted) > 0 {
		log.Decision("later versions of records adopted", decisionlog.Fields{
			"router": s.from, "records": adopted, "era": kv.EraOf(had), "revision": kv.RawRevision(had),
		})
		c.publish(now)
	}
	// Cached parts of instances that aren't known yet are ignored, and a router that
	// starts gets the records in the same response.
	c.applyCachedParts(s.from, s.response)
	c.applyStrikes(now, s.from, s.response.GetStrikes())
	if merged {
		c.announceChange(now)
	}
}

// publish applies the current records: routes, instances and router addresses.
func (c *control) publish(now time.Time) {
	snapshot := c.edge.options.Provider.Translate(c.mirror.Entries(), time.Now())
	c.logProblems(snapshot.Problems)
	c.discovered = snapshot.Routers
	// Before the router has routes, so that its first call finds what is refused, and at which
	// versions streams may begin.
	c.applyCrashRecords(snapshot.CrashRecords)
	c.publishVersions(now, snapshot)
	c.publishTable(now, snapshot.Table)
	c.edge.balancer.SetInstances(snapshot.Instances)
	c.updateListedRouters()
	c.scheduleInventory(now)
}

// publishTable activates a configuration unless it is older than the active one.
func (c *control) publishTable(now time.Time, table *routing.Table) {
	current := c.edge.table.Load()
	if table == nil || table == current {
		return
	}
	if current != nil && table.Revision < current.Revision {
		c.edge.options.Log.Decision("older configuration ignored", decisionlog.Fields{
			"config": table.Revision, "in_force": current.Revision,
		})
		return
	}
	c.edge.table.Store(table)
	c.edge.options.Log.Decision("configuration in force", decisionlog.Fields{
		"config": table.Revision, "records_revision": kv.RawRevision(c.mirror.Revision()), "follows_store": c.follow.healthy(),
		"confirmed_age_ms": c.records.freshness.Age(now).Milliseconds(),
	})
}

// logProblems logs the records that can't be decoded, when their list changes.
func (c *control) logProblems(problems []string) {
	if slices.Equal(problems, c.records.problems) {
		return
	}
	c.records.problems = problems
	c.edge.options.Log.Decision("invalid records ignored", decisionlog.Fields{"problems": problems})
}
