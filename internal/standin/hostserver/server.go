// Package hostserver is a stand-in for the platform's host list, with the live
// and leaving hosts. Changes become visible after a lag.
package hostserver

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// PathHosts is the admin path of the list: POST changes it, and GET returns it
// without lag and faults.
const PathHosts = "/admin/hosts"

// QueryPoller is the query parameter that identifies the poller.
const QueryPoller = "poller"

// DefaultLag is the time until a change becomes visible.
const DefaultLag = 2 * time.Second

// Errors of Apply.
var (
	ErrUnknownHost   = errors.New("host not in the list: add it first")
	ErrUnknownChange = errors.New("unknown kind of change: use add, remove or set_state")
	ErrNoName        = errors.New("host has no name: set host.name")
)

// Config configures a Server.
type Config struct {
	// Hosts is the initial list, visible immediately.
	Hosts []hostlist.Host
	// Lag is the time until a change becomes visible.
	Lag time.Duration
	// EntityTags enables ETags: a poll whose If-None-Match is current is
	// answered with status 304 and no body.
	EntityTags bool
	// Clock defaults to the system clock when nil.
	Clock standin.Clock
}

// ChangeKind is the operation of a Change.
type ChangeKind string

// Kinds of change.
const (
	// ChangeAdd adds a host or replaces the host with the same name.
	ChangeAdd ChangeKind = "add"
	// ChangeRemove removes the named host.
	ChangeRemove ChangeKind = "remove"
	// ChangeSetState sets the state of the named host.
	ChangeSetState ChangeKind = "set_state"
)

// Change is the body of POST PathHosts.
type Change struct {
	Change ChangeKind    `json:"change"`
	Host   hostlist.Host `json:"host"`
}

// State is the body of GET /admin/state.
type State struct {
	Polls        int64 `json:"polls"`
	OutageFailed int64 `json:"outage_failed"`
	Changes      int64 `json:"changes"`
	Hosts        int   `json:"hosts"`
}

// Server serves the host list. It is an http.Handler.
type Server struct {
	// Faults can be changed at any time.
	Faults standin.FaultConfig[Faults]

	clock      standin.Clock
	mux        *http.ServeMux
	entityTags bool

	mu    sync.Mutex
	hosts *standin.Lagged[[]hostlist.Host]
	state State
	// frozen is the list that pollers see while the fault Frozen is set, nil
	// otherwise.
	frozen []hostlist.Host
}

// New returns a server with the configured hosts.
func New(cfg Config) *Server {
	initial := withDefaultState(cfg.Hosts)
	s := &Server{
		clock:      standin.ClockOrSystem(cfg.Clock),
		mux:        http.NewServeMux(),
		entityTags: cfg.EntityTags,
		hosts:      standin.NewLagged(cfg.Lag, initial),
	}
	s.Faults.OnChange = s.onFaultsChange
	s.routes()
	return s
}

// ParseHosts reads a hosts file, YAML or JSON, in the form of hostlist.List.
// Hosts without a state are live.
func ParseHosts(data []byte) ([]hostlist.Host, error) {
	var list hostlist.List
	if err := yaml.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "parse hosts file")
	}
	return list.Hosts, nil
}

func withDefaultState(hosts []hostlist.Host) []hostlist.Host {
	out := slices.Clone(hosts)
	for i := range out {
		if out[i].State == "" {
			out[i].State = hostlist.StateLive
		}
	}
	return out
}

// ServeHTTP serves the list and the admin paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET "+hostlist.Path, s.serveList)
	s.mux.HandleFunc("GET "+PathHosts, s.serveLatest)
	s.mux.HandleFunc("POST "+PathHosts, s.serveChange)
	s.mux.HandleFunc("GET "+standin.PathState, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.State())
	})
	s.mux.Handle("GET "+standin.PathFaults, &s.Faults)
	s.mux.Handle("POST "+standin.PathFaults, &s.Faults)
}

// State returns the current counters.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.Hosts = len(s.hosts.Latest())
	return state
}

// Apply changes the list. Pollers see the change after the lag.
func (s *Server) Apply(c Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := applyChange(s.hosts.Latest(), c)
	if err != nil {
		return err
	}
	s.hosts.Set(s.clock.Now(), next)
	s.state.Changes++
	return nil
}

// applyChange returns the list after a change, as a new slice.
func applyChange(hosts []hostlist.Host, c Change) ([]hostlist.Host, error) {
	if c.Host.Name == "" {
		return nil, ErrNoName
	}
	next := slices.Clone(hosts)
	at := slices.IndexFunc(next, func(h hostlist.Host) bool { return h.Name == c.Host.Name })
	if c.Change == ChangeAdd {
		return withDefaultState(addOrReplace(next, at, c.Host)), nil
	}
	if at < 0 {
		return nil, ErrUnknownHost
	}
	switch c.Change {
	case ChangeRemove:
		return slices.Delete(next, at, at+1), nil
	case ChangeSetState:
		next[at].State = c.Host.State
		return next, nil
	default:
		return nil, ErrUnknownChange
	}
}

func addOrReplace(hosts []hostlist.Host, at int, host hostlist.Host) []hostlist.Host {
	if at < 0 {
		return append(hosts, host)
	}
	hosts[at] = host
	return hosts
}

// onFaultsChange saves the visible list when the fault Frozen is set, and
// discards it when the fault is cleared.
func (s *Server) onFaultsChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.Faults.Get()
	switch {
	case !f.Frozen:
		s.frozen = nil
	case s.frozen == nil:
		s.frozen = s.hosts.Visible(s.clock.Now())
	}
}

func (s *Server) visible() []hostlist.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Polls++
	if s.frozen != nil {
		return s.frozen
	}
	return s.hosts.Visible(s.clock.Now())
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults.Get()
	if faults.Outage != standin.OutageNone {
		s.countOutage()
		faults.Outage.Apply(w)
		return
	}
	delay := time.Duration(faults.DelayMS) * time.Millisecond
	if standin.Sleep(r.Context(), s.clock, delay) != nil {
		return
	}
	hosts := faults.filter(s.visible(), pollerOf(r), s.clock.Now())
	if s.entityTags && isCurrent(w, r, hosts) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	standin.WriteJSON(w, http.StatusOK, hostlist.List{Hosts: hosts})
}

// isCurrent sets the ETag of a list and reports whether the poller already has
// this version.
func isCurrent(w http.ResponseWriter, r *http.Request, hosts []hostlist.Host) bool {
	digest := fnv.New64a()
	for _, host := range hosts {
		_, _ = fmt.Fprintf(digest, "%q\n", host)
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(digest.Sum64(), 16))
	w.Header().Set("ETag", tag)
	return r.Header.Get("If-None-Match") == tag
}

func (s *Server) countOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.OutageFailed++
}

func pollerOf(r *http.Request) string {
	if name := r.URL.Query().Get(QueryPoller); name != "" {
		return name
	}
	return r.RemoteAddr
}

func (s *Server) serveLatest(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	hosts := s.hosts.Latest()
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, hostlist.List{Hosts: hosts})
}

func (s *Server) serveChange(w http.ResponseWriter, r *http.Request) {
	var change Change
	if standin.ReadStrictJSON(w, r, &change) != nil {
		return
	}
	if err := s.Apply(change); err != nil {
		standin.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
