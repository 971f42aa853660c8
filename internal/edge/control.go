package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// command is a message to the control goroutine.
type command interface {
	apply(c *control, now time.Time)
}

type storeUpdate struct{ update mirror.Update }

type digestReceived struct{ received peering.Received }

type stateFetched struct {
	from     string
	response *peerpb.StateResponse
	err      error
}

type strikeFound struct{ strike *peerpb.Strike }

type leaveAnnounced struct{}

type settingsChanged struct{ seeds []string }

const (
	// behindPatience is how long the store's own watch may take to bring what
	// another router has already: a few answers of the store.
	behindPatience = 150 * time.Millisecond
	// fetchPause is the least time between two fetches of a copy.
	fetchPause = 300 * time.Millisecond
	// strikeRounds is the number of rounds in which a strike is repeated, since
	// datagrams may be lost.
	strikeRounds = 4
	// leaveDigests is the number of times that leaving is told to everyone.
	leaveDigests = 3
)

// control is the state that the control goroutine owns.
type control struct {
	edge     *Edge
	mirror   *mirror.Mirror
	roster   *peering.Roster
	strikes  []pendingStrike
	storeUp  bool
	fetching bool
	fetched  time.Time
	// behindSince is when another router was first seen to be ahead.
	behindSince time.Time
	problems    []string
	freshness   mirror.Freshness
	// confirmedRevision is the store's revision at the last confirmation.
	confirmedRevision int64
}

type pendingStrike struct {
	strike *peerpb.Strike
	rounds int
}

func newControl(e *Edge) *control {
	c := &control{edge: e, mirror: mirror.New(), roster: peering.NewRoster(e.options.Settings.Name, rand.Uint64()), storeUp: true}
	c.roster.SetListed(e.options.Settings.Seeds)
	return c
}

