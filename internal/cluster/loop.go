package cluster

import (
	"context"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/averaging"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// command is a message to the control goroutine.
type command interface {
	apply(l *loop, now time.Time)
}

type datagramReceived struct {
	from     netip.AddrPort
	datagram *peerpb.Datagram
	bytes    int
	valid    bool
}

type listPolled struct{ result listResult }

type upstreamReport struct {
	name   string
	result ConnResult
}

type peerReport struct {
	name string
	ok   bool
}

type strikePublished struct{ strike *peerpb.Strike }

type leaveAnnounced struct{}

// loop is the state that the control goroutine owns.
type loop struct {
	manager *Manager
	options Options
	members *membership.Members
	average *averaging.Averager
	strikes *containment.Queue
	budget  *budget
	relays  *relayTable
	// daemons are the listed routers and directories by name.
	daemons map[string]hostlist.Host
	// sentAverages are the averages sent with the pings that aren't answered.
	sentAverages map[uint32]averaging.Message
	// datagramBytes is the size of the last ping, to pace the rounds.
	datagramBytes int

	newest        PeerRevision
	listed        bool
	listFailing   bool
	topologyDirty bool
	meansDirty    bool
}

// processBits is the width of the part of an incarnation that a process counts
// up itself; the rest is its start time in seconds.
const processBits = 20

func newLoop(m *Manager) *loop {
	o := m.options
	return &loop{
		manager: m,
		options: o,
		members: membership.New(membership.Options{
			Self: o.Self, Incarnation: uint64(o.Now().Unix()) << processBits,
			Settings: o.Settings.Membership, Seed: o.Seed,
		}),
		average:       averaging.New(),
		strikes:       containment.NewQueue(),
		budget:        newBudget(o.Settings.BytesPerSecond, o.Registry),
		relays:        newRelayTable(),
		daemons:       make(map[string]hostlist.Host),
		sentAverages:  make(map[uint32]averaging.Message),
		topologyDirty: true,
	}
}

// ticksPerProbeTimeout is how often time spans are checked.
const ticksPerProbeTimeout = 4

// run handles commands and timers until the context ends.
func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(l.options.Settings.Membership.ProbeTimeout.Std() / ticksPerProbeTimeout)
	defer ticker.Stop()
	round := time.NewTimer(0)
	defer round.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-l.manager.commands:
			c.apply(l, l.options.Now())
		case <-round.C:
			l.round(l.options.Now())
			round.Reset(l.roundInterval())
		case <-ticker.C:
			l.tick(l.options.Now())
		}
		l.publishChanges(l.options.Now())
	}
}

// roundInterval is the time to the next round: a round costs this daemon a
// ping and its answer, and on average those of another daemon.
func (l *loop) roundInterval() time.Duration {
	const datagramsPerRound = 4
	const shareForRounds = 0.8
	bytes := float64(datagramsPerRound * (l.datagramBytes + headerBytes))
	affordable := bytes / (float64(l.budget.limiter.Limit()) * shareForRounds)
	return max(l.options.Settings.RoundInterval.Std(), time.Duration(affordable*float64(time.Second)))
}

// round probes one router and exchanges averages with it.
func (l *loop) round(now time.Time) {
	l.average.SetLocal(l.localLoads())
	l.meansDirty = true
	if !l.budget.maySend(now, urgencyProbe) {
		l.budget.refused(kindPing)
		return
	}
	l.perform(now, l.members.ProbeRound(now))
}

func (l *loop) localLoads() []averaging.PoolLoad {
	var out []averaging.PoolLoad
	for pool, inFlight := range l.options.LoadSource() {
		out = append(out, averaging.PoolLoad{Pool: pool, InFlight: float64(inFlight)})
	}
	return out
}

func (l *loop) tick(now time.Time) {
	l.perform(now, l.members.Tick(now))
	l.strikes.Forget(now)
	l.relays.expire(now)
}

// perform carries out effects of the membership.
func (l *loop) perform(now time.Time, effects []membership.Effect) {
	for _, e := range effects {
		switch e.Kind {
		case membership.SendProbe:
			l.sendProbe(now, e)
		case membership.SendRelayedProbe:
			l.sendRelayRequest(now, e)
		case membership.RouterChanged, membership.UpstreamChanged:
			l.changed(e)
		}
	}
}

func (l *loop) changed(e membership.Effect) {
	l.topologyDirty = true
	kind := "upstream"
	if e.Kind == membership.RouterChanged {
		kind = "router"
	}
	l.counter("changes." + kind + "." + e.Condition.String()).Inc(1)
	l.options.Logger.WithFields(logrus.Fields{kind: e.Host, "condition": e.Condition.String()}).Info(kind + " changed")
}

func (l *loop) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("cluster."+name, l.options.Registry)
}

// publishChanges publishes a view if anything in it changed.
func (l *loop) publishChanges(now time.Time) {
	if !l.topologyDirty && !l.meansDirty {
		return
	}
	next := *l.manager.View()
	if l.topologyDirty {
		l.fillTopology(now, &next)
	}
	next.PoolMeans = l.poolMeans(now, &next)
	next.NewestRevision = l.newest
	l.topologyDirty, l.meansDirty = false, false
	l.manager.publish(&next)
}

