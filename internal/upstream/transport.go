package upstream

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Transport is an HTTP transport for control calls, whose responses are bounded.
type Transport struct {
	*http.Transport
	// MaxBodyBytes bounds a response's body; zero means no limit. Reads beyond it fail
	// with ErrTooLong.
	MaxBodyBytes int64
}

// NewTransport returns a transport that doesn't ask for compressed responses. It bounds
// the heads of responses, and their bodies at maxBody bytes unless that is zero.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), maxBody int64) *Transport {
	return &Transport{
		Transport:    &http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
		MaxBodyBytes: maxBody,
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err == nil && t.MaxBodyBytes > 0 {
		response.Body = &boundedBody{ReadCloser: response.Body, limit: t.MaxBodyBytes, left: t.MaxBodyBytes}
	}
	return response, err
}

// boundedBody fails reads of a body after a number of bytes.
type boundedBody struct {
	io.ReadCloser
	limit, left int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errors.Wrapf(ErrTooLong, "the body has more than %d bytes", b.limit)
	}
	return n, err
}
