package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/boottime"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/origins"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// command is a message to the control goroutine.
type command interface {
	apply(c *control, now time.Time)
}

type crashDetected struct{ strikes []*peerpb.Strike }

type trialsRecorded struct{ trials []*peerpb.Trial }

type leaveAnnounced struct{}

type settingsChanged struct{ seeds []string }

const (
	// strikesPerDigest and trialsPerDigest limit the messages about crashes in a
	// digest so that it fits in one datagram.
	strikesPerDigest = 4
	trialsPerDigest  = 1
	// leaveDigestCount is the number of digests that announce a shutdown to each
	// router.
	leaveDigestCount = 3
)

// control is the state owned by the control goroutine.
type control struct {
	edge    *Edge
	ctx     context.Context
	mirror  *mirror.Mirror
	members *peering.MemberList
	// news are the strikes and trials to send to other routers.
	news *containment.News
	// seeds are peer addresses from the settings, discovered those from the records.
	seeds      []string
	discovered []string
	records    recordsState
	follow     followState
	inventory  inventoryState
	start      startState
	// crashRecord is this router's record of crashes in the store.
	crashRecord crashRecordState
	// served is the routers' record of the versions at which streams may have begun.
	served servedState
	clock  suspensionClock
}

func newControl(ctx context.Context, e *Edge) *control {
	c := &control{
		edge: e, ctx: ctx, mirror: mirror.New(e.options.Provider), seeds: e.options.Settings.Seeds,
		members: peering.NewMemberList(e.options.Settings.Name, rand.Uint64()), news: containment.NewNews(),
	}
	c.served.versions = origins.NewVersions(e.options.Settings.FirstStart)
	c.updateListedRouters()
	// At the first start of the whole system, the instances' caches are empty.
	c.inventory.complete = e.options.Settings.FirstStart
	return c
}

// run handles commands and starts a round at each interval until the context ends.
func (c *control) run() error {
	ticker := time.NewTicker(peering.RoundInterval)
	defer ticker.Stop()
	c.clock = newSuspensionClock()
	c.start = newStartState(c.now(), &c.edge.options.Settings)
	if !c.start.discoveryDone {
		go c.edge.discoverRouters()
	}
	c.round(c.now())
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case command := <-c.edge.commands:
			command.apply(c, c.now())
		case received := <-c.edge.datagrams:
			digestReceived{received: received}.apply(c, c.now())
		case <-ticker.C:
			c.round(c.now())
		}
	}
}

// now returns the time on a clock that counts suspensions of the host. It handles a
// suspension since the last call: the other routers were not silent, since their
// digests wait in the socket.
func (c *control) now() time.Time {
	now, suspended := c.clock.read(boottime.Now(), time.Now())
	if suspended > 0 {
		c.members.Suspended(suspended)
		c.edge.options.Log.Lifecycle("host was suspended", decisionlog.Fields{
			"suspended_ms": suspended.Milliseconds(), "revision": kv.RawRevision(c.mirror.Revision()),
			"confirmed_age_ms": c.records.freshness.Age(now).Milliseconds(),
		})
	}
	return now
}

// round checks time-outs and sends this router's state to others.
func (c *control) round(now time.Time) {
	c.members.BeginRound()
	c.edge.balancer.Tick()
	c.news.Forget(now)
	c.handleMemberChanges(c.members.Tick(now))
	c.decideFollow(now)
	c.checkConfirmedAge(now)
	c.send(now, c.members.Targets())
	c.notifyFirstReaders(now)
	c.checkStoreEra()
	c.catchUp(now)
	c.confirm(now)
	c.scheduleInventory(now)
	c.updateCrashRecord(now)
	c.updateVersions(now)
	c.edge.link.CloseIdle(time.Now())
}

// send sends a digest with the next strikes and trials.
func (c *control) send(now time.Time, to []string) {
	if len(to) == 0 {
		return
	}
	c.edge.link.SendDigest(to, c.digest(now), c.takeNews())
}

// takeNews returns the next messages about crashes and rate limits.
func (c *control) takeNews() peering.News {
	routers := c.members.RouterCount()
	return peering.News{
		Strikes: c.news.TakeStrikes(strikesPerDigest, routers, c.edge.balancer.BlamedStrikes),
		Trials:  c.news.TakeTrials(trialsPerDigest, routers),

		RateLimits: c.edge.balancer.RateLimitNews(),
	}
}

