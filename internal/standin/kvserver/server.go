// Package kvserver is a stand-in for the platform's key-value service: the
// etcd v3 JSON gateway over one in-memory store, with rate limits and fault
// injection.
package kvserver

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Defaults of Config.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2_000
	DefaultHistoryLimit    = 100_000
)

// maxRequestBytes bounds the body of a call. It holds one value of MaxValueBytes
// in base64, with room for the other fields.
const maxRequestBytes = 4 << 20

// Config configures a Server.
type Config struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits. Granting, renewing
	// and revoking a lease count as writes, a query of a lease's TTL as a read.
	// Opening a watch counts as one read.
	WritesPerSecond int
	ReadsPerSecond  int
	// HistoryLimit is the maximum number of changes kept for watches.
	HistoryLimit int
	// Clock defaults to the system clock if nil.
	Clock standin.Clock
}

// DefaultConfig returns the default Config, whose rate limits are those of the
// platform's service.
func DefaultConfig() Config {
	return Config{
		WritesPerSecond: DefaultWritesPerSecond,
		ReadsPerSecond:  DefaultReadsPerSecond,
		HistoryLimit:    DefaultHistoryLimit,
	}
}

// Calls counts calls by method. Calls that were rejected by the rate limits or
// failed by an outage are counted in State instead.
type Calls struct {
	Range      int64 `json:"range"`
	Put        int64 `json:"put"`
	Delete     int64 `json:"delete"`
	Txn        int64 `json:"txn"`
	Grant      int64 `json:"grant"`
	KeepAlive  int64 `json:"keep_alive"`
	Revoke     int64 `json:"revoke"`
	TimeToLive int64 `json:"time_to_live"`
	Watch      int64 `json:"watch"`
}

// State is the body of GET /admin/state.
type State struct {
	Calls         Calls `json:"calls"`
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	RateLimited   int64 `json:"rate_limited"`
	OutageFailed  int64 `json:"outage_failed"`
	RepliesLost   int64 `json:"replies_lost"`
	LeasesExpired int64 `json:"leases_expired"`
	Revision      int64 `json:"revision"`
	Keys          int   `json:"keys"`
	Leases        int   `json:"leases"`
	OpenWatches   int   `json:"open_watches"`
}

// Server is the key-value service. It implements http.Handler.
type Server struct {
	// Faults may be changed while the server is running.
	Faults standin.FaultConfig[Faults]

	clock  standin.Clock
	limits limits
	mux    *http.ServeMux
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	store *store
	state State
	// changed is closed and replaced when the store changes.
	changed chan struct{}
	// watchesEnded is closed and replaced to end all watches.
	watchesEnded chan struct{}
	expiryTimer  standin.Timer
}

// New returns a Server with an empty store.
func New(cfg Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		ctx:          ctx,
		cancel:       cancel,
		clock:        standin.ClockOrSystem(cfg.Clock),
		limits:       newLimits(cfg.WritesPerSecond, cfg.ReadsPerSecond),
		mux:          http.NewServeMux(),
		store:        newStore(cfg.HistoryLimit),
		changed:      make(chan struct{}),
		watchesEnded: make(chan struct{}),
	}
	s.Faults.OnChange = s.faultsChanged
	s.routes()
	return s
}

// ServeHTTP serves the gateway and the admin endpoints for tests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close stops the lease expiry timer, closes all watches and aborts delayed calls.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatchesLocked()
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
}

