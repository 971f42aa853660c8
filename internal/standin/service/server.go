// Package service is a stand-in for an upstream of the kind service. It counts
// the executions of each action, and faults can be set on it.
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

// HeaderIdempotencyKey is the header that identifies the action of a request.
const HeaderIdempotencyKey = "Idempotency-Key"

// Admin paths in addition to those of every stand-in.
const (
	// PathExecutions lists the executions; QueryKey limits the list to one action.
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

// Config configures a Server.
type Config struct {
	// Name is the service's name in each response.
	Name string
	// ExecutionTime is the duration of each execution.
	ExecutionTime time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// LeaveGrace is how long new requests are accepted after PathLeave.
	LeaveGrace time.Duration
	// Crash ends the process. When nil, a crash makes the server abort running
	// requests and close the connection of every later one without a response.
	Crash func()
	// Clock defaults to the system clock when nil.
	Clock standin.Clock
}

// DefaultConfig returns the configuration of a service with short executions.
func DefaultConfig() Config {
	return Config{
		Name:          "service",
		ExecutionTime: DefaultExecutionTime,
		LoadLag:       DefaultLoadLag,
		LeaveGrace:    DefaultLeaveGrace,
	}
}

// Response is the response body of a request that was executed.
type Response struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Key is the idempotency key of the request, if any.
	Key string `json:"idempotency_key,omitempty"`
	// Execution is the number of executions of this action so far, or of all
	// requests when there is no key.
	Execution int64 `json:"execution"`
	BodyBytes int   `json:"body_bytes"`
}

// Load is the response body of GET /v1/load.
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
	// stopped is closed by Close, also in a crash.
	stopped chan struct{}
}

// New returns a server for the service.
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

// ServeHTTP serves the admin paths, health, the load report and, on every other
// path, requests to execute.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStopped() {
		standin.CutConnection()
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) routes() {
	s.mux.HandleFunc("/", s.serveRequest)
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

// serveRequest executes one request, unless a fault or a shutdown prevents it.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	s.updateState(func(state *State) { state.Requests++ })
	if s.Faults.Get().Outage.Apply(w) {
		return
	}
	fault := s.nextFault(r.URL.Path)
	if fault == faultRefuseBefore {
		s.updateState(func(state *State) { state.RefusedBefore++ })
		standin.CutConnection()
	}
	if s.refusesNewWork() {
		s.updateState(func(state *State) { state.RefusedLeaving++ })
		standin.WriteError(w, http.StatusServiceUnavailable, "leaving: use another instance")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.MaxBodyBytes))
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "body can't be read")
		return
	}
	s.runWithFault(w, r, body, fault)
}

func (s *Server) runWithFault(w http.ResponseWriter, r *http.Request, body []byte, fault faultKind) {
	faults := s.Faults.Get()
	s.crashOnWord(faults.CrashWord, body)
	switch fault {
	case faultHang:
		s.hang(r)
	case faultError:
		s.writeFaultError(w, faults)
		return
	}
	response := s.execute(r, body, faults)
	switch fault {
	case faultLoseReply:
		s.updateState(func(state *State) { state.RepliesLost++ })
		standin.CutConnection()
	case faultHangAfter:
		s.hang(r)
	case faultErrorAfter:
		s.writeFaultError(w, faults)
		return
	}
	standin.WriteJSON(w, http.StatusOK, response)
}

func (s *Server) writeFaultError(w http.ResponseWriter, faults Faults) {
	s.updateState(func(state *State) { state.Errors++ })
	standin.WriteError(w, faults.errorStatus(), "fault")
}

// execute counts the execution and waits for its duration. It continues when the
// caller has disconnected.
func (s *Server) execute(r *http.Request, body []byte, faults Faults) Response {
	key := r.Header.Get(HeaderIdempotencyKey)
	number := s.log.add(r.Method, r.URL.Path, key)
	s.addRunning(1)
	defer s.addRunning(-1)
	s.waitExecution(s.cfg.ExecutionTime + faults.delay())
	return Response{
		Service: s.cfg.Name, Method: r.Method, Path: r.URL.Path,
		Key: key, Execution: number, BodyBytes: len(body),
	}
}

// waitExecution waits for d, or closes the connection when the service crashes.
func (s *Server) waitExecution(d time.Duration) {
	elapsed := make(chan struct{})
	timer := s.clock.AfterFunc(d, func() { close(elapsed) })
	defer timer.Stop()
	select {
	case <-elapsed:
	case <-s.stopped:
		standin.CutConnection()
	}
}

// hang keeps the connection open without a response until the caller
// disconnects or the server is closed.
func (s *Server) hang(r *http.Request) {
	s.updateState(func(state *State) { state.Hung++ })
	select {
	case <-r.Context().Done():
	case <-s.stopped:
	}
	standin.CutConnection()
}

func (s *Server) crashOnWord(word string, body []byte) {
	if word == "" || !strings.Contains(string(body), word) {
		return
	}
	s.updateState(func(state *State) { state.Crashes++ })
	if s.cfg.Crash != nil {
		s.cfg.Crash()
	}
	s.Close()
	standin.CutConnection()
}

// Close aborts running requests and closes the connection of every later one
// without a response.
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
