package edge

import (
	"context"
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
	if c.mirror.Revision() == 0 || !c.freshness.Due(now, rand.N(mirror.JitterBound)) {
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
		c.edge.options.Log.Detail("revision not confirmed", decisionlog.Fields{"error": s.err.Error()})
		return
	}
	c.confirmedRevision = max(c.confirmedRevision, s.revision)
	if s.revision <= c.mirror.Revision() {
		c.freshness.Confirmed(s.asked)
		return
	}
	c.catchUp(now)
}

// hearConfirmation takes another router's word that a copy was complete.
func (c *control) hearConfirmation(now time.Time, r peering.Received) {
	if r.Router.StateRevision > c.mirror.Revision() {
		return
	}
	c.freshness.Confirmed(now.Add(-time.Duration(r.Digest.GetConfirmedAgeMs()) * time.Millisecond))
}