// State returns the counters and the current size of the store. Leases that are
// due are expired first.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	state := s.state
	state.Revision = s.store.revision
	state.Keys = len(s.store.keys)
	state.Leases = len(s.store.leases)
	return state
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v3/kv/range", handle(s, callRange))
	s.mux.HandleFunc("POST /v3/kv/put", handle(s, callPut))
	s.mux.HandleFunc("POST /v3/kv/deleterange", handle(s, callDelete))
	s.mux.HandleFunc("POST /v3/kv/txn", handle(s, callTxn))
	s.mux.HandleFunc("POST /v3/lease/grant", handle(s, callGrant))
	s.mux.HandleFunc("POST /v3/lease/keepalive", handle(s, callKeepAlive))
	s.mux.HandleFunc("POST /v3/lease/revoke", handle(s, callRevoke))
	s.mux.HandleFunc("POST /v3/kv/lease/revoke", handle(s, callRevoke))
	s.mux.HandleFunc("POST /v3/lease/timetolive", handle(s, callTimeToLive))
	s.mux.HandleFunc("POST /v3/kv/lease/timetolive", handle(s, callTimeToLive))
	s.mux.HandleFunc("POST /v3/watch", s.serveWatch)
	s.mux.HandleFunc("GET "+standin.PathState, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.State())
	})
	s.mux.Handle("GET "+standin.PathFaults, &s.Faults)
	s.mux.Handle("POST "+standin.PathFaults, &s.Faults)
	s.mux.HandleFunc("POST "+standin.PathActions, s.serveActions)
}

// admit decodes a request into dst, applies outage, delay and rate limit, and
// reports whether the call may proceed.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, dst any, isWrite func() bool) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, ErrTooLarge)
		return false
	}
	if err := decodeGateway(body, dst); err != nil {
		writeError(w, err)
		return false
	}
	faults := s.Faults.Get()
	if faults.Outage != standin.OutageNone {
		s.count(func(state *State) { state.OutageFailed++ })
		faults.Outage.Apply(w)
		return false
	}
	// The server's context is used, not the request's: a delayed call is applied
	// even if its caller has cancelled it in the meantime.
	if standin.Sleep(s.ctx, s.clock, faults.delay()) != nil {
		return false
	}
	return s.admitRate(w, isWrite())
}

func (s *Server) admitRate(w http.ResponseWriter, write bool) bool {
	if !s.limits.allow(s.clock.Now(), write) {
		s.count(func(state *State) { state.RateLimited++ })
		writeError(w, errRateLimited)
		return false
	}
	s.count(func(state *State) {
		if write {
			state.Writes++
		} else {
			state.Reads++
		}
	})
	return true
}

func (s *Server) count(change func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.state)
}

// changedLocked notifies the watches of a change and reschedules the lease expiry
// timer.
func (s *Server) changedLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
	s.scheduleExpiryLocked()
}

func (s *Server) scheduleExpiryLocked() {
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
		s.expiryTimer = nil
	}
	next, ok := s.store.nextExpiry()
	if !ok {
		return
	}
	s.expiryTimer = s.clock.AfterFunc(next.Sub(s.clock.Now()), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLocked()
		s.scheduleExpiryLocked()
	})
}

// expireLocked revokes the leases whose expiry has passed and notifies the watches.
func (s *Server) expireLocked() {
	expired := s.store.expire(s.clock.Now())
	if expired == 0 {
		return
	}
	s.state.LeasesExpired += int64(expired)
	close(s.changed)
	s.changed = make(chan struct{})
}

// gRPC status codes that the gateway returns in error bodies.
const (
	codeInvalidArgument    = 3
	codeNotFound           = 5
	codeResourceExhausted  = 8
	codeFailedPrecondition = 9
)

var errRateLimited = errors.New("etcdserver: too many requests")

func writeError(w http.ResponseWriter, err error) {
	status, code := http.StatusBadRequest, codeInvalidArgument
	switch {
	case errors.Is(err, errRateLimited):
		status, code = http.StatusTooManyRequests, codeResourceExhausted
	case errors.Is(err, ErrLeaseNotFound):
		status, code = http.StatusNotFound, codeNotFound
	case errors.Is(err, ErrLeaseExists):
		status, code = http.StatusBadRequest, codeFailedPrecondition
	}
	standin.WriteJSON(w, status, gatewayError{Error: err.Error(), Code: code, Message: err.Error()})
}

// ttlSeconds rounds a duration up to whole seconds, the unit of lease TTLs.
func ttlSeconds(d time.Duration) Int64 {
	return Int64((d + time.Second - 1) / time.Second)
}
