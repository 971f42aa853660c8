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
)

// listen serves each connection with a function in a goroutine of its own.
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

// answer reads a request and writes raw bytes.
func answer(t *testing.T, conn net.Conn, reader *bufio.Reader, raw string) {
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

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionsAreKept(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for range 3 {
			answer(t, conn, reader, whole)
		}
	})
	p := NewPool(metrics.NewRegistry())
	for i := range 3 {
		c := get(t, p, address)
		if c.Reused != (i > 0) {
			t.Errorf("exchange %d: reused = %v", i, c.Reused)
		}
		response := exchange(t, c, strings.Repeat("x", i*inlineBody))
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Fatal(err)
		}
		p.Release(c, 0)
	}
}

func TestTheTargetIsSentAsItIs(t *testing.T) {
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

// Bytes after an answer belong to no call: the connection must not be used for
// another one.
func TestExtraBytesEndAConnection(t *testing.T) {
	for name, extra := range map[string]string{"at once": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "one byte": "x"} {
		address := listen(t, func(_ int, conn net.Conn) { answer(t, conn, bufio.NewReader(conn), whole+extra) })
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
			t.Errorf("%s: the connection is used again", name)
		}
	}
}

func TestConnectionsThatThePeerClosedAreNotUsed(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) {
		answer(t, conn, bufio.NewReader(conn), whole)
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
		t.Error("a closed connection is used again")
	}
}

// An instance that answers before it has read a long body would take the rest
// of it for the next request.
func TestUnreadBodiesEndAConnection(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, whole)
		}
	})
	p := NewPool(metrics.NewRegistry())
	c := get(t, p, address)
	if _, err := io.ReadAll(exchange(t, c, strings.Repeat("x", 32<<20)).Body); err != nil {
		t.Fatal(err)
	}
	p.Release(c, 0)
	if get(t, p, address).Reused {
		t.Error("a connection with an unread body is used again")
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

func TestAnswersThatAreNone(t *testing.T) {
	for _, raw := range []string{"", "nonsense\r\n\r\n", "HTTP/1.1 2"} {
		address := listen(t, func(_ int, conn net.Conn) {
			answer(t, conn, bufio.NewReader(conn), raw)
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

func TestInformationalAnswersArePassedOver(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) {
		answer(t, conn, bufio.NewReader(conn), "HTTP/1.1 100 Continue\r\n\r\n"+whole)
	})
	if response := exchange(t, get(t, NewPool(metrics.NewRegistry()), address), ""); response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
}

func TestTheContextEndsAnExchange(t *testing.T) {
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

func TestIdleConnectionsEnd(t *testing.T) {
	address := listen(t, func(_ int, conn net.Conn) { answer(t, conn, bufio.NewReader(conn), whole) })
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
	p.sweep(time.Now().Add(maxIdle))
	if len(p.idle) != 0 {
		t.Error("a stale connection is kept")
	}
}

func TestEvents(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n"
	r := NewEventReader(strings.NewReader(stream))
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

func TestCutEventsAreNotPassedOn(t *testing.T) {
	for _, stream := range []string{"id: 1", "id: 1\ndata: a\n", "data: a"} {
		if _, err := NewEventReader(strings.NewReader(stream)).Next(); err != io.ErrUnexpectedEOF {
			t.Errorf("%q: %v", stream, err)
		}
	}
	long := strings.NewReader(strings.Repeat("x", maxEvent+1))
	if _, err := NewEventReader(long).Next(); err != ErrEventTooLong {
		t.Errorf("long event: %v", err)
	}
}

// Whatever comes, the events are a prefix of it.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Add([]byte("\n\n\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, chunk int) {
		r := NewEventReader(&chunkedReader{data: bytes.Clone(data), size: chunk})
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

// chunkedReader gives a few bytes at a time.
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
		{"timeout=-1", false, 0}, {"timeout=7", true, closes},
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
