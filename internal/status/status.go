// Package status reads the admin pages of daemons and works out the state of
// the fleet from them.
package status

import (
	"sort"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// Paths on a daemon's admin address.
const (
	Path        = "/status"
	MetricsPath = "/metrics"
)

// Page is the state of one daemon. Fields that a daemon doesn't know are absent.
type Page struct {
	Name          string `json:"name"`
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// ConfigRevision is the revision in force, zero when there is none.
	ConfigRevision uint64 `json:"config_revision"`
	Leaving        bool   `json:"leaving,omitempty"`
	// Routers are the live routers that the daemon sees.
	Routers []string `json:"routers,omitempty"`
	// Upstreams are all upstreams that the daemon sees.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Loads are the upstreams that the daemon has served as their owner.
	Loads []Load `json:"loads,omitempty"`
}

// Upstream is an engine or instance as one daemon sees it.
type Upstream struct {
	Name string `json:"name"`
	// State is "live" when new work is sent there.
	State string `json:"state"`
}

// Load is an upstream's load at its owner.
type Load struct {
	Upstream string `json:"upstream"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// Limit is the bound at the moment.
	Limit int `json:"limit"`
	// Mean is the expected load that the bound was derived from.
	Mean float64 `json:"mean"`
	// Foreign estimates what a former owner still runs there.
	Foreign int `json:"foreign,omitempty"`
}

// Metrics are a daemon's counters by name, as its admin address serves them.
type Metrics map[string]Values

// Values are the numbers of one metric; counters have only Count.
type Values struct {
	Count float64 `json:"count"`
}

// controlCounters are the bytes that a daemon spends on control.
var controlCounters = []string{
	"cluster.sent.bytes", "cluster.received.bytes",
	"config.fetched_from_store.bytes", "config.fetched_from_peers.bytes", "config.served_to_peers.bytes",
}

// ControlBytes returns the bytes spent on control since the daemon's start.
func (m Metrics) ControlBytes() float64 {
	total := 0.0
	for _, name := range controlCounters {
		total += m[name].Count
	}
	return total
}

// CacheReuse returns cached over all prompt tokens, false before any.
func (m Metrics) CacheReuse() (float64, bool) {
	prompt := m["owner.prompt.tokens"].Count
	if prompt == 0 {
		return 0, false
	}
	return m["owner.cached_prompt.tokens"].Count / prompt, true
}

// liveState is the State of an upstream that takes new work.
const liveState = "live"

// PoolLoad is the load of one pool over all daemons.
type PoolLoad struct {
	Pool string `json:"pool"`
	// Upstreams is the number of live ones.
	Upstreams int `json:"upstreams"`
	// Mean is the mean of requests in flight, by weight.
	Mean float64 `json:"mean_in_flight"`
	// Skew is the highest load over the mean, zero without load.
	Skew float64 `json:"skew"`
}

// PoolLoads returns the load of each pool of the declarations that has a live
// upstream.
func PoolLoads(pages []Page, snapshot *fleet.Snapshot) []PoolLoad {
	inFlight := make(map[string]int)
	live := make(map[string]bool)
	for _, page := range pages {
		for _, load := range page.Loads {
			inFlight[load.Upstream] += load.InFlight
		}
		for _, u := range page.Upstreams {
			live[u.Name] = live[u.Name] || u.State == liveState
		}
	}
	var loads []PoolLoad
	for _, pool := range snapshot.Pools {
		if load, ok := poolLoad(pool, inFlight, live); ok {
			loads = append(loads, load)
		}
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Pool < loads[j].Pool })
	return loads
}

func poolLoad(pool *fleet.Pool, inFlight map[string]int, live map[string]bool) (PoolLoad, bool) {
	load := PoolLoad{Pool: pool.Name}
	total, weights, highest := 0.0, 0.0, 0.0
	for _, u := range pool.Upstreams {
		if !live[u.Name] {
			continue
		}
		load.Upstreams++
		weight := float64(max(u.Weight, 1))
		total += float64(inFlight[u.Name])
		weights += weight
		highest = max(highest, float64(inFlight[u.Name])/weight)
	}
	if load.Upstreams == 0 {
		return load, false
	}
	load.Mean = total / weights
	if total > 0 {
		load.Skew = highest / load.Mean
	}
	return load, true
}
