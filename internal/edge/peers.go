package edge

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

type digestReceived struct{ received peering.Received }

func (d digestReceived) apply(c *control, now time.Time) {
	if d.received.State != nil {
		c.handleState(now, d.received)
		return
	}
	changes, isNew := c.members.RecordDigest(now, d.received.Router)
	c.handleMemberChanges(changes)
	c.members.RecordIndirect(now, d.received.Digest.GetHeard())
	c.edge.balancer.ApplyDigest(d.received.Router.Name, d.received.Digest)
	c.applyPeerConfirmation(now, d.received)
	c.handleStrikes(now, d.received)
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
}

// handleStrikes applies strikes and queues the new ones for other routers.
func (c *control) handleStrikes(now time.Time, r peering.Received) {
	for _, strike := range r.Strikes {
		if !c.edge.balancer.ApplyStrike(strike) {
			continue
		}
		c.edge.options.Log.Decision("crash strike received", decisionlog.Fields{
			"fingerprint": strike.GetFingerprint(), "instance": strike.GetUpstream(), "router": r.Router.Name,
		})
		c.pendingStrikes.Add(now, strike)
	}
}

// handleState applies changes of the records from a router that follows the store,
// and cached prompt parts from any router.
func (c *control) handleState(now time.Time, r peering.Received) {
	if len(r.State.GetHeld()) > 0 {
		c.edge.balancer.ApplyCachedParts(r.State.GetHeld())
	}
	c.members.Advance(r.Router.Name, r.State.GetChangedRevision(), r.State.GetRevision())
	if c.mirror.Merge(deltaFromProto(r.State)) {
		c.revisionAdvanced(now)
		c.clearUnconfirmed(now)
		c.publish(now)
	}
	c.catchUp(now)
}

func deltaFromProto(s *peerpb.StateResponse) mirror.Delta {
	d := mirror.Delta{
		Full: s.GetFromRevision() == 0, FromRevision: s.GetFromRevision(), Revision: s.GetRevision(), Removed: s.GetRemoved(),
		ChangedRevision: s.GetChangedRevision(), Complete: s.GetComplete(),
	}
	for _, e := range s.GetEntries() {
		d.Entries = append(d.Entries, kv.Entry{Key: e.GetKey(), Value: e.GetValue(), ModRevision: e.GetRevision()})
	}
	return d
}

func deltaToProto(d mirror.Delta) *peerpb.StateResponse {
	s := &peerpb.StateResponse{
		Revision: d.Revision, FromRevision: d.FromRevision, Removed: d.Removed, ChangedRevision: d.ChangedRevision, Complete: d.Complete,
	}
	for _, e := range d.Entries {
		s.Entries = append(s.Entries, &peerpb.StateEntry{Key: e.Key, Value: e.Value, Revision: e.ModRevision})
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
	if delta, ok := c.mirror.Since(s.request.GetHaveRevision()); ok {
		response = deltaToProto(delta)
	}
	if s.request.GetWithHeld() {
		response.Held, response.HeldComplete = c.edge.balancer.CachedParts(), c.inventory.complete
	}
	s.reply <- response
}

// stateReplyTimeout bounds the wait for the control goroutine's reply.
const stateReplyTimeout = time.Second

// stateFor returns the response to another router's request. It is empty when the
// control goroutine doesn't reply in time.
func (e *Edge) stateFor(request *peerpb.StateRequest) *peerpb.StateResponse {
	reply := make(chan *peerpb.StateResponse, 1)
	e.post(stateRequested{request: request, reply: reply})
	select {
	case response := <-reply:
		return response
	case <-time.After(stateReplyTimeout):
		return &peerpb.StateResponse{}
	}
}
