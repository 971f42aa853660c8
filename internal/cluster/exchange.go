package cluster

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/averaging"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// isRouter reports whether this daemon is a router; only routers exchange
// averages.
func (l *loop) isRouter() bool { return l.options.Self.Kind == hostlist.KindRouter }

// sendProbe pings a router. If this daemon is a router, the ping carries averages.
func (l *loop) sendProbe(now time.Time, e membership.Effect) {
	target, ok := l.members.Router(e.Host)
	if !ok {
		return
	}
	d := l.datagram()
	d.Body = &peerpb.Datagram_Ping{Ping: &peerpb.Ping{Sequence: e.Sequence}}
	if l.isRouter() {
		message := l.average.BeginRound(len(l.manager.View().Routers))
		l.recordSentAverages(e.Sequence, message)
		d.Averages = averagesToProto(message)
	}
	l.addGossip(d, e.Host)
	l.send(now, target.PeerAddress, kindPing, priorityProbe, d)
}

// maxUnansweredRounds is the number of rounds after which the averages in an ack
// are ignored.
const maxUnansweredRounds = 8

func (l *loop) recordSentAverages(sequence uint32, m averaging.Message) {
	l.sentAverages[sequence] = m
	delete(l.sentAverages, sequence-maxUnansweredRounds)
}

// sendRelayRequest asks one router to probe another.
func (l *loop) sendRelayRequest(now time.Time, e membership.Effect) {
	via, ok := l.members.Router(e.Via)
	if !ok {
		return
	}
	d := l.datagram()
	d.Body = &peerpb.Datagram_Ping{Ping: &peerpb.Ping{Sequence: e.Sequence, RelayTo: e.Host}}
	l.send(now, via.PeerAddress, kindRelay, priorityReply, d)
}

func (c datagramReceived) apply(l *loop, now time.Time) {
	l.budget.recordReceived(now, kindOf(c.datagram), c.bytes)
	sender, ok := l.daemons[c.datagram.GetFrom()]
	if !c.valid || !ok || sender.PeerAddress != c.from.String() {
		l.counter("received.unknown").Inc(1)
		l.ackUnlisted(now, c)
		return
	}
	l.perform(now, l.members.RecordHeartbeat(now, sender.Name, c.datagram.GetIncarnation()))
	l.applyGossip(now, sender, c.datagram)
	switch body := c.datagram.GetBody().(type) {
	case *peerpb.Datagram_Ping:
		l.handlePing(now, sender, c.datagram, body.Ping)
	case *peerpb.Datagram_Ack:
		l.handleAck(now, sender, c.datagram, body.Ack)
	}
}

func kindOf(d *peerpb.Datagram) messageKind {
	switch {
	case d.GetPing().GetRelayTo() != "" || d.GetAck().GetRelayedFor() != "":
		return kindRelay
	case d.GetPing() != nil:
		return kindPing
	case d.GetAck() != nil:
		return kindAck
	default:
		return kindOther
	}
}

// ackUnlisted acknowledges the ping of a daemon that isn't in this daemon's host
// list yet. The ack carries no averages or gossip.
func (l *loop) ackUnlisted(now time.Time, c datagramReceived) {
	ping := c.datagram.GetPing()
	if !c.valid || ping == nil || ping.GetRelayTo() != "" {
		return
	}
	d := l.datagram()
	d.Body = &peerpb.Datagram_Ack{Ack: &peerpb.Ack{Sequence: ping.GetSequence()}}
	l.send(now, c.from.String(), kindAck, priorityBareAck, d)
}

// applyGossip processes the membership updates, strikes, trials and configuration
// revision in a datagram.
func (l *loop) applyGossip(now time.Time, sender hostlist.Host, d *peerpb.Datagram) {
	for _, update := range updatesOf(d) {
		l.perform(now, l.members.ApplyUpdate(now, update))
	}
	for _, s := range d.GetStrikes() {
		if l.news.AddStrike(now, s) {
			l.options.OnStrike(s)
		}
	}
	for _, t := range d.GetTrials() {
		if l.news.AddTrial(now, t) {
			l.options.OnTrial(t)
		}
	}
	l.recordRevision(sender, d.GetConfigRevision())
}

