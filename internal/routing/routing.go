// Package routing holds the compiled routes of one configuration revision: which
// service a call goes to, whether it may run more than once, and who may call. It
// does no I/O, and a Table is immutable.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors for calls that are refused permanently.
var (
	// ErrNoRoute means that no route matches the host and path.
	ErrNoRoute = errors.New("no route matches the host and path: check the address, or add a route")
	// ErrUnknownKey means that the call needs a key that belongs to a workspace.
	ErrUnknownKey = errors.New("the key belongs to no workspace: use a key of the configuration in force")
)

// Kind tells whether a call may run more than once, and how it is answered.
type Kind int

// Kinds of route.
const (
	// NonIdempotent calls run at most once.
	NonIdempotent Kind = iota
	// Idempotent calls may run more than once.
	Idempotent
	// Streaming calls are answered with a stream of events.
	Streaming
)

// String returns the kind as written in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// Target is a service of a route with its traffic weight.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued by another instance after the last event.
	Resumable bool
	// Timeout is the maximum duration of a call; zero for none.
	Timeout time.Duration
	// Objective is the target latency, for streams that of the first event. A later
	// response is worth less to the caller.
	Objective time.Duration
	// GapObjective is the target for the longest pause between events of a stream.
	GapObjective time.Duration
	// Priority is the scheduling priority; zero is the highest.
	Priority int
	// MaxAttempts bounds the number of times that a call is sent to an instance.
	MaxAttempts int
	Anonymous   bool
	Targets     []Target
}

// Repeatable reports whether a call may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.ResumableStream()
}

// ResumableStream reports whether callers may take up a stream of the route that has broken.
func (r *Route) ResumableStream() bool { return r.Kind == Streaming && r.Resumable }

// Service selects the service of a call by a hash of its key, in proportion to the
// weights. Calls with equal keys go to the same service.
func (r *Route) Service(key string) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 || len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, t := range r.Targets {
		point -= max(t.Weight, 0)
		if point < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of interchangeable instances.
type Service struct {
	Name string
	// Model is set for services of model engines.
	Model bool
	// HealthTarget is the target of the request that an instance answers with its health,
	// empty if unknown.
	HealthTarget string
}

// Workspace is a customer.
type Workspace struct {
	Name string
	// Priority overrides a route's; nil when the workspace has none.
	Priority *int
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Options configure a Table.
type Options struct {
	Revision int64
	Routes   []*Route
	Services []*Service
	// Keys maps an API key to its workspace.
	Keys map[string]*Workspace
	// KeysRequired is set when calls need a key, except on anonymous routes.
	KeysRequired bool
	Limits       Limits
}

// Table is the compiled form of one configuration revision. It is immutable.
type Table struct {
	Revision     int64
	Limits       Limits
	keysRequired bool
	keys         map[string]*Workspace
	services     map[string]*Service
	// routes maps a host to its routes by prefix.
	routes map[string]map[string]*Route
}

// ResumableServices returns the services of the routes whose streams may be resumed, and the
// longest timeout of these routes.
func (t *Table) ResumableServices() (services map[string]bool, longestTimeout time.Duration) {
	services = make(map[string]bool)
	for _, byPrefix := range t.routes {
		for _, route := range byPrefix {
			if !route.ResumableStream() {
				continue
			}
			longestTimeout = max(longestTimeout, route.Timeout)
			for _, target := range route.Targets {
				services[target.Service] = true
			}
		}
	}
	return services, longestTimeout
}

// NewTable compiles the routes of a revision.
func NewTable(o Options) *Table {
	t := &Table{
		Revision: o.Revision, Limits: o.Limits, keysRequired: o.KeysRequired, keys: o.Keys,
		services: make(map[string]*Service, len(o.Services)),
		routes:   make(map[string]map[string]*Route),
	}
	for _, s := range o.Services {
		t.services[s.Name] = s
	}
	for _, r := range o.Routes {
		host := hostName(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*Route)
		}
		t.routes[host][r.Prefix] = r
	}
	return t
}

// Service returns a service by name, nil when the revision has none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ModelServices returns the sorted names of the services of model engines.
func (t *Table) ModelServices() []string {
	var out []string
	for name, s := range t.services {
		if s.Model {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Match returns the route whose prefix is the longest match for a path; its error is
// ErrNoRoute. Prefixes begin and end with a slash.
func (t *Table) Match(host, path string) (*Route, error) {
	prefixes := t.routes[hostName(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0 && len(prefixes) > 0; {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, nil
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	return nil, ErrNoRoute
}

// hostName returns a host in lower case, without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Workspace returns the workspace that a key belongs to, and nil for anonymous
// calls. Its error is ErrUnknownKey when the route needs a known key.
func (t *Table) Workspace(r *Route, key string) (*Workspace, error) {
	if w, ok := t.keys[key]; ok && key != "" {
		return w, nil
	}
	if r.Anonymous || !t.keysRequired {
		return nil, nil
	}
	return nil, ErrUnknownKey
}

// Priority returns the priority of a workspace's calls on a route.
func Priority(r *Route, w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}
