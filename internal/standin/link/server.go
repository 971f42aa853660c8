// Package link is a stand-in for the network in front of one process: it relays
// TCP connections and UDP datagrams to a target with a one-way delay. It can
// silence open connections, as if the network had lost their state, close them
// or drop datagrams.
package link

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// dialTimeout bounds the time to connect to the target.
const dialTimeout = 2 * time.Second

// Config configures a Server.
type Config struct {
	// Target is the IP address and port that TCP and UDP are relayed to.
	Target string
	// Delay is the one-way delay.
	Delay time.Duration
	// Seed seeds the random choice of dropped datagrams.
	Seed uint64
}

// Faults are the faults that can be set on the link. The zero value has none.
type Faults struct {
	// ExtraDelayMS is added to the one-way delay, in milliseconds.
	ExtraDelayMS int `json:"extra_delay_ms"`
	// RefuseNew closes new connections immediately after they are accepted.
	RefuseNew bool `json:"refuse_new"`
	// Blackhole accepts new connections, relays nothing and drops every
	// datagram. Data sent while it is set is never delivered.
	Blackhole bool `json:"blackhole"`
	// DropDatagrams is the fraction of datagrams that are dropped, 0 to 1.
	DropDatagrams float64 `json:"drop_datagrams"`
}

// Action is the body of POST /admin/actions: one-time operations.
type Action struct {
	// SilenceOpen permanently stops relaying on the open connections: neither
	// end receives data or the other end's close. New connections work.
	SilenceOpen bool `json:"silence_open"`
	// CutOpen closes the open connections, to the client and to the target.
	CutOpen bool `json:"cut_open"`
}

// State is the body of GET /admin/state.
type State struct {
	Connections      int64 `json:"connections"`
	OpenConnections  int   `json:"open_connections"`
	Refused          int64 `json:"refused"`
	Silenced         int64 `json:"silenced"`
	Bytes            int64 `json:"bytes"`
	Datagrams        int64 `json:"datagrams"`
	DatagramBytes    int64 `json:"datagram_bytes"`
	DatagramsDropped int64 `json:"datagrams_dropped"`
	OpenSessions     int   `json:"open_sessions"`
}

// Server is the link. As an http.Handler it serves the admin paths.
type Server struct {
	// Faults can be changed at any time.
	Faults standin.FaultConfig[Faults]

	cfg        Config
	mux        *http.ServeMux
	goroutines sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	state    State
	pairs    map[*pair]struct{}
	sessions map[string]*session
	closers  []func() error
	closed   bool
}

// New returns a link that is not listening yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pairs:    make(map[*pair]struct{}),
		sessions: make(map[string]*session),
	}
	s.mux.HandleFunc("GET "+standin.PathState, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.State())
	})
	s.mux.Handle("GET "+standin.PathFaults, &s.Faults)
	s.mux.Handle("POST "+standin.PathFaults, &s.Faults)
	s.mux.HandleFunc("POST "+standin.PathActions, s.serveActions)
	return s
}

// ServeHTTP serves the admin paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Listen starts to relay TCP and UDP from one address. It returns the address
// with the port that was bound.
func (s *Server) Listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen on TCP for the link: choose a free address")
	}
	bound := listener.Addr().String()
	packets, err := net.ListenPacket("udp", bound)
	if err != nil {
		_ = listener.Close()
		return "", errors.Wrap(err, "listen on UDP for the link: choose a free address")
	}
	s.mu.Lock()
	s.closers = append(s.closers, listener.Close, packets.Close)
	s.mu.Unlock()
	s.goroutines.Go(func() { s.acceptLoop(listener) })
	s.goroutines.Go(func() { s.datagramLoop(packets) })
	return bound, nil
}

// Close stops the link and waits for its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, closer := range s.closers {
		_ = closer()
	}
	for p := range s.pairs {
		p.close()
	}
	for _, session := range s.sessions {
		_ = session.upstream.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// State returns the current counters.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.OpenConnections = len(s.pairs)
	state.OpenSessions = len(s.sessions)
	return state
}

// Act performs an action.
func (s *Server) Act(a Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		if a.SilenceOpen && p.silence() {
			s.state.Silenced++
		}
		if a.CutOpen {
			p.close()
		}
	}
}

func (s *Server) serveActions(w http.ResponseWriter, r *http.Request) {
	var action Action
	if standin.ReadStrictJSON(w, r, &action) != nil {
		return
	}
	s.Act(action)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) updateState(change func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.state)
}

// delay returns the one-way delay with the current faults.
func (s *Server) delay() time.Duration {
	return s.cfg.Delay + time.Duration(s.Faults.Get().ExtraDelayMS)*time.Millisecond
}
