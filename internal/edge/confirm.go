package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
)

// revisionResult is the result of reading the store's current revision.
type revisionResult struct {
	revision int64
	asked    time.Time
	err      error
}

// confirmTimeout bounds one read of the store's revision; a slow store answers
// within it.
const confirmTimeout = time.Second

// confirm checks with the store whether the copy of its records is complete,
// unless this router or another has done so recently.
func (c *control) confirm(now time.Time) {
	r := &c.records
	if c.mirror.Revision() == 0 || !r.freshness.Due(now, c.follow.healthy(), c.members.PropagationTime(), r.askJitter) {
		return
	}
	r.askJitter = rand.N(mirror.MaxJitter)
	go c.edge.fetchRevision(now)
}

// fetchRevision reads this router's own record: the response carries the revision
// of the whole store.
func (e *Edge) fetchRevision(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	key, _ := e.options.Provider.Registration(e.options.Settings.PeerAddress)
	_, revision, err := e.options.Store.List(ctx, key)
	e.post(revisionResult{revision: revision, asked: now, err: err})
}

func (r revisionResult) apply(c *control, now time.Time) {
	if r.err != nil {
		// A watch may stay open although the store is unavailable.
		c.records.freshness.RecordFailure(now)
		c.storeUnavailable(now, r.err)
		return
	}
	c.storeRestored()
	if r.revision >= c.records.store.revision {
		c.records.store = storeRevision{revision: r.revision, asked: r.asked}
		c.records.pending = append(c.records.pending, c.records.store)
	}
	c.revisionAdvanced(now)
	if c.follow.healthy() && c.records.freshness.Age(now) <= now.Sub(r.asked) {
		// The others rely on the confirmations of those that follow the store.
		c.send(now, c.members.Targets())
	}
	c.catchUp(now)
}

// revisionAdvanced handles a new revision of the copy: once the copy has reached
// a revision that the store reported, it was complete when that was requested. While
// records change all the time, the store is asked again before the copy has reached the
// revision that it reported last.
func (c *control) revisionAdvanced(now time.Time) {
	pending := c.records.pending
	for len(pending) > 0 && pending[0].revision <= c.mirror.Revision() {
		c.confirmed(now, pending[0].asked)
		pending = pending[1:]
	}
	c.records.pending = pending[max(len(pending)-maxPending, 0):]
}

// maxPending bounds the reported revisions that are kept: those of several seconds.
const maxPending = 16

// unknownAge is the age that a digest reports for a copy that was never confirmed.
const unknownAge = math.MaxUint32 * time.Millisecond

// maxConfirmedAge is the age at which records count as unconfirmed: two reads of
// the store's revision in a row have failed.
const maxConfirmedAge = 2 * time.Second

// checkConfirmedAge tells the balancer when the records have become unconfirmed:
// entries that are missing from a later listing may have expired because the
// store was unavailable.
func (c *control) checkConfirmedAge(now time.Time) {
	age := c.records.freshness.Age(now)
	if !c.records.freshness.EverConfirmed() || c.follow.unconfirmed || age < maxConfirmedAge {
		return
	}
	c.follow.unconfirmed = true
	c.edge.balancer.ListingUnavailable(age)
	c.edge.options.Log.Lifecycle("records unconfirmed", decisionlog.Fields{
		"revision": kv.RawRevision(c.mirror.Revision()), "confirmed_age_ms": age.Milliseconds(),
	})
}

// clearUnconfirmed reverts checkConfirmedAge. It must be called before the records
// that confirm the copy are published.
func (c *control) clearUnconfirmed(now time.Time) {
	c.checkConfirmedAge(now)
	if !c.follow.unconfirmed {
		return
	}
	c.follow.unconfirmed = false
	c.edge.balancer.ListingRestored()
	c.edge.options.Log.Lifecycle("records confirmed again", decisionlog.Fields{
		"revision": kv.RawRevision(c.mirror.Revision()), "confirmed_age_ms": c.records.freshness.Age(now).Milliseconds(),
	})
}

// applyPeerConfirmation applies another router's report of when its copy was
// complete, if this copy lacks no change that the other has. The report may have waited
// while this host stood still, or behind other datagrams.
func (c *control) applyPeerConfirmation(now time.Time, r peering.Received) {
	age := time.Duration(r.Digest.GetConfirmedAgeMs()) * time.Millisecond
	if c.mirror.Revision() == 0 || r.Router.ChangedRevision > c.mirror.Revision() || age >= unknownAge {
		return
	}
	age += c.members.Delay(now, r.Router)
	if kv.EraOf(r.Router.StateRevision) != kv.EraOf(c.mirror.Revision()) {
		// The other copy was complete before the store was restored.
		return
	}
	if c.mirror.Advance(r.Router.ChangedRevision, r.Router.StateRevision) {
		c.revisionAdvanced(now)
	}
	c.confirmed(now, now.Add(-age))
}

// confirmed records that the copy was complete at the given time.
func (c *control) confirmed(now, at time.Time) {
	if now.Sub(at) < maxConfirmedAge {
		c.clearUnconfirmed(now)
	}
	c.records.freshness.RecordConfirmation(at)
}
