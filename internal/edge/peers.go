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
		c.hearState(now, d.received)
		return
	}
	changes, isNew := c.roster.RecordDigest(now, d.received.Router)
	c.rosterChanged(changes)
	c.roster.RecordIndirect(now, d.received.Digest.GetHeard())
	c.edge.balancer.ApplyDigest(d.received.Router.Name, d.received.Digest)
	c.hearConfirmation(now, d.received)
	c.hearStrikes(now, d.received)
	if isNew || d.received.Router.StateRevision == 0 && c.mirror.Revision() > 0 {
		// It has just started, and may fetch a copy here.
		c.send(now, []string{d.received.Router.PeerAddress})
	}
	c.askHeld(d.received.Router)
	if d.received.Router.FetchNow && d.received.Router.ChangedRevision > c.mirror.Revision() && !c.follow.healthy() {
		c.fetchLacking(now)
		return
	}
	c.catchUp(now)
}

// hearStrikes takes strikes and passes on those that are news.
func (c *control) hearStrikes(now time.Time, r peering.Received) {
	for _, strike := range r.Strikes {
		if !c.edge.balancer.ApplyStrike(strike) {
			continue
		}
		c.edge.options.Log.Decision("strike heard", decisionlog.Fields{
			"fingerprint": strike.GetFingerprint(), "instance": strike.GetUpstream(), "router": r.Router.Name,
		})
		c.strikes.Add(now, strike)
	}
}

// hearState takes changes of the records from a router that follows the store.
func (c *control) hearState(now time.Time, r peering.Received) {
	if len(r.State.GetHeld()) > 0 {
		c.edge.balancer.ApplyCachedParts(r.State.GetHeld())
	}
	c.roster.Advance(r.Router.Name, r.State.GetChangedRevision(), r.State.GetRevision())
	if c.mirror.Merge(deltaFromProto(r.State)) {
		c.advanced(now)
		c.noteConfirmed(now)
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

// stateAsked is another router's request for what its copy lacks.
type stateAsked struct {
	request *peerpb.StateRequest
	reply   chan *peerpb.StateResponse
}

func (s stateAsked) apply(c *control, _ time.Time) {
	response := &peerpb.StateResponse{}
	if delta, ok := c.mirror.Since(s.request.GetHaveRevision()); ok {
		response = deltaToProto(delta)
	}
	if s.request.GetWithHeld() {
		response.Held, response.HeldComplete = c.edge.balancer.CachedParts(), c.warm.complete
	}
	s.reply <- response
}

// controlPatience bounds the wait for the control goroutine.
const controlPatience = time.Second

// stateFor answers another router; empty when the control goroutine is busy.
func (e *Edge) stateFor(request *peerpb.StateRequest) *peerpb.StateResponse {
	reply := make(chan *peerpb.StateResponse, 1)
	e.post(stateAsked{request: request, reply: reply})
	select {
	case response := <-reply:
		return response
	case <-time.After(controlPatience):
		return &peerpb.StateResponse{}
	}
}
