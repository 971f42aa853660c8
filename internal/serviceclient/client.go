// Package serviceclient sends calls to the instances of services. Calls that
// must not be repeated are sent once, each over a new connection.
package serviceclient

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// ErrTooLarge means that the response body exceeds the client's limit.
var ErrTooLarge = errors.New("service's answer is too large: raise max_response_bytes")

// Client sends calls to instances of services. It is safe for concurrent use.
type Client struct {
	pool     *upstream.Pool
	maxBytes int64
}

// Response is a complete response of a service.
type Response struct {
	Status  int
	Headers []*peerpb.Header
	Body    []byte
}

// New returns a client that rejects response bodies larger than maxBytes.
func New(maxBytes int64, registry metrics.Registry) *Client {
	return &Client{pool: upstream.NewPool(registry), maxBytes: maxBytes}
}

// Run closes expired connections until ctx is done, and then closes all.
func (c *Client) Run(ctx context.Context) error { return c.pool.Run(ctx) }

// Do sends a call that may be repeated. Its errors are upstream.ErrUnreachable,
// upstream.ErrBroken and ErrTooLarge. A response with neither a length nor chunks is whole
// if its instance still answers afterwards.
func (c *Client) Do(ctx context.Context, address string, call *peerpb.ServiceCall) (*Response, error) {
	return c.send(ctx, c.pool.Get, address, call)
}

// DoOnce sends a call that must not be repeated, over a new connection. The call
// is sent at most once, and upstream.ErrUnreachable guarantees that it was not
// sent at all. Its other errors are those of Do.
func (c *Client) DoOnce(ctx context.Context, address string, call *peerpb.ServiceCall) (*Response, error) {
	return c.send(ctx, c.pool.Dial, address, call)
}

type connectFunc func(ctx context.Context, address string) (*upstream.Conn, error)

func (c *Client) send(ctx context.Context, connect connectFunc, address string, call *peerpb.ServiceCall) (*Response, error) {
	ctx, span := telemetry.StartSpan(ctx, "service.call", attribute.String("service", call.GetService()))
	response, err := c.exchange(ctx, connect, address, call)
	telemetry.EndSpan(span, err)
	return response, err
}

func (c *Client) exchange(ctx context.Context, connect connectFunc, address string, call *peerpb.ServiceCall) (*Response, error) {
	conn, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := conn.CloseOnDone(ctx)
	response, keepAlive, err := c.roundTrip(ctx, conn, address, call)
	if !stop() || err != nil {
		conn.Close()
		return response, err
	}
	c.pool.Release(conn, keepAlive)
	return response, nil
}

// roundTrip sends the call and reads the complete response. The duration is the
// keep-alive timeout of the instance, as from upstream.KeepAliveTimeout.
func (c *Client) roundTrip(ctx context.Context, conn *upstream.Conn, address string, call *peerpb.ServiceCall) (*Response, time.Duration, error) {
	if err := conn.Send(newRequest(ctx, address, call)); err != nil {
		return nil, 0, err
	}
	head, err := conn.ReadHead(call.GetMethod())
	if err != nil {
		return nil, 0, err
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, c.maxBytes+1))
	if err != nil {
		return nil, 0, errors.Wrap(upstream.ErrBroken, err.Error())
	}
	if int64(len(body)) > c.maxBytes {
		return nil, 0, ErrTooLarge
	}
	if upstream.FramingOf(head) == upstream.UntilClose {
		if err := c.checkGoesOn(ctx, address); err != nil {
			return nil, 0, errors.Wrap(upstream.ErrBroken, "the response ended with its connection and may not be whole: "+
				"the instance should name a length or send chunks: "+err.Error())
		}
	}
	return &Response{Status: head.StatusCode, Headers: EndToEndHeaders(head.Header), Body: body}, upstream.KeepAliveTimeout(head), nil
}

// checkGoesOn returns nil if an instance still answers, with any status. The kernel closes
// the connections of a process that exits like those of one that ends its response.
func (c *Client) checkGoesOn(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, upstream.EndCheckTimeout)
	defer cancel()
	_, _, err := c.pool.Ask(ctx, address, &upstream.Request{
		Method: http.MethodGet, Host: address, Target: engineapi.PathHealth, Header: http.Header{},
	})
	return err
}

func newRequest(ctx context.Context, address string, call *peerpb.ServiceCall) *upstream.Request {
	header := make(http.Header)
	for _, h := range call.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	telemetry.InjectHTTP(ctx, header)
	return &upstream.Request{
		Method: call.GetMethod(), Host: address, Target: call.GetPath(), Header: header, Body: call.GetBody(),
	}
}
