package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// command is a message to the control goroutine.
type command interface {
	apply(c *control, now time.Time)
}

type strikeFound struct{ strike *peerpb.Strike }

type leaveAnnounced struct{}

type settingsChanged struct{ seeds []string }

const (
	// strikesPerDigest keeps a digest within one datagram.
	strikesPerDigest = 4
	// leaveDigests is the number of times that leaving is told to everyone.
	leaveDigests = 3
)

// control is the state that the control goroutine owns.
type control struct {
	edge    *Edge
	ctx     context.Context
	mirror  *mirror.Mirror
	roster  *peering.MemberList
	strikes *containment.Queue
	// seeds and found are peer addresses of the settings and of the records.
	seeds []string
	found []string
	// records is what is known of how current the copy of the records is.
	records recordsState
	follow  followState
	warm    warmState
	start   startState
}

func newControl(ctx context.Context, e *Edge) *control {
	c := &control{
		edge: e, ctx: ctx, mirror: mirror.New(e.options.Provider.Same), seeds: e.options.Settings.Seeds,
		roster: peering.NewMemberList(e.options.Settings.Name, rand.Uint64()), strikes: containment.NewQueue(),
	}
	c.listRouters()
	// At the first start of the whole system, instances hold nothing.
	c.warm.complete = e.options.Settings.FirstStart
	return c
}

// run handles commands and rounds until the context ends.
func (c *control) run() error {
	ticker := time.NewTicker(peering.RoundInterval)
	defer ticker.Stop()
	c.start = newStartState(time.Now())
	go c.edge.findRouters()
	c.round(time.Now())
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case command := <-c.edge.commands:
			command.apply(c, time.Now())
		case now := <-ticker.C:
			c.round(now)
		}
	}
}

// round ends time spans and tells other routers of this one.
func (c *control) round(now time.Time) {
	c.roster.BeginRound()
	c.edge.balancer.Tick()
	c.strikes.Forget(now)
	c.rosterChanged(c.roster.Tick(now))
	c.decideFollow(now)
	c.noteAge(now)
	c.send(now, c.roster.Targets())
	c.tellReaders(now)
	c.catchUp(now)
	c.confirm(now)
	c.warmUp(now)
	c.edge.link.CloseIdle(now)
}

// send sends a digest, with the strikes that are still to be told.
func (c *control) send(now time.Time, to []string) {
	if len(to) == 0 {
		return
	}
	c.edge.link.SendDigest(to, c.digest(now), c.strikes.Take(strikesPerDigest, c.roster.RouterCount()))
}

func (c *control) digest(now time.Time) *peerpb.Digest {
	s := c.edge.options.Settings
	d := &peerpb.Digest{
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, Region: s.Place.Region,
		Accepting: c.edge.Ready(), Leaving: c.edge.leaving.Load(), StateRevision: c.mirror.Revision(),
		ChangedRevision: c.mirror.ChangedRevision(),
		ConfirmedAgeMs:  uint32(min(c.records.freshness.Age(now), unknownAge).Milliseconds()),
		FollowsStore:    c.follow.healthy(),
	}
	c.edge.balancer.FillDigest(d)
	d.Heard = c.roster.DirectlyHeard()
	return d
}

func (s strikeFound) apply(c *control, now time.Time) {
	c.strikes.Add(now, s.strike)
	c.send(now, c.roster.Targets())
}

func (leaveAnnounced) apply(c *control, now time.Time) {
	for range leaveDigests {
		c.send(now, c.roster.PeerAddresses())
	}
}

func (s settingsChanged) apply(c *control, _ time.Time) {
	c.seeds = s.seeds
	c.listRouters()
}

// listRouters tells the roster where other routers may be found.
func (c *control) listRouters() { c.roster.SetListed(slices.Concat(c.seeds, c.found)) }

// rosterChanged logs changes and publishes the routers that are in use.
func (c *control) rosterChanged(changes []peering.Change) {
	for _, change := range changes {
		c.edge.options.Log.Decision("router changed", decisionlog.Fields{
			"router": change.Router.Name, "what": change.Kind, "incarnation": change.Router.Incarnation,
			"silence_ms": change.Silence.Milliseconds(), "state_revision": change.Router.StateRevision, "changed_revision": change.Router.ChangedRevision,
		})
		if change.Kind == peering.WentSilent {
			c.edge.balancer.ForgetPeer(change.Router.Name)
		}
	}
	if len(changes) == 0 {
		return
	}
	live := c.roster.Live()
	c.edge.routers.Store(&live)
	c.edge.balancer.SetRouterCount(c.roster.RouterCount())
}

// newsDelay lets what instances read come together in one digest; it is about
// the time to read a short part.
const newsDelay = 20 * time.Millisecond

// scheduleNews has other routers told soon what instances read.
func (e *Edge) scheduleNews() {
	if e.newsDue.CompareAndSwap(false, true) {
		time.AfterFunc(newsDelay, func() { e.post(newsDue{}) })
	}
}

type newsDue struct{}

func (newsDue) apply(c *control, now time.Time) {
	c.edge.newsDue.Store(false)
	c.send(now, c.roster.Targets())
}
