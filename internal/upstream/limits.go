package upstream

import (
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/memquota"
)

const (
	// maxHeadBytes bounds the head of a response together with the informational
	// responses before it. A hundred heads of this size, decoded, take less than a
	// quarter of a small host's memory (404 MB).
	maxHeadBytes = 16 << 10
	// maxInterimResponses bounds the informational (1xx) responses before a head.
	maxInterimResponses = 8
)

// ErrTooLong means that a response, or a part of it, exceeds its size limit. It is a
// kind of ErrBroken.
var ErrTooLong = errors.Wrap(ErrBroken, "the response exceeds a size limit")

// headLimiter bounds the bytes that are read from a connection while a head is read.
type headLimiter struct {
	conn net.Conn
	// left is the number of bytes that may still be read while bounded is set.
	left    int
	bounded bool
}

// start bounds reads, when buffered bytes have been read already.
func (l *headLimiter) start(buffered int) {
	l.left, l.bounded = max(maxHeadBytes-buffered, 0), true
}

func (l *headLimiter) stop() { l.bounded = false }

func (l *headLimiter) exceeded() bool { return l.bounded && l.left == 0 }

// Read implements io.Reader. Its error is ErrTooLong when the bound is reached.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.bounded {
		return l.conn.Read(p)
	}
	if l.left == 0 {
		return 0, ErrTooLong
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// ReadHead reads the head of the next final response and skips informational
// (1xx) responses. The body must be read before the next call of ReadHead. Its errors
// are ErrBroken and, for a head without an end, ErrTooLong.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	c.limiter.start(c.reader.Buffered())
	defer c.limiter.stop()
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case err != nil && c.limiter.exceeded():
			return nil, c.tooLong("the head of the response has no end within %d bytes", maxHeadBytes)
		case err != nil:
			return nil, errors.Wrap(ErrBroken, err.Error())
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, c.tooLong("more than %d informational responses", maxInterimResponses)
}

// ReadBody reads the body of a response on this connection to its end, at most limit
// bytes. It counts towards a quota until the reservation is released. Its errors are
// those of the connection, and ErrTooLong for a body that exceeds a limit.
func (c *Conn) ReadBody(response *http.Response, limit int64, memory *memquota.Reservation) ([]byte, error) {
	body, err := memory.ReadAll(response.Body, limit)
	if errors.Is(err, memquota.ErrTooLong) || errors.Is(err, memquota.ErrExhausted) {
		return nil, c.tooLong("the body of the response: %v", err)
	}
	return body, err
}

// Discard reads the body of an unwanted response on this connection to its end, so that
// the connection can be reused. Its errors are ErrBroken and, for a body of more than
// limit bytes, ErrTooLong.
func (c *Conn) Discard(response *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, limit+1))
	switch {
	case err != nil:
		return errors.Wrap(ErrBroken, err.Error())
	case n > limit:
		return c.tooLong("the body of an unwanted response: more than %d bytes", limit)
	default:
		return nil
	}
}

// tooLong counts a response that exceeds a limit and returns the error that says which.
func (c *Conn) tooLong(format string, args ...any) error {
	c.overlong.Inc(1)
	return errors.Wrapf(ErrTooLong, format, args...)
}
