// Package upstream exchanges HTTP calls with instances over kept connections.
// It tells for each failure whether any byte of a call can have reached the
// instance, and never sends a call twice by itself.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Errors of an exchange. Callers test for them with errors.Is.
var (
	// ErrUnreachable means that no byte of the call left this process.
	ErrUnreachable = errors.New("instance can't be reached: try another one")
	// ErrBroken means that the connection ended, or carried something that is no
	// answer to the call; the call may have run.
	ErrBroken = errors.New("connection to the instance broke: the call may have run")
)

const (
	// readBuffer and writeBuffer hold the head of a usual call, and a few events
	// of a stream.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// inlineBody is the most bytes of a body that are written before the answer
	// is read: a peer that answers without reading must not block the reader.
	inlineBody = 2 << 10
	// ackTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as lost.
	ackTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveCount find connections whose peer went silent,
	// in three seconds.
	keepAliveIdle  = time.Second
	keepAliveCount = 2
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT.
const tcpUserTimeout = 0x12

// Dialer returns a dialer for connections that notice a silent peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option, a silent peer is found later, by keep-alive.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
			})
		},
	}
}

// Conn is one connection to an instance, used by one exchange at a time.
type Conn struct {
	conn    net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	address string
	// Reused is set when the connection has carried an exchange before.
	Reused bool
	// idleUntil is when the instance may close the connection.
	idleUntil time.Time
	writing   chan error
	poisoned  atomic.Bool
}

// Request is a call as it goes on the wire.
type Request struct {
	Method string
	Host   string
	// Target is the path with its query, sent as it is.
	Target string
	Header http.Header
	Body   []byte
}

// Send writes a request. Long bodies are written while the answer is awaited.
func (c *Conn) Send(r *Request) error {
	if err := writeHead(c.writer, r); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	if len(r.Body) <= inlineBody {
		_, _ = c.writer.Write(r.Body)
		if err := c.writer.Flush(); err != nil {
			return errors.Wrap(ErrBroken, err.Error())
		}
		return nil
	}
	done := make(chan error, 1)
	c.writing = done
	go func() {
		_, err := c.writer.Write(r.Body)
		if err == nil {
			err = c.writer.Flush()
		}
		done <- err
	}()
	return nil
}

// ReadHead reads the head of the next answer. Informational answers are passed
// over. The body must be read before the next one.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(ErrBroken, err.Error())
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Close ends the connection.
func (c *Conn) Close() {
	c.poisoned.Store(true)
	_ = c.conn.Close()
}

// CloseOnDone closes the connection when a context ends. The returned function
// stops the watch; it is false when the connection was closed.
func (c *Conn) CloseOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.Close)
}

// SetReadDeadline bounds the next reads; the zero time means no bound.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.conn.SetReadDeadline(t) }

// sound reports whether an exchange left the connection ready for another.
func (c *Conn) sound() bool {
	if c.poisoned.Load() || c.reader.Buffered() > 0 {
		return false
	}
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		c.writing = nil
		return err == nil
	default:
		return false
	}
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it: an answer to no call, or the peer's end of the connection.
func (c *Conn) quiet() bool {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		quiet = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// Discard reads an answer that belongs to no call to its end.
func Discard(response *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, limit))
	if err != nil || n >= limit {
		return errors.Wrap(ErrBroken, "an answer of another call did not end")
	}
	return nil
}
