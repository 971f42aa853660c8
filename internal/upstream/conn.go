// Package upstream sends HTTP calls to instances over persistent connections.
// Each error tells whether any byte of a call can have reached the instance.
// The package never sends a call twice by itself.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Errors of a call. Test for them with errors.Is.
var (
	// ErrUnreachable means that no connection could be made, so no byte of the
	// call was sent.
	ErrUnreachable = errors.New("instance can't be reached: try another one")
	// ErrNotListening means that the host is up and nothing listens at the address. It
	// is a kind of ErrUnreachable.
	ErrNotListening = errors.Wrap(ErrUnreachable, "nothing listens at the address")
	// ErrBroken means that the connection was closed, or that the peer sent
	// something other than a response to the call. The call may have run.
	ErrBroken = errors.New("connection to the instance broke: the call may have run")
)

const (
	// readBufferSize and writeBufferSize are enough for the head of a typical
	// call and for a few events of a stream.
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// maxInlineBody is the size in bytes of the largest body that Send writes
	// before it returns. Larger bodies are written in the background, so that a
	// peer that responds without reading the body does not block the reader.
	maxInlineBody = 2 << 10
	// ackTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	ackTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveCount make the kernel close a connection whose
	// peer does not respond within three seconds.
	keepAliveIdle  = time.Second
	keepAliveCount = 2
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT.
const tcpUserTimeout = 0x12

// Dialer returns a dialer whose connections detect a peer that has stopped
// responding.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// The error is ignored: without the option, TCP keep-alive still
				// detects an unresponsive peer, but later.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
			})
		},
	}
}

// Conn is a connection to an instance. It carries one call at a time.
type Conn struct {
	conn    net.Conn
	limiter *headLimiter
	reader  *bufio.Reader
	writer  *bufio.Writer
	address string
	// overlong counts responses that exceed a size limit.
	overlong metrics.Counter
	// Reused is set if the connection has carried an earlier call.
	Reused bool
	// idleUntil is the time up to which the idle connection may be reused; after
	// it the instance may close the connection.
	idleUntil time.Time
	writeDone chan error
	closed    atomic.Bool
}

// Request is a call as it is sent on the wire.
type Request struct {
	Method string
	Host   string
	// Target is the path and query, sent without any change.
	Target string
	Header http.Header
	Body   []byte
}

// Send writes a request. A body larger than maxInlineBody is written in the
// background while the caller reads the response.
func (c *Conn) Send(r *Request) error {
	if err := writeHead(c.writer, r); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	if len(r.Body) <= maxInlineBody {
		_, _ = c.writer.Write(r.Body)
		if err := c.writer.Flush(); err != nil {
			return errors.Wrap(ErrBroken, err.Error())
		}
		return nil
	}
	done := make(chan error, 1)
	c.writeDone = done
	go func() {
		_, err := c.writer.Write(r.Body)
		if err == nil {
			err = c.writer.Flush()
		}
		done <- err
	}()
	return nil
}

// Close closes the connection, which is then not reused.
func (c *Conn) Close() {
	c.closed.Store(true)
	_ = c.conn.Close()
}

// CloseOnDone closes the connection when ctx is done. The returned function
// cancels this; it returns false if the connection is already being closed.
func (c *Conn) CloseOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.Close)
}

// SetReadDeadline sets the deadline of reads; the zero time means none.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.conn.SetReadDeadline(t) }

// reusable reports whether the connection can carry another call: it is open,
// has no unread data, and the body of the last call was written in full.
func (c *Conn) reusable() bool {
	if c.closed.Load() || c.reader.Buffered() > 0 {
		return false
	}
	if c.writeDone == nil {
		return true
	}
	select {
	case err := <-c.writeDone:
		c.writeDone = nil
		return err == nil
	default:
		return false
	}
}

// usable reports whether an idle connection is still open and has no unread
// data. It is not usable after the peer closed it or sent bytes that belong to
// no call.
func (c *Conn) usable() bool {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		empty = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}
