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

// command is an event for the control goroutine to process.
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

type trialPublished struct{ trial *peerpb.Trial }

type leaveAnnounced struct{}

// loop is the state that the control goroutine owns.
type loop struct {
	manager *Manager
	options Options
	members *membership.Members
	average *averaging.Averager
	// news are the strikes and trials to send to other daemons.
	news   *containment.News
	budget *budget
	relays *relayTable
	// daemons holds the routers and directories in the host list by name.
	daemons map[string]hostlist.Host
	// sentAverages holds the averages sent with unanswered pings by sequence
	// number.
	sentAverages map[uint32]averaging.Message
	// lastPingBytes is the size of the last ping, from which roundInterval is
	// calculated.
	lastPingBytes int

	newestRevision PeerRevision
	hostListLoaded bool
	listFailing    bool
	topologyDirty  bool
	meansDirty     bool
}

// incarnationCounterBits is the number of low bits of an incarnation that a
// process uses as a counter; the high bits are its start time in seconds.
const incarnationCounterBits = 20

func newLoop(m *Manager) *loop {
	o := m.options
	return &loop{
		manager: m,
		options: o,
		members: membership.New(membership.Options{
			Self: o.Self, Incarnation: uint64(o.Now().Unix()) << incarnationCounterBits,
			Settings: o.Settings.Membership, Seed: o.Seed,
		}),
		average:       averaging.New(),
		news:          containment.NewNews(),
		budget:        newBudget(o.Settings.BytesPerSecond, o.Registry),
		relays:        newRelayTable(),
		daemons:       make(map[string]hostlist.Host),
		sentAverages:  make(map[uint32]averaging.Message),
		topologyDirty: true,
	}
}

// ticksPerProbeTimeout is the number of times per ProbeTimeout that timeouts are
// checked.
const ticksPerProbeTimeout = 4

// run processes commands and timers until ctx is done.
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

// roundInterval returns the time until the next round. In each round this daemon
// sends a ping and receives the ack; on average it also receives and answers one
// ping of another daemon.
func (l *loop) roundInterval() time.Duration {
	const datagramsPerRound = 4
	const shareForRounds = 0.8
	bytes := float64(datagramsPerRound * (l.lastPingBytes + headerBytes))
	affordable := bytes / (float64(l.budget.limiter.Limit()) * shareForRounds)
	return max(l.options.Settings.RoundInterval.Std(), time.Duration(affordable*float64(time.Second)))
}

// round probes one router and exchanges averages with it, unless the byte budget
// doesn't allow it.
func (l *loop) round(now time.Time) {
	l.average.SetLocal(l.localLoads())
	l.meansDirty = true
	if !l.budget.maySend(now, priorityProbe) {
		l.budget.recordRefused(kindPing)
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
	l.news.Forget(now)
	l.relays.expire(now)
}

// perform executes the effects returned by package membership.
func (l *loop) perform(now time.Time, effects []membership.Effect) {
	for _, e := range effects {
		switch e.Kind {
		case membership.SendProbe:
			l.sendProbe(now, e)
		case membership.SendRelayedProbe:
			l.sendRelayRequest(now, e)
		case membership.RouterChanged, membership.UpstreamChanged:
			l.recordChange(e)
		}
	}
}

func (l *loop) recordChange(e membership.Effect) {
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

// publishChanges publishes a new view if anything in it may have changed.
func (l *loop) publishChanges(now time.Time) {
	if !l.topologyDirty && !l.meansDirty {
		return
	}
	next := *l.manager.View()
	if l.topologyDirty {
		l.fillTopology(now, &next)
	}
	next.PoolMeans = l.poolMeans(now, &next)
	next.NewestRevision = l.newestRevision
	l.topologyDirty, l.meansDirty = false, false
	l.manager.publish(&next)
}

func (l *loop) fillTopology(now time.Time, v *View) {
	v.TopologyVersion++
	v.HostListLoaded = l.hostListLoaded
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

// poolMeans returns the mean load per router of each pool. A suspect router
// counts as idle: callers retry its requests on other routers at once, which
// count them, long before the suspect is declared failed.
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
	l.budget.recordListPoll(c.result.Bytes)
	l.recordListError(c.result.err)
	if !c.result.Changed {
		return
	}
	if c.result.Skipped > 0 {
		l.counter("list.entries_skipped").Inc(int64(c.result.Skipped))
		l.options.Logger.WithFields(logrus.Fields{"entries": c.result.Skipped, "last": c.result.Problem, "valid": len(c.result.Hosts)}).
			Warn("invalid entries of the host list skipped")
	}
	first := !l.hostListLoaded
	if first {
		l.hostListLoaded, l.topologyDirty = true, true
	}
	l.daemons = daemonsOf(c.result.Hosts)
	l.perform(now, l.members.ApplyHostList(now, c.result.Hosts))
	if first {
		// The ack carries the configuration revision of the peer, so that this daemon
		// learns the newest one without waiting for the next round.
		l.round(now)
	}
}

// recordListError counts failed polls and logs when the host list becomes
// unavailable and when it is available again.
func (l *loop) recordListError(err error) {
	if err != nil {
		l.counter("list.errors").Inc(1)
	}
	failing := err != nil
	if failing == l.listFailing {
		return
	}
	l.listFailing = failing
	if failing {
		l.options.Logger.WithError(err).Warn("host list unavailable")
		return
	}
	l.options.Logger.Info("host list available again")
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

func (c strikePublished) apply(l *loop, now time.Time) { l.news.AddStrike(now, c.strike) }

func (c trialPublished) apply(l *loop, now time.Time) { l.news.AddTrial(now, c.trial) }

// leaveRounds is the number of probe rounds run at once to tell other routers
// that this daemon is leaving.
const leaveRounds = 3

func (leaveAnnounced) apply(l *loop, now time.Time) {
	l.members.Leave()
	l.topologyDirty = true
	for range leaveRounds {
		l.round(now)
	}
}

// send marshals and sends a datagram if the budget allows it.
func (l *loop) send(now time.Time, to string, kind messageKind, priority sendPriority, d *peerpb.Datagram) {
	if !l.budget.maySend(now, priority) {
		l.budget.recordRefused(kind)
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
	l.budget.recordSent(now, kind, len(data))
	if _, err := l.manager.conn.WriteToUDPAddrPort(data, address); err != nil {
		l.counter("sent.errors").Inc(1)
	}
	l.recordPingSize(kind, len(data))
}

// recordPingSize records the size of pings for roundInterval.
func (l *loop) recordPingSize(kind messageKind, bytes int) {
	if kind == kindPing {
		l.lastPingBytes = bytes
	}
}

// datagram returns a datagram with this daemon's name, incarnation and
// configuration revision.
func (l *loop) datagram() *peerpb.Datagram {
	return &peerpb.Datagram{
		From:           l.options.Self.Name,
		Incarnation:    l.members.Incarnation(),
		ConfigRevision: l.manager.revision.Load(),
	}
}

// addGossip adds strikes, trials and membership updates for the receiver to a datagram.
func (l *loop) addGossip(d *peerpb.Datagram, to string) {
	d.Strikes = l.news.TakeStrikes(maxStrikesPerDatagram, len(l.daemons), l.options.BlamedStrikes)
	d.Trials = l.news.TakeTrials(maxTrialsPerDatagram, len(l.daemons))
	for _, update := range l.members.TakeUpdates(to, maxUpdatesPerDatagram) {
		if !addUpdate(d, update) {
			l.counter("news.no_room").Inc(1)
		}
	}
}
