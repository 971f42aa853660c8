package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// waits are the connections on which a request's head is awaited. It is safe
// for concurrent use.
type waits struct {
	mu    sync.Mutex
	conns map[net.Conn]wait
}

// wait is how long a connection has waited for a request.
type wait struct {
	since time.Time
	// inHead is set once a part of the head is there.
	inHead bool
}

func newWaits() *waits { return &waits{conns: make(map[net.Conn]wait)} }

// begin notes that a connection waits for a request from now on.
func (w *waits) begin(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[conn] = wait{since: time.Now()}
}

// headBegan notes that the first bytes of a request have come.
func (w *waits) headBegan(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known, ok := w.conns[conn]; ok && !known.inHead {
		w.conns[conn] = wait{since: time.Now(), inHead: true}
	}
}

// end notes that a head is complete, or that the connection has ended.
func (w *waits) end(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, conn)
}

// closeOverdue closes the connections whose wait exceeds the limits.
func (w *waits) closeOverdue(now time.Time, limits routing.Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn, known := range w.conns {
		if known.overdue(now, limits) {
			// The connection's own goroutine notices and reports any error.
			_ = conn.Close()
			delete(w.conns, conn)
		}
	}
}

func (w wait) overdue(now time.Time, limits routing.Limits) bool {
	limit := limits.IdleTimeout
	if w.inHead {
		limit = limits.HeaderTimeout
	}
	return limit > 0 && now.Sub(w.since) > limit
}

// waitingListener gives connections that tell when a request begins.
type waitingListener struct {
	net.Listener
	waits *waits
}

// Accept implements net.Listener.
func (l waitingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &waitingConn{Conn: conn, waits: l.waits}, nil
}

type waitingConn struct {
	net.Conn
	waits *waits
}

// Read implements net.Conn.
func (c *waitingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.waits.headBegan(c)
	}
	return n, err
}
