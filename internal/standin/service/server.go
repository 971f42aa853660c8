// Package service is a stand-in for a plain service. It counts the executions
// of each action and has switchable faults.
package service

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// HeaderIdempotencyKey names the action of a request.
const HeaderIdempotencyKey = "Idempotency-Key"

// Paths for tests, beside those that every stand-in has.
const (
	// PathExecutions lists executions; QueryKey limits it to one action.
	PathExecutions = "/admin/executions"
	// PathLeave starts a graceful shutdown.
	PathLeave = "/admin/leave"
)

// QueryKey is the query parameter of PathExecutions.
const QueryKey = "key"

// Defaults of Config.
const (
	DefaultExecutionTime = 5 * time.Millisecond
	DefaultLoadLag       = 2 * time.Second
	DefaultLeaveGrace    = 5 * time.Second
)

// Config sets up a Server.
type Config struct {
	// Name is told in each answer.
	Name string
	// ExecutionTime is how long each request runs.
	ExecutionTime time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// LeaveGrace is how long new work is taken after PathLeave.
	LeaveGrace time.Duration
	// Crash ends the process. When nil, a crash makes the server cut all its
	// connections from then on.
	Crash func()
	// Clock is the machine's when nil.
	Clock standin.Clock
}

// DefaultConfig returns a service with short executions.
func DefaultConfig() Config {
	return Config{
		Name:          "service",
		ExecutionTime: DefaultExecutionTime,
		LoadLag:       DefaultLoadLag,
		LeaveGrace:    DefaultLeaveGrace,
	}
}

// Response is the body of the answer to a request that was executed.
type Response struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Key is the action that the request named, if any.
	Key string `json:"idempotency_key,omitempty"`
	// Execution is the number of executions of this action so far, or of all
	// requests when there is no key.
	Execution int64 `json:"execution"`
	BodyBytes int   `json:"body_bytes"`
}

// Load is the report of GET /v1/load.
type Load = engineapi.Load

// Server is the service. It is an http.Handler.
type Server struct {
	// Faults can be changed at any time.
	Faults standin.FaultConfig[Faults]

	cfg   Config
	clock standin.Clock
	mux   *http.ServeMux
	log   *executionLog

	mu      sync.Mutex
	state   State
	load    *standin.Lagged[int]
	leaving time.Time
	// stopped is closed by a crash and by Close.
	stopped chan struct{}
}

// New returns a service.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		clock:   standin.ClockOrSystem(cfg.Clock),
		mux:     http.NewServeMux(),
		log:     newExecutionLog(),
		load:    standin.NewLagged(cfg.LoadLag, 0),
		stopped: make(chan struct{}),
	}
	s.routes()
	return s
}

// ServeHTTP serves any path.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStopped() {
		standin.CutConnection()
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) routes() {
	s.mux.HandleFunc("/", s.serveWork)
	s.mux.HandleFunc("GET "+engineapi.PathLoad, s.serveLoad)
	s.mux.HandleFunc("GET "+engineapi.PathHealth, s.serveHealth)
	s.mux.HandleFunc("POST "+PathLeave, s.serveLeave)
	s.mux.HandleFunc("GET "+PathExecutions, s.serveExecutions)
	s.mux.HandleFunc("GET "+standin.PathState, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.State())
	})
	s.mux.Handle("GET "+standin.PathFaults, &s.Faults)
	s.mux.Handle("POST "+standin.PathFaults, &s.Faults)
}

// serveWork executes one request.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.count(func(state *State) { state.Requests++ })
	if s.Faults.Get().Outage.Apply(w) {
		return
	}
	fault := s.takeFault(r.URL.Path)
	if fault == faultRefuseBefore {
		s.count(func(state *State) { state.RefusedBefore++ })
		standin.CutConnection()
	}
	if s.refusesNewWork() {
		s.count(func(state *State) { state.RefusedLeaving++ })
		standin.WriteError(w, http.StatusServiceUnavailable, "leaving: use another instance")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.MaxBodyBytes))
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "body can't be read")
		return
	}
	s.run(w, r, body, fault)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, body []byte, fault faultKind) {
	faults := s.Faults.Get()
	s.crashIfMarked(faults.CrashWord, body)
	switch fault {
	case faultHang:
		s.hang(r)
	case faultError:
		s.answerError(w, faults)
		return
	}
	answer := s.execute(r, body, faults)
	switch fault {
	case faultLoseReply:
		s.count(func(state *State) { state.RepliesLost++ })
		standin.CutConnection()
	case faultHangAfter:
		s.hang(r)
	case faultErrorAfter:
		s.answerError(w, faults)
		return
	}
	standin.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) answerError(w http.ResponseWriter, faults Faults) {
	s.count(func(state *State) { state.Errors++ })
	standin.WriteError(w, faults.errorStatus(), "fault")
}

// execute counts the execution and takes its time. It goes on when the caller
// has gone.
func (s *Server) execute(r *http.Request, body []byte, faults Faults) Response {
	key := r.Header.Get(HeaderIdempotencyKey)
	number := s.log.add(r.Method, r.URL.Path, key)
	s.changeRunning(1)
	defer s.changeRunning(-1)
	s.pause(s.cfg.ExecutionTime + faults.delay())
	return Response{
		Service: s.cfg.Name, Method: r.Method, Path: r.URL.Path,
		Key: key, Execution: number, BodyBytes: len(body),
	}
}

// pause waits for d, and cuts the connection when the service crashes.
func (s *Server) pause(d time.Duration) {
	elapsed := make(chan struct{})
	timer := s.clock.AfterFunc(d, func() { close(elapsed) })
	defer timer.Stop()
	select {
	case <-elapsed:
	case <-s.stopped:
		standin.CutConnection()
	}
}

// hang holds the connection open without an answer until the caller goes.
func (s *Server) hang(r *http.Request) {
	s.count(func(state *State) { state.Hung++ })
	select {
	case <-r.Context().Done():
	case <-s.stopped:
	}
	standin.CutConnection()
}

func (s *Server) crashIfMarked(word string, body []byte) {
	if word == "" || !strings.Contains(string(body), word) {
		return
	}
	s.count(func(state *State) { state.Crashes++ })
	if s.cfg.Crash != nil {
		s.cfg.Crash()
	}
	s.Close()
	standin.CutConnection()
}

// Close cuts all connections from now on.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isStopped() {
		close(s.stopped)
	}
}

func (s *Server) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}
