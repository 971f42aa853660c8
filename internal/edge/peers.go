package edge

import (
	"slices"
	"strconv"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

type digestReceived struct{ received peering.Received }

func (d digestReceived) apply(c *control, now time.Time) {
	c.handleNews(now, d.received)
	if d.received.State != nil {
		c.handleState(now, d.received)
		return
	}
	if d.received.Streams != nil {
		c.edge.origins.LearnFromPeer(d.received.Streams)
		return
	}
	changes, isNew := c.members.RecordDigest(now, d.received.Router)
	c.handleMemberChanges(changes)
	c.members.RecordIndirect(now, d.received.Digest.GetHeard())
	c.edge.balancer.ApplyDigest(d.received.Router.Name, d.received.Digest)
	c.applyPeerConfirmation(now, d.received)
	if isNew || d.received.Router.StateRevision == 0 && c.mirror.Revision() > 0 {
		// The other router has just started, and may fetch a copy from this one.
		c.send(now, []string{d.received.Router.PeerAddress})
	}
	c.fetchCachedParts(d.received.Router)
	if d.received.Router.FetchNow && d.received.Router.ChangedRevision > c.mirror.Revision() && !c.follow.healthy() {
		c.fetchMissing(now)
		return
	}
	c.catchUp(now)
	c.fetchLaterConfiguration(now, d.received)
	c.confirm(now)
}

// fetchLaterConfiguration fetches the records of a router that applies a later
// configuration although its copy is no newer: it has kept the configuration over a
// restore of the store, and this router has started since.
func (c *control) fetchLaterConfiguration(now time.Time, r peering.Received) {
	table, have := c.edge.table.Load(), c.mirror.Revision()
	if table == nil || r.Digest.GetConfigRevision() <= table.Revision ||
		r.Router.ChangedRevision > have || kv.EraOf(r.Router.StateRevision) != kv.EraOf(have) ||
		c.records.fetching || now.Before(c.records.nextFetch) {
		return
	}
	c.records.nextFetch = now.Add(fetchInterval)
	c.records.fetching = true
	c.edge.options.Log.Decision("router applies a later configuration", decisionlog.Fields{
		"router": r.Router.Name, "config": r.Digest.GetConfigRevision(), "in_force": table.Revision, "era": kv.EraOf(have),
	})
	go c.edge.fetch(r.Router, &peerpb.StateRequest{})
}

// handleNews applies strikes, trials and rate limits, and queues the new strikes and
// trials for other routers.
func (c *control) handleNews(now time.Time, r peering.Received) {
	router, n := r.Router.Name, r.News
	c.edge.balancer.ApplyRateLimits(router, n.RateLimits, c.members.Delay(now, r.Router))
	c.applyStrikes(now, router, n.Strikes)
	for _, trial := range n.Trials {
		// A repeated report must not count as another trial.
		if !c.news.AddTrial(now, trial) || !c.edge.balancer.ApplyTrial(trial) {
			continue
		}
		c.edge.options.Log.Decision("trial received", decisionlog.Fields{
			"keys": len(trial.GetKeys()), "crashes": len(trial.GetCrashIds()), "router": router,
		})
	}
}

func (c *control) applyStrikes(now time.Time, router string, strikes []*peerpb.Strike) {
	for _, strike := range strikes {
		if !c.edge.balancer.ApplyStrike(strike) {
			continue
		}
		c.edge.options.Log.Decision("crash strike received", decisionlog.Fields{
			"fingerprint": strike.GetFingerprint(), "keys": len(strike.GetKeys()), "crash": strconv.FormatUint(strike.GetCrashId(), 16),
			"age_ms": strike.GetAgeMs(), "instance": strike.GetUpstream(), "router": router,
		})
		c.news.AddStrike(now, strike)
	}
}

// handleState applies changes of the records from a router that follows the store,
// and cached prompt parts from any router.
func (c *control) handleState(now time.Time, r peering.Received) {
	if len(r.State.GetHeld()) > 0 {
		c.edge.balancer.ApplyCachedParts(r.State.GetHeld())
	}
	delta, had := deltaFromProto(r.State), c.mirror.Revision()
	c.members.Advance(r.Router.Name, delta.ChangedRevision, delta.Revision)
	if c.mirror.Merge(delta) {
		c.handleEraChange(had, r.Router.Name)
		c.revisionAdvanced(now)
		c.clearUnconfirmed(now)
		c.publish(now)
	}
	c.catchUp(now)
}

func deltaFromProto(s *peerpb.StateResponse) mirror.Delta {
	d := mirror.Delta{
		Full: s.GetFromRevision() == 0, FromRevision: kv.JoinRevision(s.GetFromEra(), s.GetFromRevision()),
		Revision: kv.JoinRevision(s.GetEra(), s.GetRevision()), Removed: s.GetRemoved(),
		ChangedRevision: kv.JoinRevision(s.GetEra(), s.GetChangedRevision()), Complete: s.GetComplete(),
	}
	for _, e := range s.GetEntries() {
		d.Entries = append(d.Entries, kv.Entry{Key: e.GetKey(), Value: e.GetValue(), ModRevision: kv.JoinRevision(e.GetEra(), e.GetRevision())})
		if e.GetKept() {
			d.Kept = append(d.Kept, e.GetKey())
		}
	}
	return d
}

// deltaToProto returns the message for a delta. Revision and ChangedRevision are of
// one era: after a change of the era, a copy is read anew as a whole.
func deltaToProto(d mirror.Delta) *peerpb.StateResponse {
	s := &peerpb.StateResponse{
		Revision: kv.RawRevision(d.Revision), FromRevision: kv.RawRevision(d.FromRevision), Removed: d.Removed,
		ChangedRevision: kv.RawRevision(d.ChangedRevision), Complete: d.Complete,
		Era: kv.EraOf(d.Revision), FromEra: kv.EraOf(d.FromRevision),
	}
	for _, e := range d.Entries {
		s.Entries = append(s.Entries, &peerpb.StateEntry{
			Key: e.Key, Value: e.Value, Revision: kv.RawRevision(e.ModRevision), Era: kv.EraOf(e.ModRevision),
			Kept: slices.Contains(d.Kept, e.Key),
		})
	}
	return s
}

// stateRequested is another router's request for the changes that its copy lacks.
type stateRequested struct {
	request *peerpb.StateRequest
	reply   chan *peerpb.StateResponse
}

func (s stateRequested) apply(c *control, _ time.Time) {
	response := &peerpb.StateResponse{}
	have := kv.JoinRevision(s.request.GetHaveEra(), s.request.GetHaveRevision())
	if delta, ok := c.mirror.Since(have); ok {
		response = deltaToProto(delta)
	}
	if s.request.GetWithHeld() {
		response.Held, response.HeldComplete = c.edge.balancer.CachedParts(), c.inventory.complete
		response.Strikes = c.edge.balancer.Strikes(strikesPerCopy)
	}
	s.reply <- response
}

// strikesPerCopy bounds the strikes that a router that starts gets with its first copy of
// the records.
const strikesPerCopy = 256

// stateReplyTimeout bounds the wait for the control goroutine's reply.
const stateReplyTimeout = time.Second

// stateFor returns the response to another router's request. When the control goroutine
// doesn't reply in time, it sends the other router elsewhere.
func (e *Edge) stateFor(request *peerpb.StateRequest) *peerpb.StateResponse {
	reply := make(chan *peerpb.StateResponse, 1)
	e.post(stateRequested{request: request, reply: reply})
	select {
	case response := <-reply:
		return response
	case <-time.After(stateReplyTimeout):
		return &peerpb.StateResponse{Busy: true}
	}
}
