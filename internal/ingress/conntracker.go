package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// connTracker tracks the connections that wait for a request's header. It is safe
// for concurrent use.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]connWait
	// resetOnClose is set if closed connections are reset.
	resetOnClose atomic.Bool
}

// connWait is the state of a connection that waits for a request.
type connWait struct {
	since time.Time
	// inHeader is set once a part of the header has arrived.
	inHeader bool
}

func newConnTracker() *connTracker { return &connTracker{conns: make(map[net.Conn]connWait)} }

// beginWait records that a connection waits for a request from now on.
func (c *connTracker) beginWait(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = connWait{since: time.Now()}
}

// headerStarted records that the first bytes of a request have arrived.
func (c *connTracker) headerStarted(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.conns[conn]; ok && !known.inHeader {
		c.conns[conn] = connWait{since: time.Now(), inHeader: true}
	}
}

// endWait records that a header is complete, or that the connection is closed.
func (c *connTracker) endWait(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// closeOverdue closes the connections that have waited longer than the limits
// allow.
func (c *connTracker) closeOverdue(now time.Time, limits routing.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.conns {
		if known.overdue(now, limits) {
			// The connection's own goroutine notices the close and reports any error.
			_ = conn.Close()
			delete(c.conns, conn)
		}
	}
}

func (w connWait) overdue(now time.Time, limits routing.Limits) bool {
	limit := limits.IdleTimeout
	if w.inHeader {
		limit = limits.HeaderTimeout
	}
	return limit > 0 && now.Sub(w.since) > limit
}

// trackedListener accepts connections that report the start of a request to the
// tracker.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, tracker: l.tracker}, nil
}

type trackedConn struct {
	net.Conn
	tracker *connTracker
}

// reset closes a connection so that its peer gets an error in place of the end.
func reset(conn net.Conn) {
	if tracked, ok := conn.(*trackedConn); ok {
		// Errors are ignored: a connection that takes no option is closed already.
		_ = tracked.SetLinger(0)
	}
	_ = conn.Close()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	if c.tracker.resetOnClose.Load() {
		// As in reset.
		_ = c.SetLinger(0)
	}
	return c.Conn.Close()
}

// SetLinger sets what the kernel does with unsent data when the connection is closed; see
// net.TCPConn.
func (c *trackedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.tracker.headerStarted(c)
	}
	return n, err
}
