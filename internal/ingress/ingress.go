// Package ingress takes callers' connections: it reads calls, hands them to the
// dispatcher, writes answers, and stops without cutting any.
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/dispatch"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/serving"
)

// Codec translates between callers' wire format and calls.
type Codec interface {
	// DecodeCall reads a call from its request and body.
	DecodeCall(r *http.Request, body []byte) *call.Call
	// WriteRefusal sends a refusal as the whole answer to a call.
	WriteRefusal(w http.ResponseWriter, callID string, r *refusal.Refusal)
}

// Dispatcher serves calls, see package dispatch.
type Dispatcher interface {
	Serve(ctx context.Context, c *call.Call, out dispatch.Responder)
}

const (
	// headerTimeout bounds the time for a request's head before a configuration
	// is known, and where it names no limit.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's head before the configuration in force
	// is looked at.
	maxHeaderBytes = 1 << 20
	// defaultMaxBody bounds a body where the configuration names no limit.
	defaultMaxBody = 8 << 20
	// sweepInterval is the time between two looks for overdue connections.
	sweepInterval = time.Second
	// leavingRetryAfter sends callers of a stopping router to another at once.
	leavingRetryAfter = 10 * time.Millisecond
)

// Options configure a Server.
type Options struct {
	Codec      Codec
	Dispatcher Dispatcher
	// Table returns the routes in force, nil before any are known.
	Table    func() *routing.Table
	Log      *decisionlog.Log
	Registry metrics.Registry
}

// Server serves callers.
type Server struct {
	options Options
	http    *http.Server
	// leaving is set once connections are closed after their next answer, and
	// closed once no more calls are taken.
	leaving atomic.Bool
	closed  atomic.Bool

	waits *waits
	// open is the number of connections.
	open metrics.Counter
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{options: o, waits: newWaits(),
		open: metrics.GetOrRegisterCounter("callers.connections.open", o.Registry)}
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.connState,
	}
	return s
}

// Serve accepts callers until Stop.
func (s *Server) Serve(listener net.Listener) error {
	listener = waitingListener{Listener: listener, waits: s.waits}
	return errors.Wrap(serving.UntilClosed(s.http, listener), "callers can't be served")
}

// connState keeps the time since which a connection waits for a request. The
// server reports a connection as active once a request's head is complete.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Inc(1)
		s.waits.begin(conn)
	case http.StateIdle:
		s.waits.begin(conn)
	case http.StateClosed, http.StateHijacked:
		s.open.Dec(1)
		s.waits.end(conn)
	default:
		s.waits.end(conn)
	}
}

// Run closes connections on which a request is awaited for longer than the
// configuration allows, until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.closeOverdue(now)
		}
	}
}

func (s *Server) closeOverdue(now time.Time) {
	if table := s.options.Table(); table != nil {
		s.waits.closeOverdue(now, table.Limits)
	}
}

// Leave makes each connection close after its next answer. Calls are still
// taken.
func (s *Server) Leave() { s.leaving.Store(true) }

// Stop takes no more calls and waits for those in flight until the context
// ends; its error tells that some were cut.
func (s *Server) Stop(ctx context.Context) error {
	s.leaving.Store(true)
	s.closed.Store(true)
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return errors.Wrap(err, "calls were cut at the end of the grace period")
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	body, refused := s.readBody(w, r)
	c := s.options.Codec.DecodeCall(r, body)
	c.ReceivedAt = arrived
	if refused == nil && s.closed.Load() {
		refused = refusal.New(refusal.Leaving, "this router is stopping: send the call to another one").
			WithRetryAfter(leavingRetryAfter)
	}
	if refused != nil {
		s.refuse(w, c, refused)
		return
	}
	out := &responder{w: w, codec: s.options.Codec, call: c, leaving: &s.leaving}
	s.options.Dispatcher.Serve(r.Context(), c, out)
	if out.broken {
		// Ends the connection without the mark of a complete answer.
		panic(http.ErrAbortHandler)
	}
}

// readBody reads a request's body within the limits in force.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal.Refusal) {
	limits := routing.Limits{}
	if table := s.options.Table(); table != nil {
		limits = table.Limits
	}
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		return nil, refusal.New(refusal.HeadersTooLarge, "the headers exceed the configured limit: send fewer")
	}
	limit := int64(limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return nil, tooLarge()
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return nil, tooLarge()
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "the body ended early: send the call again, "+err.Error())
	default:
		return body, nil
	}
}

func tooLarge() *refusal.Refusal {
	return refusal.New(refusal.BodyTooLarge, "the body exceeds the configured limit: send a shorter one")
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

func (s *Server) refuse(w http.ResponseWriter, c *call.Call, refused *refusal.Refusal) {
	s.options.Log.Decision("call refused", decisionlog.Fields{
		"call": c.ID, "kind": string(refused.Kind), "outcome": string(refused.Outcome),
		"target": c.Target, "leaving": s.leaving.Load(),
	})
	s.options.Codec.WriteRefusal(w, c.ID, refused)
}
