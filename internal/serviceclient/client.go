// Package serviceclient sends calls to the instances of plain services. Calls
// that may not be repeated get a connection of their own and are sent once.
package serviceclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

// Errors of a call. Callers test for them with errors.Is.
var (
	// ErrNotSent means that no byte of the call left this router.
	ErrNotSent = errors.New("service instance can't be reached: ask another instance")
	// ErrNoAnswer means that the call was sent and its answer is missing.
	ErrNoAnswer = errors.New("service instance sent no whole answer: the call may have run")
	// ErrTooLarge means that the answer exceeds the bound.
	ErrTooLarge = errors.New("service's answer is too large: raise max_response_bytes")
)

const (
	dialTimeout    = 500 * time.Millisecond
	maxIdlePerHost = 16
	idleTimeout    = 30 * time.Second
)

// Client sends calls. It is safe for concurrent use.
type Client struct {
	pooled   *http.Client
	single   *http.Client
	maxBytes int64
}

// Response is a service's whole answer.
type Response struct {
	Status  int
	Headers []*peerpb.Header
	Body    []byte
}

// New returns a client that refuses answers above maxBytes.
func New(maxBytes int64) *Client {
	return &Client{
		pooled:   &http.Client{Transport: transport(false), CheckRedirect: keepRedirect},
		single:   &http.Client{Transport: transport(true), CheckRedirect: keepRedirect},
		maxBytes: maxBytes,
	}
}

func transport(single bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   single,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// An empty map turns HTTP/2 off, whose transport repeats requests.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// keepRedirect passes redirects on to the caller: following one would send the
// call again.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends a call that may be repeated.
func (c *Client) Do(ctx context.Context, address string, call *peerpb.ServiceCall) (*Response, error) {
	return c.send(ctx, c.pooled, address, call)
}

// DoOnce sends a call that may not be repeated, over a new connection. It is
// on the wire at most once: ErrNotSent guarantees that it never was.
func (c *Client) DoOnce(ctx context.Context, address string, call *peerpb.ServiceCall) (*Response, error) {
	return c.send(ctx, c.single, address, call)
}

func (c *Client) send(ctx context.Context, client *http.Client, address string, call *peerpb.ServiceCall) (*Response, error) {
	ctx, span := telemetry.StartSpan(ctx, "service.call", attribute.String("service", call.GetService()))
	response, err := c.exchange(ctx, client, address, call)
	telemetry.EndSpan(span, err)
	return response, err
}

func (c *Client) exchange(ctx context.Context, client *http.Client, address string, call *peerpb.ServiceCall) (*Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, classify(&connected, err)
	}
	defer func() { _ = response.Body.Close() }()
	return c.read(response)
}

func newRequest(ctx context.Context, address string, call *peerpb.ServiceCall) (*http.Request, error) {
	url := "http://" + address + call.GetPath()
	request, err := http.NewRequestWithContext(ctx, call.GetMethod(), url, bytes.NewReader(call.GetBody()))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't send the body a second time.
	request.GetBody = nil
	for _, header := range call.GetHeaders() {
		request.Header.Add(header.GetName(), header.GetValue())
	}
	telemetry.InjectHTTP(ctx, request.Header)
	return request, nil
}

// classify reports ErrNotSent only when no connection was ever obtained.
func classify(connected *atomic.Bool, err error) error {
	if connected.Load() {
		return errors.Wrap(ErrNoAnswer, err.Error())
	}
	return errors.Wrap(ErrNotSent, err.Error())
}

func (c *Client) read(response *http.Response) (*Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, c.maxBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrNoAnswer, err.Error())
	}
	if int64(len(body)) > c.maxBytes {
		return nil, ErrTooLarge
	}
	return &Response{Status: response.StatusCode, Headers: PassedHeaders(response.Header), Body: body}, nil
}
