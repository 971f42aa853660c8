package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/memquota"
)

// listen accepts connections and calls serve for each in its own goroutine.
func listen(t *testing.T, serve func(n int, conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(n, conn)
		}
	}()
	return listener.Addr().String()
}

// respond reads a request and writes raw as the response.
func respond(t *testing.T, conn net.Conn, reader *bufio.Reader, raw string) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Errorf("request body: %v", err)
	}
	_, _ = io.WriteString(conn, raw)
}

func get(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func exchange(t *testing.T, c *Conn, body string) *http.Response {
	t.Helper()
	if err := c.Send(&Request{Method: "POST", Host: "h", Target: "/a%2Fb?x=%20", Header: http.Header{}, Body: []byte(body)}); err != nil {
		t.Fatal(err)
	}
	response, err := c.ReadHead("POST")
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// newEventReader returns a reader of the events in a body.
func newEventReader(body io.Reader) *EventReader {
	c := &Conn{overlong: metrics.NewCounter()}
	return c.ReadEvents(&http.Response{Body: io.NopCloser(body)}, memquota.New(64<<20).Reserve())
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionsAreKept(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for range 3 {
			respond(t, conn, reader, okResponse)
		}
	})
	p := NewPool(metrics.NewRegistry())
	for i := range 3 {
		c := get(t, p, address)
		if c.Reused != (i > 0) {
			t.Errorf("exchange %d: reused = %v", i, c.Reused)
		}
		response := exchange(t, c, strings.Repeat("x", i*maxInlineBody))
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Fatal(err)
		}
		p.Release(c, 0)
	}
}

func TestTargetIsSentUnchanged(t *testing.T) {
	lines := make(chan string, 1)
	address := listen(t, func(_ int, conn net.Conn) {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		lines <- line
		_ = conn.Close()
	})
	c := get(t, NewPool(metrics.NewRegistry()), address)
	if err := c.Send(&Request{Method: "GET", Host: "h", Target: "//a%2Fb/../c?x=%20&&", Header: http.Header{}}); err != nil {
		t.Fatal(err)
	}
	if got := <-lines; got != "GET //a%2Fb/../c?x=%20&& HTTP/1.1\r\n" {
		t.Errorf("request line %q", got)
	}
}

// Guards against bytes after a response that are taken for the response to the
// next call: the connection must not be reused.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	for name, extra := range map[string]string{"at once": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "one byte": "x"} {
		address := listen(t, func(_ int, conn net.Conn) { respond(t, conn, bufio.NewReader(conn), okResponse+extra) })
		p := NewPool(metrics.NewRegistry())
		c := get(t, p, address)
		if _, err := io.ReadAll(exchange(t, c, "").Body); err != nil {
			t.Fatal(err)
		}
		if _, err := c.reader.Peek(1); err != nil {
			t.Fatal(err)
		}
		p.Release(c, 0)
		if get(t, p, address).Reused {
			t.Errorf("%s: the connection is reused", name)
		}
	}
}

func TestConnectionClosedByPeerIsNotReused(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) {
		respond(t, conn, bufio.NewReader(conn), okResponse)
		_ = conn.Close()
	})
	p := NewPool(metrics.NewRegistry())
	c := get(t, p, address)
	if _, err := io.ReadAll(exchange(t, c, "").Body); err != nil {
		t.Fatal(err)
	}
	if _, err := c.reader.Peek(1); err != io.EOF {
		t.Fatalf("peek: %v", err)
	}
	p.Release(c, 0)
	if get(t, p, address).Reused {
		t.Error("a closed connection is reused")
	}
}

// Guards against reuse of a connection whose request body was not sent in full:
// an instance that responds before it has read the body would take the rest of
// it for the next request.
func TestConnectionWithUnreadBodyIsNotReused(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, okResponse)
		}
	})
	p := NewPool(metrics.NewRegistry())
	c := get(t, p, address)
	if _, err := io.ReadAll(exchange(t, c, strings.Repeat("x", 32<<20)).Body); err != nil {
		t.Fatal(err)
	}
	p.Release(c, 0)
	if get(t, p, address).Reused {
		t.Error("a connection with an unread body is reused")
	}
}

func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := NewPool(metrics.NewRegistry()).Get(context.Background(), address); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v", err)
	}
}

func TestInvalidResponses(t *testing.T) {
	for _, raw := range []string{"", "nonsense\r\n\r\n", "HTTP/1.1 2"} {
		address := listen(t, func(_ int, conn net.Conn) {
			respond(t, conn, bufio.NewReader(conn), raw)
			_ = conn.Close()
		})
		c := get(t, NewPool(metrics.NewRegistry()), address)
		if err := c.Send(&Request{Method: "GET", Host: "h", Target: "/", Header: http.Header{}}); err != nil {
			t.Fatal(err)
		}
		if _, err := c.ReadHead("GET"); !errors.Is(err, ErrBroken) {
			t.Errorf("%q: %v", raw, err)
		}
	}
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) {
		respond(t, conn, bufio.NewReader(conn), "HTTP/1.1 100 Continue\r\n\r\n"+okResponse)
	})
	if response := exchange(t, get(t, NewPool(metrics.NewRegistry()), address), ""); response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
}

