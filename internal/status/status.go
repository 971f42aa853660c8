// Package status defines the status page and the metrics of a daemon's admin
// address and derives the state of the fleet from those of all daemons.
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

// Page is the status of one daemon. Fields unknown to the daemon are absent.
type Page struct {
	Name          string `json:"name"`
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// ConfigRevision is the configuration revision in force, or zero if there is
	// none.
	ConfigRevision uint64 `json:"config_revision"`
	// Leaving is set while the daemon shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// Routers are the names of the routers that are live in the daemon's view.
	Routers []string `json:"routers,omitempty"`
	// Upstreams are all upstreams in the daemon's view, live or not.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Loads are the loads of the upstreams that the daemon owns or has owned.
	Loads []Load `json:"loads,omitempty"`
}

// Upstream is an engine or service instance in the view of one daemon.
type Upstream struct {
	Name string `json:"name"`
	// State is "live" if the upstream receives new requests.
	State string `json:"state"`
}

// Load is the load of an upstream as counted by its owner.
type Load struct {
	Upstream string `json:"upstream"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// Limit is the current maximum number of requests in flight.
	Limit int `json:"limit"`
	// Mean is the expected load from which Limit is derived.
	Mean float64 `json:"mean"`
	// Foreign is the estimated number of requests that a former owner still has in
	// flight at the upstream.
	Foreign int `json:"foreign,omitempty"`
}

// Metrics are a daemon's counters by name, as its admin address serves them.
type Metrics map[string]Values

// Values are the values of one metric; counters have only Count.
type Values struct {
	Count float64 `json:"count"`
}

// controlCounters are the counters of control-plane traffic in bytes.
var controlCounters = []string{
	"cluster.sent.bytes", "cluster.received.bytes",
	"config.fetched_from_store.bytes", "config.fetched_from_peers.bytes", "config.served_to_peers.bytes",
}

// ControlBytes returns the control-plane traffic in bytes since the daemon started.
func (m Metrics) ControlBytes() float64 {
	total := 0.0
	for _, name := range controlCounters {
		total += m[name].Count
	}
	return total
}

// CacheReuse returns the ratio of cached to all prompt tokens, or false if there
// are none.
func (m Metrics) CacheReuse() (float64, bool) {
	prompt := m["owner.prompt.tokens"].Count
	if prompt == 0 {
		return 0, false
	}
	return m["owner.cached_prompt.tokens"].Count / prompt, true
}

// liveState is the Upstream.State of an upstream that receives new requests.
const liveState = "live"

// PoolLoad is the load of one pool, summed over all daemons.
type PoolLoad struct {
	Pool string `json:"pool"`
	// Upstreams is the number of live upstreams.
	Upstreams int `json:"upstreams"`
	// Mean is the number of requests in flight per unit of weight.
	Mean float64 `json:"mean_in_flight"`
	// Skew is the ratio of the highest load per weight to the mean, or zero without
	// load.
	Skew float64 `json:"skew"`
}

// PoolLoads returns the load of each declared pool that has a live upstream, sorted
// by pool name.
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