func (l *loop) recordRevision(sender hostlist.Host, revision uint64) {
	if revision > l.newestRevision.Revision {
		l.newestRevision = PeerRevision{Revision: revision, PeerAddress: sender.PeerAddress}
		l.meansDirty = true
	}
	if revision > l.manager.revision.Load() {
		l.options.OnPeerRevision(sender.PeerAddress, revision)
	}
}

func (l *loop) handlePing(now time.Time, sender hostlist.Host, d *peerpb.Datagram, ping *peerpb.Ping) {
	if ping.GetRelayTo() != "" {
		l.relayProbe(now, sender, ping)
		return
	}
	ack := l.datagram()
	ack.Body = &peerpb.Datagram_Ack{Ack: &peerpb.Ack{Sequence: ping.GetSequence()}}
	if !l.budget.maySend(now, priorityReply) {
		l.counter("sent.bare_answers").Inc(1)
		l.send(now, sender.PeerAddress, kindAck, priorityBareAck, ack)
		return
	}
	if d.GetAverages() != nil && l.isRouter() {
		reply := l.average.Receive(sender.Name, averagesFromProto(d.GetAverages()))
		ack.Averages = averagesToProto(reply)
	}
	l.addGossip(ack, sender.Name)
	l.send(now, sender.PeerAddress, kindAck, priorityReply, ack)
}

// relayProbe pings a router on behalf of the sender.
func (l *loop) relayProbe(now time.Time, sender hostlist.Host, ping *peerpb.Ping) {
	target, ok := l.members.Router(ping.GetRelayTo())
	if !ok {
		return
	}
	d := l.datagram()
	sequence := l.relays.add(now, relay{requester: sender.PeerAddress, sequence: ping.GetSequence(), target: target.Name})
	d.Body = &peerpb.Datagram_Ping{Ping: &peerpb.Ping{Sequence: sequence}}
	l.addGossip(d, target.Name)
	l.send(now, target.PeerAddress, kindRelay, priorityReply, d)
}

func (l *loop) handleAck(now time.Time, sender hostlist.Host, d *peerpb.Datagram, ack *peerpb.Ack) {
	if target := ack.GetRelayedFor(); target != "" {
		l.members.ProbeAnswered(target, ack.GetSequence())
		return
	}
	if r, ok := l.relays.take(ack.GetSequence()); ok {
		l.ackRelayed(now, r)
		return
	}
	l.members.ProbeAnswered(sender.Name, ack.GetSequence())
	sent, ok := l.sentAverages[ack.GetSequence()]
	if ok && d.GetAverages() != nil {
		delete(l.sentAverages, ack.GetSequence())
		l.average.Complete(sender.Name, sent, averagesFromProto(d.GetAverages()))
	}
}

func (l *loop) ackRelayed(now time.Time, r relay) {
	d := l.datagram()
	d.Body = &peerpb.Datagram_Ack{Ack: &peerpb.Ack{Sequence: r.sequence, RelayedFor: r.target}}
	l.send(now, r.requester, kindRelay, priorityBareAck, d)
}

// relay is a probe that this daemon sends for another one.
type relay struct {
	requester string
	sequence  uint32
	target    string
	startedAt time.Time
}

const (
	// relaySequenceBit is set in the sequence numbers of probes sent for other
	// daemons and distinguishes them from this daemon's own probes.
	relaySequenceBit = 1 << 31
	// relayTimeout is how long a relay waits for the ack.
	relayTimeout = 5 * time.Second
)

// relayTable holds the relays that wait for an ack.
type relayTable struct {
	pending  map[uint32]relay
	sequence uint32
}

func newRelayTable() *relayTable { return &relayTable{pending: make(map[uint32]relay)} }

// add records a relay and returns the sequence number for its probe.
func (t *relayTable) add(now time.Time, r relay) uint32 {
	t.sequence++
	sequence := t.sequence | relaySequenceBit
	r.startedAt = now
	t.pending[sequence] = r
	return sequence
}

// take removes and returns the relay with a sequence number.
func (t *relayTable) take(sequence uint32) (relay, bool) {
	r, ok := t.pending[sequence]
	delete(t.pending, sequence)
	return r, ok
}

func (t *relayTable) expire(now time.Time) {
	for sequence, r := range t.pending {
		if now.Sub(r.startedAt) > relayTimeout {
			delete(t.pending, sequence)
		}
	}
}
