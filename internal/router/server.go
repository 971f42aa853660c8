package router

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"golang.org/x/sync/semaphore"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
	"github.com/verbenatrail/verbenatrail/internal/serving"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

const (
	defaultRetryAfter = time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// writeTimeout bounds each write, so that a caller that doesn't read can't
	// block a call for good.
	writeTimeout = 10 * time.Second
	// answerTime is how long callers may take to read the responses to requests that
	// Stop ends.
	answerTime = time.Second
)

// Actions runs non-idempotent calls at the holder of the key's claim slot.
type Actions interface {
	RunAction(ctx context.Context, request *peerpb.ActionRequest) (*peerpb.ActionResult, *refusal.Refusal)
}

// Options are what a Server needs. All fields are required.
type Options struct {
	Settings Settings
	Config   func() *fleet.Snapshot
	Relay    *relay.Relay
	Actions  Actions
	// MoveTo returns the address of another router to use while this one is
	// leaving, and an empty string otherwise.
	MoveTo   func() string
	Registry metrics.Registry
}

// Server serves callers' HTTP requests. It is safe for concurrent use.
type Server struct {
	settings Settings
	config   func() *fleet.Snapshot
	relay    *relay.Relay
	actions  Actions
	moveTo   func() string
	metrics  *serverMetrics
	bodies   *semaphore.Weighted
	open     atomic.Int64
}

// NewServer returns a server.
func NewServer(o Options) *Server {
	return &Server{
		settings: o.Settings, config: o.Config, relay: o.Relay, actions: o.Actions, moveTo: o.MoveTo,
		metrics: newServerMetrics(o.Registry),
		bodies:  semaphore.NewWeighted(o.Settings.MaxHeldBodyBytes),
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if moveTo := s.moveTo(); moveTo != "" {
		w.Header().Set(HeaderMoveTo, moveTo)
		w.Header().Set("Connection", "close")
	}
	ctx, span := telemetry.StartSpan(telemetry.ExtractHTTP(r.Context(), r.Header), "router.receive",
		attribute.String("http.request.method", r.Method), attribute.String("url.path", r.URL.Path))
	defer span.End()
	info, refused := s.readInfo(r)
	w.Header().Set(HeaderRequestID, info.requestID)
	if refused != nil {
		s.refuse(w, info, refused)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, info.timeout)
	defer cancel()
	s.metrics.requests.Inc(1)
	s.metrics.open.Update(s.open.Add(1))
	defer func() { s.metrics.open.Update(s.open.Add(-1)) }()
	s.route(w, r.WithContext(ctx), info)
}

func (s *Server) route(w http.ResponseWriter, r *http.Request, info callInfo) {
	switch {
	case r.URL.Path == PathChat:
		s.serveChat(w, r, info)
	case strings.HasPrefix(r.URL.Path, PathServices):
		s.serveService(w, r, info)
	default:
		s.refuse(w, info, refusal.New(refusal.UnknownService,
			"no such path: use "+PathChat+" or "+PathServices+"{service}/{path}"))
	}
}

// refuse immediately sends a refusal as the complete response.
func (s *Server) refuse(w http.ResponseWriter, info callInfo, refused *refusal.Refusal) {
	s.metrics.countRefusal(refused)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	refused.WriteHTTP(w, info.requestID)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.open.Load() }

// HTTPServer is the HTTP server for callers.
type HTTPServer struct {
	*http.Server
	endRequests context.CancelCauseFunc
}

// NewHTTPServer returns the HTTP server for callers, with limits on the time and
// size of headers.
func NewHTTPServer(handler http.Handler) *HTTPServer {
	requests, end := context.WithCancelCause(context.Background())
	return &HTTPServer{endRequests: end, Server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return requests },
	}}
}

// Stop waits for the requests in flight until ctx ends. It then calls ending, and ends those
// that are left with serving.ErrStopping. It returns an error if they were not over
// answerTime later; their connections are then closed.
func (h *HTTPServer) Stop(ctx context.Context, ending func()) error {
	if h.Shutdown(ctx) == nil {
		return nil
	}
	ending()
	h.endRequests(serving.ErrStopping)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	if err := h.Shutdown(last); err != nil {
		_ = h.Close()
		return errors.Wrapf(err, "requests in flight were not over %v after they were ended", answerTime)
	}
	return nil
}
