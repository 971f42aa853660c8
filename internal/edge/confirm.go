package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
)

// storeConfirmed is the store's answer to the question how far it is.
type storeConfirmed struct {
	revision int64
	asked    time.Time
	err      error
}

// confirmTimeout bounds the question; a slow store answers within it.
const confirmTimeout = time.Second

// confirm asks the store whether the copy of its records is complete, when
// neither this router nor another has done so lately.
func (c *control) confirm(now time.Time) {
	if c.mirror.Revision() == 0 || !c.records.freshness.Due(now, c.follow.healthy(), c.roster.PropagationTime(), rand.N(mirror.MaxJitter)) {
		return
	}
	go c.edge.askRevision(now)
}

// askRevision reads this router's own record: the answer tells the revision of
// the whole store.
func (e *Edge) askRevision(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	key, _ := e.options.Provider.Registration(e.options.Settings.PeerAddress)
	_, revision, err := e.options.Store.List(ctx, key)
	e.post(storeConfirmed{revision: revision, asked: now, err: err})
}

func (s storeConfirmed) apply(c *control, now time.Time) {
	if s.err != nil {
		// The store may hold a watch and yet be gone.
		c.storeLost(now, s.err)
		return
	}
	c.storeBack()
	if s.revision >= c.records.store.revision {
		c.records.store = storeRevision{revision: s.revision, asked: s.asked}
	}
	c.advanced(now)
	c.catchUp(now)
}

// advanced takes that the copy has come to a later revision: once it has come to
// that of the store, it was complete when the store was asked.
func (c *control) advanced(now time.Time) {
	if store := c.records.store; store.revision > 0 && store.revision <= c.mirror.Revision() {
		c.confirmed(now, store.asked)
	}
}

// unknownAge is what a digest tells of a copy that was never confirmed.
const unknownAge = math.MaxUint32 * time.Millisecond

// confirmedWithin is the age from which on records count as unconfirmed: two
// questions to the store in a row had no answer.
const confirmedWithin = 2 * time.Second

// noteAge tells the balancer when nothing has confirmed the records for long:
// entries that are missing afterwards may have lapsed with the store.
func (c *control) noteAge(now time.Time) {
	age := c.records.freshness.Age(now)
	if !c.records.freshness.EverConfirmed() || c.follow.unconfirmed || age < confirmedWithin {
		return
	}
	c.follow.unconfirmed = true
	c.edge.balancer.ListingUnavailable(now.Add(-age))
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
	c.edge.balancer.ListingRestored()
	c.edge.options.Log.Lifecycle("records confirmed again", decisionlog.Fields{
		"revision": c.mirror.Revision(), "confirmed_age_ms": c.records.freshness.Age(now).Milliseconds(),
	})
}

// hearConfirmation takes another router's word that a copy was complete, if this
// copy lacks no change that the other has.
func (c *control) hearConfirmation(now time.Time, r peering.Received) {
	age := time.Duration(r.Digest.GetConfirmedAgeMs()) * time.Millisecond
	if c.mirror.Revision() == 0 || r.Router.ChangedRevision > c.mirror.Revision() || age >= unknownAge {
		return
	}
	if c.mirror.Advance(r.Router.ChangedRevision, r.Router.StateRevision) {
		c.advanced(now)
	}
	c.confirmed(now, now.Add(-age))
}

// confirmed notes that the copy was complete at a moment.
func (c *control) confirmed(now, at time.Time) {
	if now.Sub(at) < confirmedWithin {
		c.noteConfirmed(now)
	}
	c.records.freshness.RecordConfirmation(at)
}
