package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
)

// Members is one daemon's knowledge of the members of the fleet.
type Members struct {
	settings Settings
	self     hostlist.Host
	// incarnation of this daemon. The daemon increases it to refute updates that
	// show it as suspect or failed.
	incarnation uint64
	leaving     bool

	routers   map[string]*router
	upstreams map[string]*upstream
	updates   *updateQueue
	prober    *prober
}

// New returns a Members that contains only this daemon. If it is a router, New
// queues an update that announces it.
func New(o Options) *Members {
	m := &Members{
		settings:    o.Settings,
		self:        o.Self,
		incarnation: o.Incarnation,
		routers:     make(map[string]*router),
		upstreams:   make(map[string]*upstream),
		updates:     newUpdateQueue(),
		prober:      newProber(rand.New(rand.NewPCG(o.Seed, o.Incarnation))),
	}
	if o.Self.Kind == hostlist.KindRouter {
		m.announceSelf()
	}
	return m
}

// RouterStatus is a router in use and its condition.
type RouterStatus struct {
	Host      hostlist.Host
	Condition Condition
}

// UpstreamStatus is an engine or service instance in the host list. An upstream
// that is held down is suspect.
type UpstreamStatus struct {
	Host      hostlist.Host
	Condition Condition
	// RecentlySuspect is set for a while after the upstream was suspect: it may
	// still hang, and a daemon that hasn't used it since should probe it first.
	RecentlySuspect bool
}

// Incarnation returns this daemon's current incarnation.
func (m *Members) Incarnation() uint64 { return m.incarnation }

// Routers returns the routers in use sorted by name, including this daemon if it
// is a router.
func (m *Members) Routers(now time.Time) []RouterStatus {
	var out []RouterStatus
	if m.self.Kind == hostlist.KindRouter {
		out = append(out, RouterStatus{Host: m.self, Condition: m.selfCondition()})
	}
	for _, r := range m.routers {
		if r.inUse(now) {
			out = append(out, RouterStatus{Host: r.host, Condition: r.effectiveCondition(now)})
		}
	}
	slices.SortFunc(out, func(a, b RouterStatus) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return out
}

// Upstreams returns the engines and service instances in the host list, sorted by
// name.
func (m *Members) Upstreams(now time.Time) []UpstreamStatus {
	var out []UpstreamStatus
	for _, u := range m.upstreams {
		if u.listed {
			out = append(out, UpstreamStatus{Host: u.host, Condition: u.effectiveCondition(now), RecentlySuspect: u.hold.recent(now)})
		}
	}
	slices.SortFunc(out, func(a, b UpstreamStatus) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return out
}

// Router returns the router with a name, whether or not it is in use. It returns
// false if the host list doesn't contain it.
func (m *Members) Router(name string) (hostlist.Host, bool) {
	if r, ok := m.routers[name]; ok {
		return r.host, true
	}
	return hostlist.Host{}, false
}

// TakeUpdates returns up to limit updates to send to a daemon. If that daemon is
// a suspect or failed router, the first update says so, so that it can refute it.
func (m *Members) TakeUpdates(to string, limit int) []Update {
	var out []Update
	if r, ok := m.routers[to]; ok && (r.condition == Suspect || r.condition == Failed) {
		out = append(out, r.asUpdate())
	}
	if len(out) >= limit {
		return out
	}
	return append(out, m.updates.take(limit-len(out), len(m.routers)+1)...)
}

// ApplyHostList replaces the host list. It ignores an empty list, since a fleet
// always has hosts.
func (m *Members) ApplyHostList(now time.Time, list []hostlist.Host) []Effect {
	if len(list) == 0 {
		return nil
	}
	seen := make(map[string]bool, len(list))
	var effects []Effect
	for _, host := range list {
		seen[host.Name] = true
		effects = append(effects, m.applyListed(now, host)...)
	}
	effects = append(effects, m.dropUnlisted(now, seen)...)
	return effects
}

func (m *Members) applyListed(now time.Time, host hostlist.Host) []Effect {
	switch host.Kind {
	case hostlist.KindRouter:
		return m.applyListedRouter(now, host)
	case hostlist.KindEngine, hostlist.KindService:
		return m.applyListedUpstream(now, host)
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

// ApplyUpdate processes an update received from another daemon.
func (m *Members) ApplyUpdate(now time.Time, update Update) []Effect {
	if update.Upstream {
		return m.applyUpstreamUpdate(now, update)
	}
	return m.applyRouterUpdate(now, update)
}

// Tick processes timeouts of probes, suspicions, hold-downs and leaving notices.
// The caller calls it a few times per ProbeTimeout.
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