// run handles commands and rounds until the context ends.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(peering.RoundInterval)
	defer ticker.Stop()
	c.round(time.Now())
	for {
		select {
		case <-ctx.Done():
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
	c.edge.balancer.Tick()
	c.rosterChanged(c.roster.Tick(now))
	c.send(c.roster.Targets())
	c.catchUp(now)
	c.confirm(now)
}

func (c *control) send(to []string) {
	if len(to) == 0 {
		return
	}
	strikes := make([]*peerpb.Strike, 0, len(c.strikes))
	kept := c.strikes[:0]
	for _, p := range c.strikes {
		strikes = append(strikes, p.strike)
		if p.rounds--; p.rounds > 0 {
			kept = append(kept, p)
		}
	}
	c.strikes = kept
	c.edge.link.Send(to, c.digest(), strikes)
}

func (c *control) digest() *peerpb.Digest {
	s := c.edge.options.Settings
	d := &peerpb.Digest{
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, FailureDomain: s.FailureDomain,
		Accepting: c.edge.Ready(), Leaving: c.edge.leaving.Load(), StateRevision: c.mirror.Revision(),
		ConfirmedAgeMs: uint32(min(c.freshness.Age(time.Now()).Milliseconds(), math.MaxUint32)),
	}
	d.Loads, d.Held = c.edge.balancer.Digest()
	return d
}

// rosterChanged logs changes and publishes the routers that are in use.
func (c *control) rosterChanged(changes []peering.Change) {
	for _, change := range changes {
		c.edge.options.Log.Decision("router changed", decisionlog.Fields{
			"router": change.Router.Name, "what": change.What, "incarnation": change.Router.Incarnation,
			"silence_ms": change.Silence.Milliseconds(), "state_revision": change.Router.StateRevision,
		})
		if change.What == "silent" {
			c.edge.balancer.ForgetPeer(change.Router.Name)
		}
	}
	if len(changes) == 0 {
		return
	}
	live := c.roster.Live()
	c.edge.routers.Store(&live)
	c.edge.balancer.SetRouters(c.roster.Sharers())
}

func (d digestReceived) apply(c *control, now time.Time) {
	changes, isNew := c.roster.Hear(now, d.received.Router)
	c.rosterChanged(changes)
	c.edge.balancer.HearPeer(d.received.Router.Name, d.received.Digest)
	c.hearConfirmation(now, d.received)
	for _, strike := range d.received.Strikes {
		if c.edge.balancer.HearStrike(strike) {
			c.edge.options.Log.Decision("strike heard", decisionlog.Fields{
				"fingerprint": strike.GetFingerprint(), "instance": strike.GetUpstream(), "router": d.received.Router.Name,
			})
			c.strikes = append(c.strikes, pendingStrike{strike: strike, rounds: 1})
		}
	}
	if isNew {
		c.edge.link.Send([]string{d.received.Router.PeerAddress}, c.digest(), nil)
	}
	c.catchUp(now)
}

// catchUp fetches the records of a router that is ahead, when the store does
// not bring them.
func (c *control) catchUp(now time.Time) {
	newest, ok := c.roster.Newest()
	known := c.confirmedRevision
	if ok {
		known = max(known, newest.StateRevision)
	}
	if known <= c.mirror.Revision() {
		c.behindSince = time.Time{}
		return
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	waited := c.mirror.Revision() == 0 || !c.storeUp || now.Sub(c.behindSince) >= behindPatience
	if !waited || c.fetching || now.Sub(c.fetched) < fetchPause {
		return
	}
	c.fetched = now
	c.keptBack(now, known)
	if ok && newest.StateRevision > c.mirror.Revision() {
		c.fetching = true
		go c.edge.fetch(newest.Name, newest.PeerAddress, c.mirror.Revision())
	}
}

// keptBack makes the follower read everything again: its watch keeps changes
// back, or its connection has gone silent.
func (c *control) keptBack(now time.Time, known int64) {
	if !c.storeUp {
		return
	}
	c.freshness.KeptBack(now)
	c.edge.options.Log.Decision("watch is behind", decisionlog.Fields{
		"revision": c.mirror.Revision(), "known": known, "behind_ms": now.Sub(c.behindSince).Milliseconds(),
	})
	select {
	case c.edge.resync <- struct{}{}:
	default:
	}
}

// fetch asks another router for its copy of the records.
func (e *Edge) fetch(name, address string, have int64) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	response, err := e.link.FetchState(ctx, address, have)
	e.post(stateFetched{from: name, response: response, err: err})
}

// fetchTimeout bounds one fetch of another router's records.
const fetchTimeout = 2 * time.Second

func (s stateFetched) apply(c *control, now time.Time) {
	c.fetching = false
	log := c.edge.options.Log
	if s.err != nil {
		log.Failure("records not fetched", s.err, decisionlog.Fields{"router": s.from})
		return
	}
	if s.response.GetRevision() <= c.mirror.Revision() {
		return
	}
	entries := make([]kv.Entry, 0, len(s.response.GetEntries()))
	for _, e := range s.response.GetEntries() {
		entries = append(entries, kv.Entry{Key: e.GetKey(), Value: e.GetValue(), ModRevision: e.GetRevision()})
	}
	log.Decision("records fetched", decisionlog.Fields{
		"router": s.from, "revision": s.response.GetRevision(), "had": c.mirror.Revision(), "entries": len(entries),
	})
	if c.mirror.Replace(entries, s.response.GetRevision()) {
		c.publish(now)
	}
	c.behindSince = time.Time{}
}

func (s storeUpdate) apply(c *control, now time.Time) {
	u := s.update
	if u.Err != nil {
		c.storeLost(u.Err)
		return
	}
	c.storeBack()
	changed := false
	if u.Full {
		c.freshness.Confirmed(now)
		changed = c.mirror.Replace(u.Entries, u.Revision)
	} else {
		changed = c.mirror.Apply(u.Events, u.Revision)
	}
	if changed {
		c.publish(now)
	}
}

func (c *control) storeLost(err error) {
	if !c.storeUp {
		return
	}
	c.storeUp = false
	c.edge.balancer.SetListing(false)
	c.edge.options.Log.Failure("store lost", err, decisionlog.Fields{"revision": c.mirror.Revision()})
}

func (c *control) storeBack() {
	if c.storeUp {
		return
	}
	c.storeUp = true
	c.edge.balancer.SetListing(true)
	c.edge.options.Log.Lifecycle("store regained", decisionlog.Fields{"revision": c.mirror.Revision()})
}

// publish puts the records in force.
func (c *control) publish(now time.Time) {
	entries := c.mirror.Entries()
	snapshot := c.edge.options.Provider.Translate(entries, now)
	c.publishRecords(entries)
	c.logProblems(snapshot.Problems)
	c.publishTable(snapshot.Table)
	c.publishInstances(snapshot.Instances)
	c.roster.SetListed(append(slices.Clone(c.edge.options.Settings.Seeds), snapshot.Routers...))
}

func (c *control) publishRecords(entries []kv.Entry) {
	records := &peerpb.StateResponse{Revision: c.mirror.Revision()}
	for _, e := range entries {
		records.Entries = append(records.Entries, &peerpb.StateEntry{Key: e.Key, Value: e.Value, Revision: e.ModRevision})
	}
	c.edge.records.Store(records)
}

// publishTable puts a configuration in force that isn't older than the last.
func (c *control) publishTable(table *routing.Table) {
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
		"config": table.Revision, "records_revision": c.mirror.Revision(), "store_up": c.storeUp,
	})
	// Others that the store doesn't reach learn of it at once.
	c.send(c.roster.Targets())
}

func (c *control) publishInstances(listed []instances.Instance) {
	c.edge.balancer.SetInstances(listed)
}

// logProblems logs the records that can't be read, when they change.
func (c *control) logProblems(problems []string) {
	if slices.Equal(problems, c.problems) {
		return
	}
	c.problems = problems
	c.edge.options.Log.Decision("records not readable", decisionlog.Fields{"problems": problems})
}

func (s strikeFound) apply(c *control, _ time.Time) {
	c.strikes = append(c.strikes, pendingStrike{strike: s.strike, rounds: strikeRounds})
	c.send(c.roster.Targets())
}

func (leaveAnnounced) apply(c *control, _ time.Time) {
	for range leaveDigests {
		c.send(c.roster.Everyone())
	}
}

func (s settingsChanged) apply(c *control, _ time.Time) {
	c.edge.options.Settings.Seeds = s.seeds
	c.roster.SetListed(s.seeds)
}
