package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/mirror"
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
	if c.mirror.Revision() == 0 || !c.records.freshness.Due(now, c.follow.healthy(), rand.N(mirror.JitterBound)) {
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
	c.records.confirmedRevision = max(c.records.confirmedRevision, s.revision)
	if s.revision <= c.mirror.Revision() {
		c.confirmed(now, s.asked)
		return
	}
	if !c.follow.healthy() {
		c.startFollowingNow()
	}
	c.catchUp(now)
}

// startFollowingNow follows the store although others say that they do: they
// have not passed on what it holds.
func (c *control) startFollowingNow() {
	if c.follow.stop == nil {
		others, _ := c.roster.Followers()
		c.startFollowing(others)
	}
}
