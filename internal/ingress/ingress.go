// Package ingress is the HTTP server for callers: it reads calls, passes them to
// the dispatcher and writes the responses. It shuts down gracefully.
package ingress

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/dispatch"
	"github.com/verbenatrail/verbenatrail/internal/memquota"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/serving"
)

// Codec translates between the wire format of callers and calls.
type Codec interface {
	// DecodeCall decodes a call from the head of its HTTP request.
	DecodeCall(r *http.Request) *call.Call
	// WriteRefusal writes a refusal as the complete response to a call.
	WriteRefusal(w http.ResponseWriter, callID string, r *refusal.Refusal)
}

// Dispatcher serves calls; see package dispatch.
type Dispatcher interface {
	Serve(ctx context.Context, c *call.Call, out dispatch.Responder)
}

const (
	// headerTimeout bounds the time to read a request's header before a
	// configuration is known, or if it sets no limit.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header before the limits of the
	// configuration apply.
	maxHeaderBytes = 1 << 20
	// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// sweepInterval is the time between checks for connections past their timeout.
	sweepInterval = time.Second
	// answerTime is how long callers may take to read the responses to calls that Stop
	// ends, and closeMargin the time until their connections are closed after that.
	answerTime  = 200 * time.Millisecond
	closeMargin = 100 * time.Millisecond
	// closePollInterval is the time between checks whether all connections are closed.
	closePollInterval = 5 * time.Millisecond
	// bodiesRetryAfter is the retry delay while request bodies take too much memory:
	// the calls that hold it mostly end within a second.
	bodiesRetryAfter = time.Second
)

// Options configure a Server.
type Options struct {
	Codec      Codec
	Dispatcher Dispatcher
	// Buffers bounds the memory of request bodies, which are read before a call is
	// dispatched.
	Buffers *memquota.Quota
	// Table returns the current routing table, nil before one is known.
	Table    func() *routing.Table
	Log      *decisionlog.Log
	Registry metrics.Registry
}

// Server accepts callers' connections and serves their calls.
type Server struct {
	options Options
	http    *http.Server
	// leaving is set once connections are closed after their next response, closed
	// once new calls are refused.
	leaving atomic.Bool
	closed  atomic.Bool
	// calls is the parent of the contexts of all calls, which endCalls ends.
	calls    context.Context
	endCalls context.CancelCauseFunc
	// inFlight is the number of calls that are read or served. Once new calls are refused,
	// idle is signalled when it falls to zero.
	inFlight atomic.Int64
	idle     chan struct{}

	listener atomic.Pointer[net.Listener]
	tracker  *connTracker
	// openConns is the number of open connections.
	openConns metrics.Counter
}

// New returns a Server. Call Run to enforce the configured timeouts, and Serve.
func New(o Options) *Server {
	s := &Server{options: o, tracker: newConnTracker(), idle: make(chan struct{}, 1),
		openConns: metrics.GetOrRegisterCounter("callers.connections.open", o.Registry)}
	s.calls, s.endCalls = context.WithCancelCause(context.Background())
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.connState,
		BaseContext: func(net.Listener) context.Context { return s.calls }, ConnContext: serving.WithConn,
	}
	return s
}

// Serve accepts connections until Refuse or Stop.
func (s *Server) Serve(listener net.Listener) error {
	s.listener.Store(&listener)
	err := serving.UntilClosed(s.http, trackedListener{Listener: listener, tracker: s.tracker})
	if s.closed.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// connState tracks since when a connection has been waiting for a request.
// http.Server reports a connection as active once a request's header is complete.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Inc(1)
		s.tracker.beginWait(conn)
	case http.StateIdle:
		s.tracker.beginWait(conn)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Dec(1)
		s.tracker.endWait(conn)
	default:
		s.tracker.endWait(conn)
	}
}

// Run closes connections that wait for a request for longer than the configured
// timeouts, until the context ends.
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
		s.tracker.closeOverdue(now, table.Limits)
	}
}

// Leave makes each connection close after its next response. New calls are still
// accepted.
func (s *Server) Leave() { s.leaving.Store(true) }

// Refuse refuses new connections and new calls. Open connections stay open: callers may be
// sending on them.
func (s *Server) Refuse() {
	s.leaving.Store(true)
	s.closed.Store(true)
	if listener := s.listener.Load(); listener != nil {
		// An error means that it is closed already.
		_ = (*listener).Close()
	}
}

// Stop refuses new calls, waits for those in flight until the context ends, and closes all
// connections. It ends the calls that are left with serving.ErrStopping, for which it takes
// answerTime and closeMargin at most. It returns an error if a connection had to be closed
// before its call was over.
func (s *Server) Stop(ctx context.Context) error {
	s.Refuse()
	s.awaitIdle(ctx)
	if s.http.Shutdown(ctx) == nil {
		return nil
	}
	s.endCalls(serving.ErrStopping)
	s.awaitClosed(answerTime + closeMargin)
	left := s.inFlight.Load()
	// A response that is cut here must not look complete.
	s.tracker.resetOnClose.Store(true)
	_ = s.http.Close()
	if left > 0 {
		return errors.Errorf("%d calls were not over %v after they were ended, and their connections are closed: raise the grace period", left, answerTime+closeMargin)
	}
	return nil
}