func (c *control) digest(now time.Time) *peerpb.Digest {
	s := c.edge.options.Settings
	d := &peerpb.Digest{
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, Region: s.Location.Region,
		Accepting: c.edge.Ready(), Leaving: c.edge.leaving.Load(),
		Era: kv.EraOf(c.mirror.Revision()), StateRevision: kv.RawRevision(c.mirror.Revision()),
		ChangedRevision: kv.RawRevision(c.mirror.ChangedRevision()),
		ConfirmedAgeMs:  uint32(min(c.records.freshness.Age(now), unknownAge).Milliseconds()),
		FollowsStore:    c.follow.healthy(), SentMs: now.UnixMilli(),
	}
	if table := c.edge.table.Load(); table != nil {
		d.ConfigRevision = table.Revision
	}
	c.edge.balancer.FillDigest(d)
	d.Heard = c.members.DirectlyHeard()
	return d
}

func (d crashDetected) apply(c *control, now time.Time) {
	c.crashRecord.struck = true
	for _, strike := range d.strikes {
		c.news.AddStrike(now, strike)
	}
	c.sendNews(now, len(d.strikes), strikesPerDigest)
}

func (r trialsRecorded) apply(c *control, now time.Time) {
	for _, trial := range r.trials {
		c.news.AddTrial(now, trial)
	}
	c.sendNews(now, len(r.trials), trialsPerDigest)
}

// sendNews sends new messages about a crash at once, in as many copies of the digest as
// they take.
func (c *control) sendNews(now time.Time, messages, perDigest int) {
	d := c.digest(now)
	for ; messages > 0; messages -= perDigest {
		if to := c.members.Targets(); len(to) > 0 {
			c.edge.link.SendDigest(to, d, c.takeNews())
		}
	}
}

func (leaveAnnounced) apply(c *control, now time.Time) {
	for range leaveDigestCount {
		c.send(now, c.members.PeerAddresses())
	}
}

func (s settingsChanged) apply(c *control, _ time.Time) {
	c.seeds = s.seeds
	c.updateListedRouters()
}

// updateListedRouters passes the addresses of other routers to the member list.
func (c *control) updateListedRouters() { c.members.SetListed(slices.Concat(c.seeds, c.discovered)) }

// handleMemberChanges logs membership changes and publishes the live routers.
func (c *control) handleMemberChanges(changes []peering.Change) {
	for _, change := range changes {
		c.edge.options.Log.Decision("router changed", decisionlog.Fields{
			"router": change.Router.Name, "what": change.Kind, "incarnation": change.Router.Incarnation,
			"silence_ms": change.Silence.Milliseconds(), "era": kv.EraOf(change.Router.StateRevision),
			"state_revision": kv.RawRevision(change.Router.StateRevision), "changed_revision": kv.RawRevision(change.Router.ChangedRevision),
		})
		if change.Kind == peering.WentSilent {
			c.edge.balancer.ForgetPeer(change.Router.Name)
		}
	}
	if len(changes) == 0 {
		return
	}
	live := c.members.Live()
	c.edge.routers.Store(&live)
	c.edge.balancer.SetFleet(c.rank(live), c.members.RouterCount(), c.members.CoverageTime())
	c.edge.balancer.SetLimitShare(limitShare(len(live)+1, c.members.ExpectedCount()))
}

// limitShare returns the part of each rate limit that the live routers share out. If they
// are the smaller part of the fleet, the others may be running behind a partition.
func limitShare(live, expected int) float64 {
	if 2*live >= expected {
		return 1
	}
	return float64(live) / float64(expected)
}

// rank returns the number of other live routers whose names are before this one's.
func (c *control) rank(live []peering.Router) int {
	before := 0
	for _, r := range live {
		if r.Name < c.edge.options.Settings.Name {
			before++
		}
	}
	return before
}

// digestDelay batches new cached prompt parts into one digest; it is about the
// prefill time of a short part.
const digestDelay = 20 * time.Millisecond

// scheduleDigest sends a digest after digestDelay, so that other routers learn which
// prompt parts instances are about to cache.
func (e *Edge) scheduleDigest() {
	if e.digestDue.CompareAndSwap(false, true) {
		time.AfterFunc(digestDelay, func() { e.post(digestDue{}) })
	}
}

type digestDue struct{}

func (digestDue) apply(c *control, now time.Time) {
	c.edge.digestDue.Store(false)
	c.send(now, c.members.Targets())
}
