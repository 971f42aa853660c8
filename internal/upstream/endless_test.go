package upstream

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/standin/endless"
)

const (
	// smallestHost is the memory in bytes of the smallest host that routers run on.
	smallestHost = 404 << 20
	// endlessCalls is the number of calls whose responses may have no end at the same
	// time, as many as an instance of a small service accepts.
	endlessCalls = 100
	// endlessShare is the share of a host's memory, a quarter, that they may take.
	endlessShare = 4
)

// getEndless sends a request on a new connection to an instance that answers without an end.
func getEndless(t *testing.T, p *Pool, r endless.Response) *Conn {
	t.Helper()
	c := get(t, p, endless.Serve(t, r))
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if err := c.Send(&Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}}); err != nil {
		t.Fatal(err)
	}
	return c
}

// allocated returns the bytes that f allocates, whether or not they are freed.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// An instance sends a head without an end. A router that reads on until the deadline
// takes more memory than a host has.
func TestHeadWithoutEndIsBroken(t *testing.T) {
	for name, sent := range endless.Heads {
		registry := metrics.NewRegistry()
		c := getEndless(t, NewPool(registry), sent)
		var err error
		took := allocated(func() { _, err = c.ReadHead(http.MethodGet) })
		c.Close()
		if !errors.Is(err, ErrTooLong) || !errors.Is(err, ErrBroken) {
			t.Errorf("%s: %v", name, err)
		}
		if limit := uint64(smallestHost / endlessShare / endlessCalls); took > limit {
			t.Errorf("%s: allocates %d bytes, want at most %d", name, took, limit)
		}
		if n := metrics.GetOrRegisterCounter("upstream.responses.overlong", registry).Count(); n != 1 {
			t.Errorf("%s: counted %d times", name, n)
		}
	}
}

// Heads up to the limit are read, whatever follows them on the connection.
func TestHeadAtTheLimitIsRead(t *testing.T) {
	const start, end = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 100000\r\nX-Long: ", "\r\n\r\n"
	filler := strings.Repeat("x", maxHeadBytes-len(start)-len(end))
	c := getEndless(t, NewPool(metrics.NewRegistry()), endless.Response{Start: start + filler + end, More: "body"})
	defer c.Close()
	response, err := c.ReadHead(http.MethodGet)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || len(body) != 100000 {
		t.Errorf("body of %d bytes, %v", len(body), err)
	}
}

// Chunk extensions and trailers are part of a body, but not of what is kept of it.
func TestFramingWithoutEndIsBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, sent := range map[string]endless.Response{
		"chunk extension":  {Start: head + "1;x=", More: "x"},
		"chunk extensions": {Start: head, More: "1;x=" + strings.Repeat("x", 3000) + "\r\na\r\n"},
		"trailer":          {Start: head + "0\r\nX-Long: ", More: "x"},
		"trailers":         {Start: head + "0\r\n", More: "a: b\r\n"},
	} {
		c := getEndless(t, NewPool(metrics.NewRegistry()), sent)
		var err error
		took := allocated(func() {
			var response *http.Response
			if response, err = c.ReadHead(http.MethodGet); err == nil {
				err = c.Discard(response, 1<<20)
			}
		})
		c.Close()
		if err == nil {
			t.Errorf("%s: no error", name)
		}
		if limit := uint64(smallestHost / endlessShare / endlessCalls); took > limit {
			t.Errorf("%s: allocates %d bytes, want at most %d", name, took, limit)
		}
	}
}

// The store, engines and other services answer control calls without an end.
func TestControlResponsesWithoutEndAreBroken(t *testing.T) {
	const limit = 64 << 10
	responses := map[string]endless.Response{"body": {Start: endless.OK, More: "x"}}
	for name, sent := range endless.Heads {
		responses[name] = sent
	}
	for name, sent := range responses {
		transport := NewTransport(Dialer(time.Second).DialContext, limit)
		client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
		address := endless.Serve(t, sent)
		var err error
		took := allocated(func() {
			var response *http.Response
			if response, err = client.Get("http://" + address); err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
		})
		transport.CloseIdleConnections()
		var timeout net.Error
		if err == nil || errors.As(err, &timeout) && timeout.Timeout() || name == "body" && !errors.Is(err, ErrTooLong) {
			t.Errorf("%s: %v", name, err)
		}
		if took > smallestHost/endlessShare/endlessCalls {
			t.Errorf("%s: allocates %d bytes, want at most %d", name, took, smallestHost/endlessShare/endlessCalls)
		}
	}
}
