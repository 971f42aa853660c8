// Package engine is a stand-in for a model engine. It implements continuous
// batching, a prefix cache of limited size, priorities, streams that can be
// resumed and cancelled, delayed cache events, a delayed load report, cache
// transfer and orders, and can inject faults. Its answers are deterministic: they
// depend only on the prompt and the requested length.
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

// maxKeptStreams limits the ended streams that are retained for readers.
const maxKeptStreams = 10_000

// Server is a stand-in engine. It implements http.Handler.
type Server struct {
	// Faults can be changed at any time.
	Faults standin.FaultConfig[Faults]

	cfg        Config
	clock      standin.Clock
	mux        *http.ServeMux
	client     *http.Client
	chunkSwap  exchanger[chunkEvent]
	answerSwap exchanger[Completion]
	// stopped is closed by a crash or by Close.
	stopped chan struct{}

	mu        sync.Mutex
	state     State
	batch     batch
	stepTimer standin.Timer
	cache     *prefixCache
	events    eventLog
	load      *standin.Lagged[engineapi.Load]
	// streams holds the running, waiting and retained streams by ID.
	streams map[string]*stream
	// ended holds the finished and cancelled streams, oldest first.
	ended        []*stream
	openReaders  int
	leavingSince time.Time
	// unfrozen is closed when Faults.Frozen is cleared; nil while the engine is
	// not frozen.
	unfrozen chan struct{}
	// silenced and cut are closed and replaced by Act. An outage does so with
	// cut, too.
	silenced chan struct{}
	cut      chan struct{}

	models    map[string]struct{}
	servesAll bool
	role      string
	fence     int64
}

// New returns an engine without streams.
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

// ServeHTTP serves the engine API and the admin paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStopped() {
		standin.CutConnection()
	}
	s.mux.ServeHTTP(w, r)
}

// Close stops generation and cuts all connections from now on.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stepTimer != nil {
		s.stepTimer.Stop()
	}
	s.stopLocked()
	s.client.CloseIdleConnections()
}

// State returns the counters and the current sizes of the batch and the cache.
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
	s.mux.Handle("POST "+engineapi.PathChat, s.withFaults(s.serveChat))
	s.mux.Handle("GET "+engineapi.PathStreams+"{id}", s.withFaults(s.serveResume))
	s.mux.Handle("DELETE "+engineapi.PathStreams+"{id}", s.withFaults(s.serveCancel))
	s.mux.Handle("GET "+engineapi.PathLoad, s.withFaults(s.serveLoad))
	s.mux.Handle("GET "+engineapi.PathHealth, s.withFaults(s.serveHealth))
	s.mux.Handle("GET "+engineapi.PathCacheEvents, s.withFaults(s.serveCacheEvents))
	s.mux.Handle("POST "+engineapi.PathCacheExport, s.withFaults(s.serveCacheExport))
	s.mux.Handle("POST "+engineapi.PathCacheImport, s.withFaults(s.serveCacheImport))
	s.mux.Handle("GET "+engineapi.PathOrders, s.withFaults(s.serveOrderState))
	s.mux.Handle("POST "+engineapi.PathOrders, s.withFaults(s.serveOrder))
	s.mux.HandleFunc("POST "+PathLeave, s.serveLeave)
	s.mux.HandleFunc("GET "+standin.PathState, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.State())
	})
	s.mux.Handle("GET "+standin.PathFaults, &s.Faults)
	s.mux.Handle("POST "+standin.PathFaults, &s.Faults)
	s.mux.HandleFunc("POST "+standin.PathActions, s.serveActions)
}

// withFaults applies the faults that affect every call: Outage and Frozen.
func (s *Server) withFaults(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outage := s.Faults.Get().Outage
		if outage != standin.OutageNone {
			s.updateState(func(state *State) { state.OutageFailed++ })
			outage.Apply(w)
			return
		}
		s.waitUnfrozen(r)
		next(w, r)
	})
}

// waitUnfrozen waits while the engine is frozen. It cuts the connection when the
// caller disconnects or the engine stops first.
func (s *Server) waitUnfrozen(r *http.Request) {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	if unfrozen == nil {
		return
	}
	select {
	case <-unfrozen:
	case <-r.Context().Done():
		standin.CutConnection()
	case <-s.stopped:
		standin.CutConnection()
	}
}

func (s *Server) updateState(change func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.state)
}

// publish adds a cache event to the log. The cache calls it with s.mu held.
func (s *Server) publish(kind string, node *cacheNode) {
	s.events.add(s.clock.Now(), kind, node)
}
