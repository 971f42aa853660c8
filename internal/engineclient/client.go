// Package engineclient is a client of the engine API: it starts, resumes and
// cancels response streams and classifies their failures.
package engineclient

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// Errors of a response stream. Callers test for them with errors.Is.
var (
	// ErrUnreachable means that no byte of the request reached the engine. Cancel
	// also returns it when the engine doesn't respond.
	ErrUnreachable = errors.New("engine can't be reached: try another engine")
	// ErrConnectionLost means that the connection or the stream ended before the
	// response was complete.
	ErrConnectionLost = errors.New("connection to the engine ended before the response was complete: resume it or continue at another engine")
	// ErrStalled means that the engine sent nothing within the stall timeout or
	// the first-token timeout.
	ErrStalled = errors.New("engine sent nothing within the timeout: resume on a new connection")
	// ErrUnexpectedToken means that the stream carried a token of another request,
	// a token out of order, or an event that can't be decoded.
	ErrUnexpectedToken = errors.New("engine sent an unexpected token: resume on a new connection")
	// ErrRejected means that the engine responded with an error status and has not
	// run the request.
	ErrRejected = errors.New("engine rejected the request: try another engine")
	// ErrLeaving means that the engine is shutting down and accepts no new
	// requests.
	ErrLeaving = errors.New("engine is shutting down: try another engine")
	// ErrStreamGone means that the engine no longer holds the stream.
	ErrStreamGone = errors.New("engine no longer holds the stream: send the request again")
)

const (
	dialTimeout = 500 * time.Millisecond
	// cancelTimeout bounds a request that cancels a stream.
	cancelTimeout       = 2 * time.Second
	maxIdleConnsPerHost = 64
	idleTimeout         = 30 * time.Second
)

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// stallTimeout is the longest allowed time between two tokens.
	stallTimeout time.Duration
	// firstTokenTimeout is the longest allowed time until the first token.
	firstTokenTimeout time.Duration
}

// New returns a client with the given timeouts for the first token and between
// tokens.
func New(firstTokenTimeout, stallTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	// The reader of a stream bounds each event.
	const unboundedBody = 0
	transport := upstream.NewTransport(dialer.DialContext, unboundedBody)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdleConnsPerHost, idleTimeout
	return &Client{http: &http.Client{Transport: transport}, stallTimeout: stallTimeout, firstTokenTimeout: firstTokenTimeout}
}

// IDs identifies one chat request at an engine.
type IDs struct {
	// RequestID is included by the engine in each chunk of the stream.
	RequestID string
	// StreamID is used to resume or cancel the stream.
	StreamID string
}

// Start sends a chat request with a JSON body and returns its response stream.
func (c *Client) Start(ctx context.Context, address string, ids IDs, priority string, body json.RawMessage) (*Stream, error) {
	requestID := ids.RequestID
	base := sling.New().Base("http://"+address).
		Set(engineapi.HeaderRequestID, requestID).
		Set(engineapi.HeaderStreamID, ids.StreamID).
		Set(engineapi.HeaderPriority, priority)
	httpRequest, err := base.Post(engineapi.PathChat).BodyJSON(body).Request()
	if err != nil {
		return nil, errors.Wrap(err, "chat request")
	}
	return c.open(ctx, httpRequest, requestID, 0, c.firstTokenTimeout)
}

// Resume continues a stream on a new connection, after the given number of
// received tokens.
func (c *Client) Resume(ctx context.Context, address, requestID, streamID string, after uint32) (*Stream, error) {
	path := engineapi.PathStreams + streamID
	query := engineapi.QueryAfter + "=" + strconv.FormatInt(int64(after)-1, 10)
	httpRequest, err := sling.New().Base("http://"+address).
		Set(engineapi.HeaderRequestID, requestID).
		Get(path + "?" + query).Request()
	if err != nil {
		return nil, errors.Wrap(err, "resume request")
	}
	httpRequest.Close = true
	return c.open(ctx, httpRequest, requestID, after, c.stallTimeout)
}

// Cancel ends a stream that is no longer needed. ErrStreamGone means that the
// engine doesn't hold the stream or hasn't read its request yet; any other error
// means that the engine didn't respond.
func (c *Client) Cancel(ctx context.Context, address, streamID string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	request, err := sling.New().Base("http://" + address).Delete(engineapi.PathStreams + streamID).Request()
	if err != nil {
		return errors.Wrap(err, "cancel request")
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return ErrStreamGone
	}
	return nil
}

func (c *Client) open(ctx context.Context, request *http.Request, requestID string, first uint32,
	timeout time.Duration) (*Stream, error) {
	telemetry.InjectHTTP(ctx, request.Header)
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(timeout, func() { cancel(ErrStalled) })
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		watchdog.Stop()
		err = classifyTransportError(ctx, err)
		cancel(nil)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		watchdog.Stop()
		_ = response.Body.Close()
		cancel(nil)
		return nil, classifyStatus(response.StatusCode)
	}
	return newStream(ctx, cancel, watchdog, c.stallTimeout, response, requestID, first), nil
}

// classifyTransportError distinguishes requests of which nothing was sent from
// those that the engine may be running.
func classifyTransportError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrStalled) {
		return ErrStalled
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(ErrConnectionLost, err.Error())
}

func classifyStatus(status int) error {
	if status == http.StatusNotFound || status == http.StatusGone {
		return ErrStreamGone
	}
	if status == http.StatusServiceUnavailable {
		return ErrLeaving
	}
	return errors.Wrapf(ErrRejected, "status %d", status)
}
