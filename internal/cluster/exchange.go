package cluster

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/averaging"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// isRouter reports whether this daemon takes part in averaging.
func (l *loop) isRouter() bool { return l.options.Self.Kind == hostlist.KindRouter }

// sendProbe pings a router; between routers the ping carries averages.
func (l *loop) sendProbe(now time.Time, e membership.Effect) {
	target, ok := l.members.Router(e.Host)
	if !ok {
		return
	}
	d := l.datagram()
	d.Body = &peerpb.Datagram_Ping{Ping: &peerpb.Ping{Sequence: e.Sequence}}
	if l.isRouter() {
		message := l.average.BeginRound(len(l.manager.View().Routers))
		l.rememberAverages(e.Sequence, message)
		d.Averages = averagesToProto(message)
	}
	l.addGossip(d, e.Host)
	l.send(now, target.PeerAddress, kindPing, urgencyProbe, d)
}

// unansweredKept is the number of rounds for which an answer still counts.
const unansweredKept = 8

func (l *loop) rememberAverages(sequence uint32, m averaging.Message) {
	l.sentAverages[sequence] = m
	delete(l.sentAverages, sequence-unansweredKept)
}

// sendRelayRequest asks a router to probe another.
func (l *loop) sendRelayRequest(now time.Time, e membership.Effect) {
	via, ok := l.members.Router(e.Via)
	if !ok {
		return
	}
	d := l.datagram()
	d.Body = &peerpb.Datagram_Ping{Ping: &peerpb.Ping{Sequence: e.Sequence, RelayTo: e.Host}}
	l.send(now, via.PeerAddress, kindRelay, urgencyAnswer, d)
}

func (c datagramReceived) apply(l *loop, now time.Time) {
	l.budget.received(now, kindOf(c.datagram), c.bytes)
	sender, ok := l.daemons[c.datagram.GetFrom()]
	if !c.valid || !ok || sender.PeerAddress != c.from.String() {
		l.counter("received.unknown").Inc(1)
		l.answerStranger(now, c)
		return
	}
	l.perform(now, l.members.RecordHeartbeat(now, sender.Name, c.datagram.GetIncarnation()))
	l.hearGossip(now, sender, c.datagram)
	switch body := c.datagram.GetBody().(type) {
	case *peerpb.Datagram_Ping:
		l.hearPing(now, sender, c.datagram, body.Ping)
	case *peerpb.Datagram_Ack:
		l.hearAck(now, sender, c.datagram, body.Ack)
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
		return kindOthers
	}
}

// answerStranger acknowledges the ping of a daemon that the list doesn't show
// yet, and tells it nothing else.
func (l *loop) answerStranger(now time.Time, c datagramReceived) {
	ping := c.datagram.GetPing()
	if !c.valid || ping == nil || ping.GetRelayTo() != "" {
		return
	}
	d := l.datagram()
	d.Body = &peerpb.Datagram_Ack{Ack: &peerpb.Ack{Sequence: ping.GetSequence()}}
	l.send(now, c.from.String(), kindAck, urgencyBareAnswer, d)
}

// hearGossip takes news, strikes and the revision from a datagram.
func (l *loop) hearGossip(now time.Time, sender hostlist.Host, d *peerpb.Datagram) {
	for _, n := range newsOf(d) {
		l.perform(now, l.members.ApplyUpdate(now, n))
	}
	for _, s := range d.GetStrikes() {
		if l.strikes.Add(now, s) {
			l.options.OnStrike(s)
		}
	}
	l.hearRevision(sender, d.GetConfigRevision())
}

func (l *loop) hearRevision(sender hostlist.Host, revision uint64) {
	if revision > l.newest.Revision {
		l.newest = PeerRevision{Revision: revision, PeerAddress: sender.PeerAddress}
		l.meansDirty = true
	}
	if revision > l.manager.revision.Load() {
		l.options.OnPeerRevision(sender.PeerAddress, revision)
	}
}

