// Package weights is a stand-in for the platform's rate-limited store of model
// weights.
package weights

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// PathWeights is the path prefix of the weights; the name of the model follows.
const PathWeights = "/v1/weights/"

// Defaults of Config.
const (
	DefaultLoadsPerMinute = 30
	DefaultBurst          = 2
	DefaultSizeBytes      = 64 << 10
)

// Config configures a Server.
type Config struct {
	// LoadsPerMinute and Burst configure the token bucket, which all clients of
	// the store share.
	LoadsPerMinute float64
	Burst          int
	// SizeBytes is the size of each model's weights.
	SizeBytes int64
	// Clock defaults to the system clock when nil.
	Clock standin.Clock
}

// DefaultConfig returns the configuration of a store with a low rate limit.
func DefaultConfig() Config {
	return Config{LoadsPerMinute: DefaultLoadsPerMinute, Burst: DefaultBurst, SizeBytes: DefaultSizeBytes}
}

// Faults are the faults that can be set on the store. The zero value has none.
type Faults struct {
	// Outage makes every request fail.
	Outage standin.Outage `json:"outage"`
	// DelayMS is added before each response, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// State is the body of GET /admin/state.
type State struct {
	Served       int64 `json:"served"`
	RateLimited  int64 `json:"rate_limited"`
	OutageFailed int64 `json:"outage_failed"`
}

// Server is the weight store. It is an http.Handler.
type Server struct {
	// Faults can be changed at any time.
	Faults standin.FaultConfig[Faults]

	cfg     Config
	clock   standin.Clock
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu    sync.Mutex
	state State
}

// New returns a store that has weights for every model.
func New(cfg Config) *Server {
	perSecond := rate.Limit(cfg.LoadsPerMinute / time.Minute.Seconds())
	s := &Server{
		cfg:     cfg,
		clock:   standin.ClockOrSystem(cfg.Clock),
		limiter: rate.NewLimiter(perSecond, cfg.Burst),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET "+PathWeights+"{model}", s.serveWeights)
	s.mux.HandleFunc("GET "+standin.PathState, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.State())
	})
	s.mux.Handle("GET "+standin.PathFaults, &s.Faults)
	s.mux.Handle("POST "+standin.PathFaults, &s.Faults)
	return s
}

// ServeHTTP serves the weights and the admin paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// State returns the current counters.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *Server) updateState(change func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.state)
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults.Get()
	if faults.Outage != standin.OutageNone {
		s.updateState(func(state *State) { state.OutageFailed++ })
		faults.Outage.Apply(w)
		return
	}
	delay := time.Duration(faults.DelayMS) * time.Millisecond
	if standin.Sleep(r.Context(), s.clock, delay) != nil {
		return
	}
	if wait := s.takeToken(); wait > 0 {
		s.rejectRateLimited(w, wait)
		return
	}
	s.updateState(func(state *State) { state.Served++ })
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.cfg.SizeBytes, 10))
	_, _ = io.CopyN(w, zeroReader{}, s.cfg.SizeBytes)
}

// takeToken takes one token from the bucket and returns 0, or returns the time
// until the next token when the bucket is empty.
func (s *Server) takeToken() time.Duration {
	now := s.clock.Now()
	reservation := s.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

func (s *Server) rejectRateLimited(w http.ResponseWriter, wait time.Duration) {
	s.updateState(func(state *State) { state.RateLimited++ })
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	standin.WriteError(w, http.StatusTooManyRequests, "rate of the weight store reached: retry later")
}

// zeroReader is an endless stream of zero bytes.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
