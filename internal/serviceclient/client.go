// Package serviceclient sends calls to the instances of plain services. Calls
// that may not be repeated get a connection of their own and are sent once.
package serviceclient

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// ErrTooLarge means that the answer exceeds the bound.
var ErrTooLarge = errors.New("service's answer is too large: raise max_response_bytes")

// Client sends calls. It is safe for concurrent use.
type Client struct {
	pool     *upstream.Pool
	maxBytes int64
}

// Response is a service's whole answer.
type Response struct {
	Status  int
	Headers []*peerpb.Header
	Body    []byte
}

// New returns a client that refuses answers above maxBytes.
func New(maxBytes int64, registry metrics.Registry) *Client {
	return &Client{pool: upstream.NewPool(registry), maxBytes: maxBytes}
}

// Run closes stale connections until the context ends, and then all.
func (c *Client) Run(ctx context.Context) error { return c.pool.Run(ctx) }

// Do sends a call that may be repeated. Its errors are upstream.ErrUnreachable,
// upstream.ErrBroken and ErrTooLarge.
func (c *Client) Do(ctx context.Context, address string, call *peerpb.ServiceCall) (*Response, error) {
	return c.send(ctx, c.pool.Get, address, call)
}

// DoOnce sends a call that may not be repeated, over a new connection. It is
// on the wire at most once: upstream.ErrUnreachable guarantees that it never
// was. Its other errors are those of Do.
func (c *Client) DoOnce(ctx context.Context, address string, call *peerpb.ServiceCall) (*Response, error) {
	return c.send(ctx, c.pool.Dial, address, call)
}

type connect func(ctx context.Context, address string) (*upstream.Conn, error)

func (c *Client) send(ctx context.Context, connect connect, address string, call *peerpb.ServiceCall) (*Response, error) {
	ctx, span := telemetry.StartSpan(ctx, "service.call", attribute.String("service", call.GetService()))
	response, err := c.exchange(ctx, connect, address, call)
	telemetry.EndSpan(span, err)
	return response, err
}

func (c *Client) exchange(ctx context.Context, connect connect, address string, call *peerpb.ServiceCall) (*Response, error) {
	conn, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	unwatch := conn.CloseOnDone(ctx)
	response, keepAlive, err := c.answer(ctx, conn, address, call)
	if !unwatch() || err != nil {
		conn.Close()
		return response, err
	}
	c.pool.Release(conn, keepAlive)
	return response, nil
}

// answer sends the call and reads the whole answer. A negative time says that
// the instance closes the connection.
func (c *Client) answer(ctx context.Context, conn *upstream.Conn, address string, call *peerpb.ServiceCall) (*Response, time.Duration, error) {
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
	return &Response{Status: head.StatusCode, Headers: EndToEndHeaders(head.Header), Body: body}, upstream.KeepAliveTimeout(head), nil
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
