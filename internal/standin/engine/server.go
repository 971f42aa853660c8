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

// Defaults of Config.
const (
	DefaultSlots            = 16
	DefaultTokenTime        = 10 * time.Millisecond
	DefaultPrefillPerToken  = 50 * time.Microsecond
	DefaultTransferPerToken = 2 * time.Microsecond
	DefaultCacheTokens      = 200_000
	DefaultStreamKeep       = 30 * time.Second
	DefaultOrphanAfter      = 5 * time.Second
	DefaultLoadLag          = 2 * time.Second
	DefaultCacheEventDelay  = time.Second
	DefaultCacheEventGap    = 50
	DefaultLeaveGrace       = 5 * time.Second
)

// Config sets up a Server.
type Config struct {
	// Models are loaded at the start; an engine without models serves all.
	Models []string
	// Role is the engine's role until an order changes it.
	Role string
	// Slots is the number of streams that run at a time.
	Slots int
	// TokenTime is the time of one step, which generates one token for each
	// running stream.
	TokenTime time.Duration
	// PrefillPerToken is the time of one prompt token that isn't cached.
	// Prefills run one after another.
	PrefillPerToken time.Duration
	// TransferPerToken is the time to export or import one cached token.
	TransferPerToken time.Duration
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// StreamKeep is how long a finished stream can be read.
	StreamKeep time.Duration
	// OrphanAfter is how long a stream without a reader is generated.
	OrphanAfter time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// CacheEventDelay is the age of the newest cache event that is shown.
	CacheEventDelay time.Duration
	// CacheEventGap leaves out one of so many cache events; 0 leaves out none.
	CacheEventGap int64
	// LeaveGrace is how long new work is taken after PathLeave.
	LeaveGrace time.Duration
	// Fencing makes the engine refuse orders with an old fence.
	Fencing bool
	// LoadTime is the time to load a model, after its weights were read.
	LoadTime time.Duration
	// WeightStore is the base address of the weight store; empty means that
	// weights are at hand.
	WeightStore string
	// Crash ends the process. When nil, a crash makes the server cut all its
	// connections from then on.
	Crash func()
	// Clock is the machine's when nil.
	Clock standin.Clock
}

// DefaultConfig returns an engine that serves all models.
func DefaultConfig() Config {
	return Config{
		Slots:            DefaultSlots,
		TokenTime:        DefaultTokenTime,
		PrefillPerToken:  DefaultPrefillPerToken,
		TransferPerToken: DefaultTransferPerToken,
		CacheTokens:      DefaultCacheTokens,
		StreamKeep:       DefaultStreamKeep,
		OrphanAfter:      DefaultOrphanAfter,
		LoadLag:          DefaultLoadLag,
		CacheEventDelay:  DefaultCacheEventDelay,
		CacheEventGap:    DefaultCacheEventGap,
		LeaveGrace:       DefaultLeaveGrace,
		Fencing:          true,
	}
}

// State is the body of GET /admin/state.
type State struct {
	// Chats counts accepted chat requests, and Started those that got a slot.
	Chats          int64 `json:"chats"`
	Started        int64 `json:"started"`
	Finished       int64 `json:"finished"`
	Resumes        int64 `json:"resumes"`
	Cancelled      int64 `json:"cancelled"`
	Orphaned       int64 `json:"orphaned"`
	RefusedLeaving int64 `json:"refused_leaving"`
	OutageFailed   int64 `json:"outage_failed"`
	Crashes        int64 `json:"crashes"`
	ChunksSwapped  int64 `json:"chunks_swapped"`
	WentSilent     int64 `json:"went_silent"`
	Cut            int64 `json:"cut"`
	// PromptTokens and CachedTokens count the prompts of started chats.
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	CacheUsedTokens int   `json:"cache_used_tokens"`
	CacheEntries    int   `json:"cache_entries"`
	CacheExports    int64 `json:"cache_exports"`
	CacheImports    int64 `json:"cache_imports"`
	Orders          int64 `json:"orders"`
	OrdersRefused   int64 `json:"orders_refused"`
	Running         int   `json:"running"`
	Waiting         int   `json:"waiting"`
	PeakRunning     int   `json:"peak_running"`
}

// Server is the engine. It is an http.Handler.
type Server struct {
	// Faults can be changed at any time.
	Faults standin.Switch[Faults]

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

func (s *Server) faultsChanged(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Frozen && s.thawed == nil:
		s.thawed = make(chan struct{})
	case !f.Frozen && s.thawed != nil:
		close(s.thawed)
		s.thawed = nil
	}
	if f.Outage != standin.OutageNone {
		s.cutOpenLocked()
	}
}

// Act performs an action.
func (s *Server) Act(a Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.SilenceOpen {
		close(s.silenced)
		s.silenced = make(chan struct{})
	}
	if a.CutOpen {
		s.cutOpenLocked()
	}
	if a.DropCache {
		s.cache.clear()
	}
	if a.Crash {
		s.crashLocked()
	}
}

func (s *Server) cutOpenLocked() {
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *Server) serveActions(w http.ResponseWriter, r *http.Request) {
	var action Action
	if standin.ReadStrictJSON(w, r, &action) != nil {
		return
	}
	s.Act(action)
	w.WriteHeader(http.StatusNoContent)
}

// crashLocked ends the process, or cuts all connections from now on.
func (s *Server) crashLocked() {
	s.state.Crashes++
	if s.cfg.Crash != nil {
		s.cfg.Crash()
	}
	s.stopLocked()
}

func (s *Server) stopLocked() {
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

func (s *Server) count(change func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.state)
}

// publish is called by the cache while the mutex is held.
func (s *Server) publish(kind string, node *cacheNode) {
	s.events.add(s.clock.Now(), kind, node)
}
