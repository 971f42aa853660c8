package ingress

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/memquota"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// newServer starts a server on the loopback interface with the given limits and
// without a dispatcher.
func newServer(t *testing.T, limits routing.Limits) (*Server, string) {
	t.Helper()
	table := routing.NewTable(routing.Options{Revision: 1, Limits: limits})
	return startServer(t, Options{Table: func() *routing.Table { return table }})
}

// startServer starts a server with the given options on the loopback interface.
func startServer(t *testing.T, o Options) (*Server, string) {
	t.Helper()
	o.Registry, o.Buffers = metrics.NewRegistry(), memquota.New(1<<20)
	o.Log = decisionlog.New(io.Discard, logrus.ErrorLevel, o.Registry)
	s := New(o)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, listener.Addr().String()
}

// closedAfterSweep reports whether a sweep after the given time closes a connection
// on which the given bytes were sent.
func closedAfterSweep(t *testing.T, sent string, limits routing.Limits, passed time.Duration) bool {
	t.Helper()
	s, address := newServer(t, limits)
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, sent); err != nil {
		t.Fatal(err)
	}
	s.tracker.waitForConn(t, sent != "")
	s.closeOverdue(time.Now().Add(passed))
	if err := conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, err = conn.Read(make([]byte, 1))
	return err == io.EOF
}

// waitForConn waits until the server tracks one connection, with the given
// inHeader.
func (c *connTracker) waitForConn(t *testing.T, inHeader bool) {
	t.Helper()
	const timeout = 20 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		known := len(c.conns) == 1
		for _, wait := range c.conns {
			known = known && wait.inHeader == inHeader
		}
		c.mu.Unlock()
		if known {
			return
		}
	}
	t.Fatal("no connection with the expected state is tracked")
}

func TestConnectionsAreClosedAfterConfiguredTimeouts(t *testing.T) {
	limits := routing.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	const partialHeader = "GET / HTTP/1.1\r\nHost:"
	cases := []struct {
		name   string
		sent   string
		limits routing.Limits
		passed time.Duration
		closed bool
	}{
		{"partial header, in time", partialHeader, limits, 2 * time.Second, false},
		{"partial header, late", partialHeader, limits, 4 * time.Second, true},
		{"partial header, no limit", partialHeader, routing.Limits{}, time.Hour, false},
		{"nothing sent, in time", "", limits, 14 * time.Second, false},
		{"nothing sent, late", "", limits, 16 * time.Second, true},
	}
	for _, tc := range cases {
		if closed := closedAfterSweep(t, tc.sent, tc.limits, tc.passed); closed != tc.closed {
			t.Errorf("%s: closed %v, want %v", tc.name, closed, tc.closed)
		}
	}
}
