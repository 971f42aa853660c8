// Package status defines the page that each daemon serves to operators, and
// what is worked out from the pages of all daemons.
package status

import (
	"sort"
)

// Path is where a daemon's admin address serves its Page.
const Path = "/status"

// Page is the state of one daemon. Fields that a daemon doesn't know are absent.
type Page struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"`
	Version       string `json:"version,omitempty"`
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// ConfigRevision is the revision in force, zero when there is none.
	ConfigRevision uint64 `json:"config_revision"`
	// Upstreams are the engines and instances that the daemon owns.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// CacheReuse is cached prefix tokens over prompt tokens of returning chats,
	// 0 to 1.
	CacheReuse *float64 `json:"cache_reuse,omitempty"`
	// ControlBytesPerSecond is what the daemon sends for control.
	ControlBytesPerSecond *float64 `json:"control_bytes_per_second,omitempty"`
}

// Upstream is one engine or instance, as its owner sees it.
type Upstream struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// State is "live", "draining", "leaving" or "failed".
	State    string `json:"state"`
	Weight   int    `json:"weight,omitempty"`
	InFlight int    `json:"in_flight"`
	Waiting  int    `json:"waiting"`
	// Bound is the most requests in flight now; zero means no limit.
	Bound int `json:"bound,omitempty"`
}

// Load is the load of one pool over all daemons.
type Load struct {
	Pool string `json:"pool"`
	// Upstreams is the number of live ones.
	Upstreams int `json:"upstreams"`
	// Mean is the mean of requests in flight by weight.
	Mean float64 `json:"mean_in_flight"`
	// Skew is the highest load over the mean, zero without load.
	Skew float64 `json:"skew"`
}

// Loads returns the load of each pool, in name order. Only live upstreams count.
func Loads(pages []Page) []Load {
	members := make(map[string][]Upstream)
	for _, page := range pages {
		for _, u := range page.Upstreams {
			if u.State == "live" {
				members[u.Pool] = append(members[u.Pool], u)
			}
		}
	}
	loads := make([]Load, 0, len(members))
	for pool, upstreams := range members {
		loads = append(loads, poolLoad(pool, upstreams))
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Pool < loads[j].Pool })
	return loads
}

func poolLoad(pool string, upstreams []Upstream) Load {
	total, weights, highest := 0.0, 0.0, 0.0
	for _, u := range upstreams {
		weight := float64(max(u.Weight, 1))
		total += float64(u.InFlight)
		weights += weight
		highest = max(highest, float64(u.InFlight)/weight)
	}
	load := Load{Pool: pool, Upstreams: len(upstreams), Mean: total / weights}
	if total > 0 {
		load.Skew = highest / load.Mean
	}
	return load
}
