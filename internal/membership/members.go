package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
)

// Members is the state of one daemon's knowledge about the fleet.
type Members struct {
	settings Settings
	self     hostlist.Host
	// incarnation of this daemon; raised to refute news of its failure.
	incarnation uint64
	leaving     bool

	routers   map[string]*router
	upstreams map[string]*upstream
	news      *newsQueue
	prober    *prober
}

// New returns a Members that knows only its own daemon and announces it if it
// is a router.
func New(o Options) *Members {
	m := &Members{
		settings:    o.Settings,
		self:        o.Self,
		incarnation: o.Incarnation,
		routers:     make(map[string]*router),
		upstreams:   make(map[string]*upstream),
		news:        newNewsQueue(),
		prober:      newProber(rand.New(rand.NewPCG(o.Seed, o.Incarnation))),
	}
	if o.Self.Kind == hostlist.KindRouter {
		m.announceSelf()
	}
	return m
}

// RouterStatus is a router in use.
type RouterStatus struct {
	Host      hostlist.Host
	Condition Condition
}

// UpstreamStatus is a listed engine or service instance. One that is held down
// counts as suspect.
type UpstreamStatus struct {
	Host      hostlist.Host
	Condition Condition
	// RecentlySuspect is set for a while after an upstream was suspect: it may still
	// hang, and a daemon that hasn't used it since should ask it first.
	RecentlySuspect bool
}

// Incarnation returns this daemon's current incarnation.
func (m *Members) Incarnation() uint64 { return m.incarnation }

// Routers returns the routers in use, this one included if it is a router, in
// name order.
func (m *Members) Routers(now time.Time) []RouterStatus {
	var out []RouterStatus
	if m.self.Kind == hostlist.KindRouter {
		out = append(out, RouterStatus{Host: m.self, Condition: m.selfCondition()})
	}
	for _, r := range m.routers {
		if r.inUse(now) {
			out = append(out, RouterStatus{Host: r.host, Condition: r.shown(now)})
		}
	}
	slices.SortFunc(out, func(a, b RouterStatus) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return out
}

// Upstreams returns the listed engines and service instances in name order.
func (m *Members) Upstreams(now time.Time) []UpstreamStatus {
	var out []UpstreamStatus
	for _, u := range m.upstreams {
		if u.listed {
			out = append(out, UpstreamStatus{Host: u.host, Condition: u.shown(now), RecentlySuspect: u.hold.recent(now)})
		}
	}
	slices.SortFunc(out, func(a, b UpstreamStatus) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return out
}

// Router returns the listed router of a name, in use or not; false when the
// list has none.
func (m *Members) Router(name string) (hostlist.Host, bool) {
	if r, ok := m.routers[name]; ok {
		return r.host, true
	}
	return hostlist.Host{}, false
}

// TakeUpdates returns up to limit pieces of news to pass on, first what the
// receiver must know about itself to refute it.
func (m *Members) TakeUpdates(to string, limit int) []Update {
	var out []Update
	if r, ok := m.routers[to]; ok && (r.condition == Suspect || r.condition == Failed) {
		out = append(out, r.asNews())
	}
	if len(out) >= limit {
		return out
	}
	return append(out, m.news.take(limit-len(out), len(m.routers)+1)...)
}

// ApplyHostList takes the platform's list. An empty list is ignored, since a fleet
// with no host can't be.
func (m *Members) ApplyHostList(now time.Time, list []hostlist.Host) []Effect {
	if len(list) == 0 {
		return nil
	}
	seen := make(map[string]bool, len(list))
	var effects []Effect
	for _, host := range list {
		seen[host.Name] = true
		effects = append(effects, m.hearListed(now, host)...)
	}
	effects = append(effects, m.dropUnlisted(now, seen)...)
	return effects
}

func (m *Members) hearListed(now time.Time, host hostlist.Host) []Effect {
	switch host.Kind {
	case hostlist.KindRouter:
		return m.hearListedRouter(now, host)
	case hostlist.KindEngine, hostlist.KindService:
		return m.hearListedUpstream(now, host)
	default:
		return nil
	}
}

func (m *Members) dropUnlisted(now time.Time, seen map[string]bool) []Effect {
	var effects []Effect
	for name := range m.routers {
		if !seen[name] {
			delete(m.routers, name)
			effects = append(effects, Effect{Kind: RouterChanged, Host: name, Condition: Gone})
		}
	}
	for name, u := range m.upstreams {
		if !seen[name] && u.listed {
			u.unlist(now)
			effects = append(effects, u.report(now)...)
		}
	}
	slices.SortFunc(effects, func(a, b Effect) int { return cmp.Compare(a.Host, b.Host) })
	return effects
}

// ApplyUpdate takes gossip.
func (m *Members) ApplyUpdate(now time.Time, n Update) []Effect {
	if n.Upstream {
		return m.hearUpstreamNews(now, n)
	}
	return m.hearRouterNews(now, n)
}

// Tick ends time spans: probes, suspicions, hold-downs and notices. Call it a
// few times in each ProbeTimeout.
func (m *Members) Tick(now time.Time) []Effect {
	effects := m.tickProbes(now)
	for _, name := range sortedKeys(m.routers) {
		effects = append(effects, m.tickRouter(now, m.routers[name])...)
	}
	for _, name := range sortedKeys(m.upstreams) {
		effects = append(effects, m.tickUpstream(now, m.upstreams[name])...)
	}
	return effects
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