func (l *loop) hearPing(now time.Time, sender hostlist.Host, d *peerpb.Datagram, ping *peerpb.Ping) {
	if ping.GetRelayTo() != "" {
		l.relayProbe(now, sender, ping)
		return
	}
	answer := l.datagram()
	answer.Body = &peerpb.Datagram_Ack{Ack: &peerpb.Ack{Sequence: ping.GetSequence()}}
	if !l.budget.maySend(now, urgencyAnswer) {
		l.counter("sent.bare_answers").Inc(1)
		l.send(now, sender.PeerAddress, kindAck, urgencyBareAnswer, answer)
		return
	}
	if d.GetAverages() != nil && l.isRouter() {
		reply := l.average.Receive(sender.Name, averagesFromProto(d.GetAverages()))
		answer.Averages = averagesToProto(reply)
	}
	l.addGossip(answer, sender.Name)
	l.send(now, sender.PeerAddress, kindAck, urgencyAnswer, answer)
}

// relayProbe pings a router on behalf of another.
func (l *loop) relayProbe(now time.Time, sender hostlist.Host, ping *peerpb.Ping) {
	target, ok := l.members.Router(ping.GetRelayTo())
	if !ok {
		return
	}
	d := l.datagram()
	sequence := l.relays.add(now, relay{asker: sender.PeerAddress, sequence: ping.GetSequence(), target: target.Name})
	d.Body = &peerpb.Datagram_Ping{Ping: &peerpb.Ping{Sequence: sequence}}
	l.addGossip(d, target.Name)
	l.send(now, target.PeerAddress, kindRelay, urgencyAnswer, d)
}

func (l *loop) hearAck(now time.Time, sender hostlist.Host, d *peerpb.Datagram, ack *peerpb.Ack) {
	if target := ack.GetRelayedFor(); target != "" {
		l.members.ProbeAnswered(target, ack.GetSequence())
		return
	}
	if r, ok := l.relays.take(ack.GetSequence()); ok {
		l.answerRelay(now, r)
		return
	}
	l.members.ProbeAnswered(sender.Name, ack.GetSequence())
	sent, ok := l.sentAverages[ack.GetSequence()]
	if ok && d.GetAverages() != nil {
		delete(l.sentAverages, ack.GetSequence())
		l.average.Complete(sender.Name, sent, averagesFromProto(d.GetAverages()))
	}
}

func (l *loop) answerRelay(now time.Time, r relay) {
	d := l.datagram()
	d.Body = &peerpb.Datagram_Ack{Ack: &peerpb.Ack{Sequence: r.sequence, RelayedFor: r.target}}
	l.send(now, r.asker, kindRelay, urgencyBareAnswer, d)
}

// relay is a probe that this daemon makes for another.
type relay struct {
	asker    string
	sequence uint32
	target   string
	begun    time.Time
}

const (
	// relaySequenceBit tells relayed probes from own ones.
	relaySequenceBit = 1 << 31
	// relayLifetime is how long an answer is waited for.
	relayLifetime = 5 * time.Second
)

// relayTable holds the relays that wait for an answer.
type relayTable struct {
	pending  map[uint32]relay
	sequence uint32
}

func newRelayTable() *relayTable { return &relayTable{pending: make(map[uint32]relay)} }

// add records a relay and returns the sequence number of its probe.
func (t *relayTable) add(now time.Time, r relay) uint32 {
	t.sequence++
	sequence := t.sequence | relaySequenceBit
	r.begun = now
	t.pending[sequence] = r
	return sequence
}

// take removes and returns the relay of a sequence number.
func (t *relayTable) take(sequence uint32) (relay, bool) {
	r, ok := t.pending[sequence]
	delete(t.pending, sequence)
	return r, ok
}

func (t *relayTable) expire(now time.Time) {
	for sequence, r := range t.pending {
		if now.Sub(r.begun) > relayLifetime {
			delete(t.pending, sequence)
		}
	}
}