// awaitIdle waits until no call is in flight or the context ends.
func (s *Server) awaitIdle(ctx context.Context) {
	for s.inFlight.Load() > 0 {
		select {
		case <-s.idle:
		case <-ctx.Done():
			return
		}
	}
}

// callOver counts the end of a call.
func (s *Server) callOver() {
	if s.inFlight.Add(-1) > 0 || !s.closed.Load() {
		return
	}
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

// awaitClosed waits until all calls are over and their connections closed, at most for a
// time.
func (s *Server) awaitClosed(limit time.Duration) {
	// With this context, Shutdown checks the connections once.
	once, cancel := context.WithCancel(context.Background())
	cancel()
	for end := time.Now().Add(limit); (s.inFlight.Load() > 0 || s.http.Shutdown(once) != nil) && time.Now().Before(end); {
		time.Sleep(closePollInterval)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	s.inFlight.Add(1)
	defer s.callOver()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	buffer := s.options.Buffers.Reserve()
	defer buffer.Release()
	c := s.options.Codec.DecodeCall(r)
	c.ReceivedAt = receivedAt
	deadlines := http.NewResponseController(w)
	// The next call on the connection has a deadline of its own.
	defer func() { _ = deadlines.SetWriteDeadline(time.Time{}) }()
	if r.ContentLength != 0 {
		// The errors are ignored: a connection that takes no deadline is closed already.
		_ = deadlines.SetReadDeadline(bodyDeadline(c))
	}
	stopReading := context.AfterFunc(s.calls, func() { _ = deadlines.SetReadDeadline(time.Now()) })
	body, refused := s.readBody(w, r, buffer)
	stopReading()
	if refused == nil && r.ContentLength != 0 {
		// After a refusal the deadline also bounds the rest of the body.
		_ = deadlines.SetReadDeadline(time.Time{})
	}
	c.Body = body
	if refused == nil && s.closed.Load() {
		refused = refusal.NewLeaving()
	}
	if refused != nil {
		s.refuse(w, c, refused)
		return
	}
	boundWrites := context.AfterFunc(s.calls, func() { _ = deadlines.SetWriteDeadline(time.Now().Add(answerTime)) })
	defer boundWrites()
	out := &responder{w: w, request: r, codec: s.options.Codec, call: c, leaving: &s.leaving, log: s.options.Log}
	s.options.Dispatcher.Serve(r.Context(), c, out)
	if !out.complete() {
		abort(w, r)
	}
}

// abort closes the connection of a call without a whole response, so that the caller sees
// that it is incomplete: if the handler returned, the server would end the response, and
// write an empty 200 if there is none. For a caller that speaks HTTP/1.0 the end of the
// connection is that of the response, which is why it is reset. It doesn't return unless
// the connection is reset.
func abort(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reset(conn)
}

// readBody reads a request's body within the configured limits and the memory that all
// bodies may take together.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, buffer *memquota.Reservation) ([]byte, *refusal.Refusal) {
	limits := routing.Limits{}
	if table := s.options.Table(); table != nil {
		limits = table.Limits
	}
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		return nil, refusal.New(refusal.HeadersTooLarge, "the headers exceed the configured limit: send fewer")
	}
	limit := int64(limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := buffer.ReadAll(http.MaxBytesReader(w, r.Body, limit), limit)
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return nil, bodyTooLarge()
	case errors.Is(err, memquota.ErrExhausted):
		return nil, refusal.New(refusal.Overloaded, "the request bodies at this router: "+err.Error()+": send the call again after the pause").
			WithRetryAfter(bodiesRetryAfter)
	case err != nil && s.calls.Err() != nil:
		w.Header().Set("Connection", "close")
		return nil, refusal.NewLeaving()
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The rest of the body would be taken for the next request.
		w.Header().Set("Connection", "close")
		return nil, refusal.New(refusal.SlowRequest, "the body didn't arrive within the call's time: send it faster, or allow more time")
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "the body ended early: send the call again, "+err.Error())
	default:
		return body, nil
	}
}

// defaultBodyTimeout bounds the arrival of the body of a call that names no time.
const defaultBodyTimeout = time.Minute

// bodyDeadline returns when the body of a call must have arrived: its caller waits no
// longer for the response.
func bodyDeadline(c *call.Call) time.Time {
	if c.Timeout > 0 {
		return c.ReceivedAt.Add(c.Timeout)
	}
	return c.ReceivedAt.Add(defaultBodyTimeout)
}

func bodyTooLarge() *refusal.Refusal {
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
	metrics.GetOrRegisterCounter("calls.refused."+string(refused.Kind), s.options.Registry).Inc(1)
	if refused.Kind == refusal.Leaving {
		metrics.GetOrRegisterCounter("calls.stop.refused", s.options.Registry).Inc(1)
	}
	s.options.Codec.WriteRefusal(w, c.ID, refused)
}
