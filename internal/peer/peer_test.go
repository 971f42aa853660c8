package peer

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoHandler sends one token with the request ID on each stream.
type echoHandler struct{ streams atomic.Int32 }

func (h *echoHandler) ServeStream(_ context.Context, header *peerpb.StreamHeader, stream *Stream) {
	h.streams.Add(1)
	text := header.GetForward().GetRequestId()
	_ = stream.Send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Token{Token: &peerpb.TokenChunk{Text: text}}})
}

// shortOfDescriptors is a listener that fails to accept some times, as a process does that has
// no descriptor left.
type shortOfDescriptors struct {
	net.Listener
	failures atomic.Int32
}

func (l *shortOfDescriptors) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A lack of descriptors passes. The server of a router that ended with it took the router's
// control with it, which went on serving callers with stale routes (review/1).
func TestServerAcceptsAgainAfterALackOfDescriptors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const failures = 4
	short := &shortOfDescriptors{Listener: listener}
	short.failures.Store(failures)
	var reported atomic.Int32
	server := NewServer(short, &echoHandler{})
	server.OnAcceptError = func(error) { reported.Add(1) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	pool := NewPool()
	defer pool.Close()
	stream, err := pool.Open(t.Context(), listener.Addr().String(), &peerpb.StreamHeader{Request: &peerpb.StreamHeader_Forward{
		Forward: &peerpb.ForwardRequest{RequestId: "r"}}})
	if err != nil {
		t.Fatal(err)
	}
	event := &peerpb.ForwardEvent{}
	if err := stream.Receive(event, 10*time.Second); err != nil || event.GetToken().GetText() != "r" {
		t.Errorf("%v, %v", event, err)
	}
	stream.Close()
	if n := reported.Load(); n != failures {
		t.Errorf("%d errors reported, want %d", n, failures)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A listener that somebody closed is no lack of anything.
func TestServerEndsWithItsListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := NewServer(listener, &echoHandler{}).Run(t.Context()); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
}

func startServer(t *testing.T, handler Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(listener, handler).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("server: %v", err)
		}
	})
	return listener.Addr().String()
}

func forwardHeader(id string) *peerpb.StreamHeader {
	return &peerpb.StreamHeader{Request: &peerpb.StreamHeader_Forward{Forward: &peerpb.ForwardRequest{RequestId: id}}}
}

func exchange(t *testing.T, pool *Pool, address, id string) string {
	t.Helper()
	stream, err := pool.Open(context.Background(), address, forwardHeader(id))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	event := &peerpb.ForwardEvent{}
	if err := stream.Receive(event, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	return event.GetToken().GetText()
}

func TestEachStreamCarriesItsOwnRequest(t *testing.T) {
	address := startServer(t, &echoHandler{})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"a", "b", "c"} {
		if got := exchange(t, pool, address, id); got != id {
			t.Errorf("response = %q, want %q", got, id)
		}
	}
}

func TestOpenReportsUnreachablePeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	pool := NewPool()
	defer pool.Close()
	if _, err := pool.Open(context.Background(), address, forwardHeader("a")); !errors.Is(err, ErrUnreachable) {
		t.Errorf("error = %v, want ErrUnreachable", err)
	}
}

// blackholeProxy forwards bytes in both directions. Once blackholed is set, it
// discards the bytes of its first connection without closing it; later
// connections work.
type blackholeProxy struct {
	listener   net.Listener
	backend    string
	blackholed atomic.Bool
	accepted   atomic.Int32
}

func startBlackholeProxy(t *testing.T, backend string) *blackholeProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &blackholeProxy{listener: listener, backend: backend}
	t.Cleanup(func() { _ = listener.Close() })
	go p.run()
	return p
}

func (p *blackholeProxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		first := p.accepted.Add(1) == 1
		server, err := net.Dial("tcp", p.backend)
		if err != nil {
			_ = client.Close()
			continue
		}
		go p.pipe(client, server, first)
		go p.pipe(server, client, first)
	}
}

func (p *blackholeProxy) pipe(from, to net.Conn, canBlackhole bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if canBlackhole && p.blackholed.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Guards against reuse of a session whose connection was dropped without being
// closed: without the ping before reuse, the stream opens on the dead connection
// and its response never arrives.
func TestUnresponsiveIdleSessionIsReplaced(t *testing.T) {
	proxy := startBlackholeProxy(t, startServer(t, &echoHandler{}))
	address := proxy.listener.Addr().String()
	pool := NewPool()
	defer pool.Close()
	exchange(t, pool, address, "before")
	proxy.blackholed.Store(true)
	pool.peers[address].lastUsed = time.Now().Add(-2 * pingAfterIdle)
	if got := exchange(t, pool, address, "after"); got != "after" {
		t.Errorf("response = %q, want %q", got, "after")
	}
	if got := proxy.accepted.Load(); got != 2 {
		t.Errorf("connections = %d, want 2", got)
	}
}

func TestCloseIdleKeepsUsedSessions(t *testing.T) {
	address := startServer(t, &echoHandler{})
	pool := NewPool()
	defer pool.Close()
	exchange(t, pool, address, "a")
	pool.CloseIdle(time.Now())
	if len(pool.peers) != 1 {
		t.Fatal("CloseIdle closed a recently used session")
	}
	// The server may close its half of the stream slightly later.
	session := pool.peers[address].session
	for deadline := time.Now().Add(5 * time.Second); session.NumStreams() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	pool.CloseIdle(time.Now().Add(2 * idleTimeout))
	if len(pool.peers) != 0 {
		t.Error("CloseIdle kept an idle session")
	}
}
