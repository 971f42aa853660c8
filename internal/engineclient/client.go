// Package engineclient speaks to one model engine: it starts, resumes and
// cancels answer streams and tells apart what can go wrong with them.
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
)

// Errors of an answer stream. Callers test for them with errors.Is.
var (
	// ErrUnreachable means that the engine surely didn't get the request.
	ErrUnreachable = errors.New("engine can't be reached: ask another engine")
	// ErrConnectionLost means that the connection ended before the answer did.
	ErrConnectionLost = errors.New("engine closed the stream early: resume it or go on at another engine")
	// ErrStalled means that no token came within the stall timeout.
	ErrStalled = errors.New("engine sent nothing within the stall timeout: resume on a new connection")
	// ErrUnexpectedToken means that the stream carried a token of another request or
	// out of order.
	ErrUnexpectedToken = errors.New("engine sent a token of another answer: resume on a new connection")
	// ErrRejected means that the engine answered with an error and ran nothing.
	ErrRejected = errors.New("engine rejected the request: ask another engine")
	// ErrLeaving means that the engine takes no new work.
	ErrLeaving = errors.New("engine is leaving: ask another engine")
	// ErrStreamGone means that the engine no longer holds the stream.
	ErrStreamGone = errors.New("engine no longer holds the stream: start the answer again")
)

const (
	dialTimeout = 500 * time.Millisecond
	// cancelTimeout bounds a request that cancels a stream.
	cancelTimeout  = 2 * time.Second
	maxIdlePerHost = 64
	idleTimeout    = 30 * time.Second
)

// Client speaks to engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// stall is the longest accepted time between two tokens.
	stall time.Duration
	// firstToken is the longest accepted time before the first token.
	firstToken time.Duration
}

// New returns a client with the given stall timeouts.
func New(firstToken, stall time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{http: &http.Client{Transport: transport}, stall: stall, firstToken: firstToken}
}

// IDs identify one chat request at an engine.
type IDs struct {
	// RequestID is repeated by the engine in each token.
	RequestID string
	// StreamID is the name under which the answer can be resumed and cancelled.
	StreamID string
}

// Start sends a chat request, as JSON, and returns its answer stream.
func (c *Client) Start(ctx context.Context, address string, names IDs, priority string, body json.RawMessage) (*Stream, error) {
	requestID := names.RequestID
	base := sling.New().Base("http://"+address).
		Set(engineapi.HeaderRequestID, requestID).
		Set(engineapi.HeaderStreamID, names.StreamID).
		Set(engineapi.HeaderPriority, priority)
	httpRequest, err := base.Post(engineapi.PathChat).BodyJSON(body).Request()
	if err != nil {
		return nil, errors.Wrap(err, "chat request")
	}
	return c.open(ctx, httpRequest, requestID, 0, c.firstToken)
}

// Resume continues a stream after the given number of tokens, on a new
// connection.
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
	return c.open(ctx, httpRequest, requestID, after, c.stall)
}

// Cancel ends a stream that nobody reads any longer. ErrStreamGone means that
// the engine doesn't have it, or hasn't read its request yet; another error that
// the engine didn't answer.
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
		err = classifyDo(ctx, err)
		cancel(nil)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		watchdog.Stop()
		_ = response.Body.Close()
		cancel(nil)
		return nil, classifyStatus(response.StatusCode)
	}
	return newStream(ctx, cancel, watchdog, c.stall, response, requestID, first), nil
}

// classifyDo tells a request that was surely not sent from one that may run.
func classifyDo(ctx context.Context, err error) error {
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
