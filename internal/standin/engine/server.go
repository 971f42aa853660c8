// Package engine is a stand-in for a model engine: continuous batching, a
// prefix cache in limited memory, priorities, streams that can be resumed and
// cancelled, late cache events, a lagging load report, cache transfer and
// orders, with switchable faults. Its answers are a function of the prompt.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// PathLeave starts a graceful shutdown.
const PathLeave = "/admin/leave"

// maxKeptStreams bounds the finished streams that are kept for readers.
const maxKeptStreams = 10_000

// Server is the engine. It is an http.Handler.
type Server struct {
	// Faults can be changed at any time.
	Faults standin.FaultConfig[Faults]

	cfg        Config
	clock      standin.Clock
	mux        *http.ServeMux
	client     *http.Client
	chunkSwap  exchanger[chunkEvent]
	answerSwap exchanger[Completion]
	// stopped is closed by a crash and by Close.
	stopped chan struct{}

	mu        sync.Mutex
	state     State
	batch     batch
	stepTimer standin.Timer
	cache     *prefixCache
	events    eventLog
	load      *standin.Lagged[engineapi.Load]
	// streams holds all streams that can be read, by identifier.
	streams map[string]*stream
	// ended holds the finished and cancelled streams, oldest first.
	ended       []*stream
	openReaders int
	leaving     time.Time
	// thawed is closed when the fault Frozen ends; nil while it isn't set.
	thawed chan struct{}
	// silenced and cut are closed and replaced by actions.
	silenced chan struct{}
	cut      chan struct{}

	models    map[string]struct{}
	servesAll bool
	role      string
	fence     int64
}

// New returns an idle engine.
func New(cfg Config) *Server {
	s := &Server{
		cfg:       cfg,
		clock:     standin.ClockOrSystem(cfg.Clock),
		mux:       http.NewServeMux(),
		client:    &http.Client{},
		stopped:   make(chan struct{}),
		events:    eventLog{delay: cfg.CacheEventDelay, gapEvery: cfg.CacheEventGap},
		load:      standin.NewLagged(cfg.LoadLag, engineapi.Load{}),
		streams:   make(map[string]*stream),
		silenced:  make(chan struct{}),
		cut:       make(chan struct{}),
		models:    make(map[string]struct{}),
		servesAll: len(cfg.Models) == 0,
		role:      cfg.Role,
	}
	s.cache = newPrefixCache(cfg.CacheTokens, s.publish)
	for _, model := range cfg.Models {
		s.models[model] = struct{}{}
	}
	s.Faults.OnChange = s.faultsChanged
	s.routes()
	return s
}

// ServeHTTP serves the engine's interface and the paths for tests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStopped() {
		standin.CutConnection()
	}
	s.mux.ServeHTTP(w, r)
}

// Close stops the batch and cuts all connections from now on.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stepTimer != nil {
		s.stepTimer.Stop()
	}
	s.stopLocked()
	s.client.CloseIdleConnections()
}

// State returns the counters.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.Running = len(s.batch.running)
	state.Waiting = s.batch.waitingCount()
	state.CacheUsedTokens = s.cache.used
	state.CacheEntries = len(s.cache.nodes)
	return state
}

func (s *Server) routes() {
	s.mux.Handle("POST "+engineapi.PathChat, s.gated(s.serveChat))
	s.mux.Handle("GET "+engineapi.PathStreams+"{id}", s.gated(s.serveResume))
	s.mux.Handle("DELETE "+engineapi.PathStreams+"{id}", s.gated(s.serveCancel))
	s.mux.Handle("GET "+engineapi.PathLoad, s.gated(s.serveLoad))
	s.mux.Handle("GET "+engineapi.PathHealth, s.gated(s.serveHealth))
	s.mux.Handle("GET "+engineapi.PathCacheEvents, s.gated(s.serveCacheEvents))
	s.mux.Handle("POST "+engineapi.PathCacheExport, s.gated(s.serveCacheExport))
	s.mux.Handle("POST "+engineapi.PathCacheImport, s.gated(s.serveCacheImport))
	s.mux.Handle("GET "+engineapi.PathOrders, s.gated(s.serveOrderState))
	s.mux.Handle("POST "+engineapi.PathOrders, s.gated(s.serveOrder))
	s.mux.HandleFunc("POST "+PathLeave, s.serveLeave)
	s.mux.HandleFunc("GET "+standin.PathState, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.State())
	})
	s.mux.Handle("GET "+standin.PathFaults, &s.Faults)
	s.mux.Handle("POST "+standin.PathFaults, &s.Faults)
	s.mux.HandleFunc("POST "+standin.PathActions, s.serveActions)
}

// gated applies the faults that strike every call.
func (s *Server) gated(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outage := s.Faults.Get().Outage
		if outage != standin.OutageNone {
			s.count(func(state *State) { state.OutageFailed++ })
			outage.Apply(w)
			return
		}
		s.waitThawed(r)
		next(w, r)
	})
}

// waitThawed waits while the engine is frozen. It cuts the connection when the
// caller goes or the engine crashes first.
func (s *Server) waitThawed(r *http.Request) {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	if thawed == nil {
		return
	}
	select {
	case <-thawed:
	case <-r.Context().Done():
		standin.CutConnection()
	case <-s.stopped:
		standin.CutConnection()
	}
}

func (s *Server) count(change func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.state)
}

// publish is called by the cache while the mutex is held.
func (s *Server) publish(kind string, node *cacheNode) {
	s.events.add(s.clock.Now(), kind, node)
}