func TestContextCancelsCall(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	c := get(t, NewPool(metrics.NewRegistry()), address)
	ctx, cancel := context.WithCancel(context.Background())
	c.CloseOnDone(ctx)
	if err := c.Send(&Request{Method: "GET", Host: "h", Target: "/", Header: http.Header{}}); err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := c.ReadHead("GET"); !errors.Is(err, ErrBroken) {
		t.Errorf("got %v", err)
	}
}

func TestIdleConnectionsExpire(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) { respond(t, conn, bufio.NewReader(conn), okResponse) })
	p := NewPool(metrics.NewRegistry())
	for _, keepAlive := range []time.Duration{-1, idleMargin} {
		c := get(t, p, address)
		if _, err := io.ReadAll(exchange(t, c, "").Body); err != nil {
			t.Fatal(err)
		}
		p.Release(c, keepAlive)
		if len(p.idle[address]) != 0 {
			t.Errorf("keep-alive %v: the connection is kept", keepAlive)
		}
	}
	c := get(t, p, address)
	_, _ = io.ReadAll(exchange(t, c, "").Body)
	p.Release(c, 0)
	p.sweep(time.Now().Add(maxIdleTime))
	if len(p.idle) != 0 {
		t.Error("an expired connection is kept")
	}
}

func TestEvents(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n"
	r := newEventReader(strings.NewReader(stream))
	var raw, ids []string
	for {
		event, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		raw, ids = append(raw, string(event.Raw)), append(ids, event.ID)
	}
	if strings.Join(raw, "") != stream || strings.Join(ids, ",") != "1,2," {
		t.Errorf("events %q with ids %q", raw, ids)
	}
}

func TestTruncatedEventsAreNotReturned(t *testing.T) {
	for _, stream := range []string{"id: 1", "id: 1\ndata: a\n", "data: a"} {
		if _, err := newEventReader(strings.NewReader(stream)).Next(); err != io.ErrUnexpectedEOF {
			t.Errorf("%q: %v", stream, err)
		}
	}
	long := strings.NewReader(strings.Repeat("x", maxEventBytes+1))
	if _, err := newEventReader(long).Next(); err != ErrEventTooLong {
		t.Errorf("long event: %v", err)
	}
}

// An error message, or the head of another response, in a stream is no event: callers must
// not get it.
func TestLinesThatAreNoFieldsAreNotReturned(t *testing.T) {
	for _, stream := range []string{
		"{\"error\":\"busy\"}\n\n", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n", "upstream failed\n\n",
		"id: 1\n<html>\n\n",
	} {
		if _, err := newEventReader(strings.NewReader(stream)).Next(); !errors.Is(err, ErrMalformedEvent) {
			t.Errorf("%q: %v", stream, err)
		}
	}
	for _, stream := range []string{": comment\n\n", "data\n\n", "x-weight-versions: 3\nid: 1\ndata: {\"a\": 1}\n\n", "\n\n"} {
		if event, err := newEventReader(strings.NewReader(stream)).Next(); err != nil || string(event.Raw) != stream {
			t.Errorf("%q: %v", stream, err)
		}
	}
}

// For any input, the events read are a prefix of it.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Add([]byte("\n\n\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, chunk int) {
		r := newEventReader(&chunkedReader{data: bytes.Clone(data), size: chunk})
		var got []byte
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			got = append(got, event.Raw...)
		}
		if !bytes.HasPrefix(data, got) {
			t.Errorf("%q became %q", data, got)
		}
	})
}

// chunkedReader returns at most size bytes per read.
type chunkedReader struct {
	data []byte
	size int
}

func (r *chunkedReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data[:min(max(r.size, 1), len(r.data))])
	r.data = r.data[n:]
	return n, nil
}

func TestKeepAlive(t *testing.T) {
	cases := []struct {
		field string
		close bool
		want  time.Duration
	}{
		{"", false, 0}, {"max=5, timeout=7", false, 7 * time.Second}, {"Timeout = 3", false, 0}, {"timeout=x", false, 0},
		{"timeout=-1", false, 0}, {"timeout=7", true, keepAliveClose},
		// Times that would overflow.
		{"timeout=9223372036854775807", false, time.Hour}, {"timeout=9223372037", false, time.Hour},
	}
	for _, tc := range cases {
		r := &http.Response{Header: http.Header{"Keep-Alive": {tc.field}}, Close: tc.close}
		if got := KeepAliveTimeout(r); got != tc.want {
			t.Errorf("%q, close %v: %v, want %v", tc.field, tc.close, got, tc.want)
		}
	}
}

func FuzzKeepAlive(f *testing.F) {
	f.Add("max=5, timeout=7")
	f.Fuzz(func(t *testing.T, field string) {
		if got := KeepAliveTimeout(&http.Response{Header: http.Header{"Keep-Alive": {field}}}); got < 0 {
			t.Errorf("%q closes an open connection", field)
		}
	})
}