func (l *loop) fillTopology(now time.Time, v *View) {
	v.TopologyVersion++
	v.HostListLoaded = l.listed
	v.Routers = routerViews(l.members.Routers(now))
	v.Owners = ownerNames(v.Routers)
	v.regionOwners = ownersByRegion(v.Routers, v.Owners)
	v.Upstreams = upstreamViews(l.members.Upstreams(now))
	l.gauge("routers").Update(int64(len(v.Routers)))
	l.gauge("upstreams").Update(int64(len(v.Upstreams)))
}

func (l *loop) gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge("cluster."+name, l.options.Registry)
}

// poolMeans returns the mean load per router. A suspect router counts as idle:
// callers take its requests to other routers at once, which count them, long
// before it is known to have failed.
func (l *loop) poolMeans(now time.Time, v *View) map[uint32]float64 {
	out := make(map[uint32]float64)
	if len(v.Routers) == 0 {
		return out
	}
	names := make([]string, 0, len(v.Routers))
	for _, r := range l.members.Routers(now) {
		if r.Condition != membership.Suspect {
			names = append(names, r.Host.Name)
		}
	}
	share := float64(len(names)) / float64(len(v.Routers))
	for _, mean := range l.average.Means(v.Self, names) {
		out[mean.Pool] = mean.InFlight * share
	}
	return out
}

func (c listPolled) apply(l *loop, now time.Time) {
	l.budget.listed(c.result.Bytes)
	l.noteListError(c.result.err)
	if !c.result.Changed {
		return
	}
	first := !l.listed
	if first {
		l.listed, l.topologyDirty = true, true
	}
	l.daemons = daemonsOf(c.result.Hosts)
	l.perform(now, l.members.ApplyHostList(now, c.result.Hosts))
	if first {
		// The answer tells the newest configuration revision.
		l.round(now)
	}
}

// noteListError logs when the list becomes unavailable and available again.
func (l *loop) noteListError(err error) {
	if err != nil {
		l.counter("list.errors").Inc(1)
	}
	failing := err != nil
	if failing == l.listFailing {
		return
	}
	l.listFailing = failing
	if failing {
		l.options.Logger.WithError(err).Warn("host list lost")
		return
	}
	l.options.Logger.Info("host list available")
}

func daemonsOf(hosts []hostlist.Host) map[string]hostlist.Host {
	out := make(map[string]hostlist.Host)
	for _, h := range hosts {
		if h.Kind == hostlist.KindRouter || h.Kind == hostlist.KindDirectory {
			out[h.Name] = h
		}
	}
	return out
}

func (c upstreamReport) apply(l *loop, now time.Time) {
	l.perform(now, l.members.ReportUpstream(now, c.name, c.result))
}

func (c peerReport) apply(l *loop, _ time.Time) { l.members.ReportRouter(c.name, c.ok) }

func (c strikePublished) apply(l *loop, now time.Time) { l.strikes.Add(now, c.strike) }

// leavingRounds is the number of routers that are told at once of a leave.
const leavingRounds = 3

func (leaveAnnounced) apply(l *loop, now time.Time) {
	l.members.Leave()
	l.topologyDirty = true
	for range leavingRounds {
		l.round(now)
	}
}

// send marshals and sends a datagram if the budget allows.
func (l *loop) send(now time.Time, to string, kind messageKind, u urgency, d *peerpb.Datagram) {
	if !l.budget.maySend(now, u) {
		l.budget.refused(kind)
		return
	}
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		l.counter("sent.bad_address").Inc(1)
		return
	}
	data, err := proto.Marshal(d)
	if err != nil {
		l.counter("sent.errors").Inc(1)
		return
	}
	l.budget.sent(now, kind, len(data))
	if _, err := l.manager.conn.WriteToUDPAddrPort(data, address); err != nil {
		l.counter("sent.errors").Inc(1)
	}
	l.noteSize(kind, len(data))
}

// noteSize remembers the size of pings, from which the rounds are paced.
func (l *loop) noteSize(kind messageKind, bytes int) {
	if kind == kindPing {
		l.datagramBytes = bytes
	}
}

// datagram returns a datagram with this daemon's identity.
func (l *loop) datagram() *peerpb.Datagram {
	return &peerpb.Datagram{
		From:           l.options.Self.Name,
		Incarnation:    l.members.Incarnation(),
		ConfigRevision: l.manager.revision.Load(),
	}
}

// addGossip fills a datagram with news and strikes for its receiver.
func (l *loop) addGossip(d *peerpb.Datagram, to string) {
	d.Strikes = l.strikes.Take(strikesPerDatagram, len(l.daemons))
	for _, n := range l.members.TakeUpdates(to, maxNews) {
		if !addNews(d, n) {
			l.counter("news.no_room").Inc(1)
		}
	}
}
