// Package fleet holds the typed, immutable view of the operators'
// declarations: workspaces, engines, services and selectors, compiled into
// pools.
package fleet

import (
	"sort"
	"strings"
)

// Labels are the key-value pairs that operators attach to objects.
type Labels map[string]string

// Priority is the class of a request; a higher class is served first.
type Priority int

// Priority classes.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
)

// PriorityCount is the number of classes.
const PriorityCount = 3

// ParsePriority reads "low", "normal" or "high".
func ParsePriority(s string) (Priority, bool) {
	switch s {
	case "low":
		return PriorityLow, true
	case "normal":
		return PriorityNormal, true
	case "high":
		return PriorityHigh, true
	default:
		return PriorityLow, false
	}
}

// String returns the name that ParsePriority reads.
func (p Priority) String() string {
	switch p {
	case PriorityHigh:
		return "high"
	case PriorityNormal:
		return "normal"
	default:
		return "low"
	}
}

// Workspace is one customer's share of the traffic.
type Workspace struct {
	Name   string
	Labels Labels
	// Weight is the share in fair queueing, at least 1.
	Weight int
	// Priority is the highest class that its requests may ask for, and the
	// class of requests that ask for none.
	Priority Priority
}

// UpstreamKind tells engines from service instances.
type UpstreamKind int

// Kinds of upstream.
const (
	KindEngine UpstreamKind = iota
	KindService
)

// Upstream is one declared engine or service instance. Its address and state
// come from the host list.
type Upstream struct {
	Name   string
	Kind   UpstreamKind
	Labels Labels
	// Target is the model of an engine, or the service of an instance.
	Target string
	// Weight is the relative capacity, at least 1.
	Weight int
	// Capacity is the most requests in flight; zero means no limit.
	Capacity int
	// Pool is the index into Snapshot.Pools.
	Pool int
}

// CallPattern names calls of a service that may be repeated.
type CallPattern struct {
	Method     string
	PathPrefix string
}

// Service is one declared plain service.
type Service struct {
	Name            string
	IdempotentCalls []CallPattern
}

// Idempotent reports whether a call may be repeated. GET, HEAD and OPTIONS
// always may; other calls only when a declared pattern covers them.
func (s *Service) Idempotent(method, path string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	for _, pattern := range s.IdempotentCalls {
		if pattern.Method == method && strings.HasPrefix(path, pattern.PathPrefix) {
			return true
		}
	}
	return false
}

// Pool is a set of upstreams that the same selectors admit for one target.
// Load is compared within a pool.
type Pool struct {
	// Name is the target followed by the selectors' names.
	Name string
	// Hash is the short form of Name that daemons exchange.
	Hash      uint32
	Upstreams []*Upstream
}

// Grant is one selector, compiled: which workspaces may use which pools for
// which targets.
type Grant struct {
	Selector string
	// Targets maps a model or service to the indices of admitted pools.
	Targets map[string][]int
}

// Snapshot is one revision of the declarations. It is immutable.
type Snapshot struct {
	Revision   uint64
	Workspaces map[string]*Workspace
	Upstreams  map[string]*Upstream
	Services   map[string]*Service
	// Models are the targets of engines.
	Models map[string]bool
	Pools  []*Pool
	// Grants maps a workspace to the selectors that match its labels.
	Grants map[string][]*Grant
}

// Candidates returns the upstreams that a workspace's traffic for a model or
// service may use, in name order. The result is new.
func (s *Snapshot) Candidates(workspace, target string) []*Upstream {
	seen := make(map[int]bool)
	var out []*Upstream
	for _, grant := range s.Grants[workspace] {
		for _, pool := range grant.Targets[target] {
			if seen[pool] {
				continue
			}
			seen[pool] = true
			out = append(out, s.Pools[pool].Upstreams...)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
