// Package fleet defines the compiled, immutable form of the operators' declarations of
// workspaces, engines, services and selectors, with the upstreams grouped into pools.
package fleet

import (
	"sort"
	"strings"
)

// Labels are the key-value pairs that operators attach to objects.
type Labels map[string]string

// Priority is the priority class of a request; higher classes are served first.
type Priority int

// Priority classes.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
)

// PriorityCount is the number of priority classes.
const PriorityCount = 3

// ParsePriority parses "low", "normal" or "high".
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

// String returns the name that ParsePriority accepts.
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

// Workspace is one customer.
type Workspace struct {
	Name   string
	Labels Labels
	// Weight is the workspace's weight in fair queueing, at least 1.
	Weight int
	// Priority is the highest class that its requests may specify, and the class of
	// requests that specify none.
	Priority Priority
}

// UpstreamKind distinguishes engines from service instances.
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
	// Weight is the capacity relative to other upstreams, at least 1.
	Weight int
	// Capacity is the maximum number of requests in flight; zero means no limit.
	Capacity int
	// Pool is the index into Snapshot.Pools.
	Pool int
}

// CallPattern matches idempotent calls of a service by method and path prefix.
type CallPattern struct {
	Method     string
	PathPrefix string
}

// Service is one declared service.
type Service struct {
	Name            string
	IdempotentCalls []CallPattern
}

// Idempotent reports whether a call may run more than once. GET, HEAD and OPTIONS
// always may; other calls only if a declared pattern matches them.
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

// Pool is the set of upstreams that the same selectors allow for one target. Load is
// compared within a pool.
type Pool struct {
	// Name consists of the target and the names of the selectors.
	Name string
	// Hash identifies the pool within a Snapshot; daemons exchange it in place of Name.
	Hash      uint32
	Upstreams []*Upstream
}

// Grant is one compiled selector: the pools that the workspaces it matches may use for
// each target.
type Grant struct {
	Selector string
	// Targets maps a model or service to the indices of the allowed pools.
	Targets map[string][]int
}

// Snapshot is one compiled revision of the declarations. It is immutable.
type Snapshot struct {
	Revision   uint64
	Workspaces map[string]*Workspace
	Upstreams  map[string]*Upstream
	Services   map[string]*Service
	// Models is the set of models that engines serve.
	Models map[string]bool
	Pools  []*Pool
	// Grants maps a workspace to the selectors that match its labels.
	Grants map[string][]*Grant
}

// Candidates returns the upstreams that a workspace's requests for a model or service
// may use, sorted by name. The caller may modify the returned slice.
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
