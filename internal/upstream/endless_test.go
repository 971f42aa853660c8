package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
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

// sendEndless writes start once and then more until the peer closes the connection.
func sendEndless(start, more string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, err := conn.Write([]byte(start))
		for repeated := bytes.Repeat([]byte(more), 1+4096/len(more)); err == nil; {
			_, err = conn.Write(repeated)
		}
	}
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
	for name, sent := range map[string][2]string{
		"status line":             {"HTTP/1.1 200 ", "x"},
		"header line":             {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":            {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"different header lines":  {"HTTP/1.1 200 OK\r\n", "a:\r\nb:\r\nc:\r\nd:\r\ne:\r\nf:\r\ng:\r\n"},
		"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"informational heads":     {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 6000) + "\r\n\r\n"},
		"other bytes":             {"", "\x00"},
	} {
		registry := metrics.NewRegistry()
		address := listen(t, sendEndless(sent[0], sent[1]))
		c := get(t, NewPool(registry), address)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
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
	address := listen(t, sendEndless(start+filler+end, "body"))
	c := get(t, NewPool(metrics.NewRegistry()), address)
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
	for name, sent := range map[string][2]string{
		"chunk extension":  {head + "1;x=", "x"},
		"chunk extensions": {head, "1;x=" + strings.Repeat("x", 3000) + "\r\na\r\n"},
		"trailer":          {head + "0\r\nX-Long: ", "x"},
		"trailers":         {head + "0\r\n", "a: b\r\n"},
	} {
		address := listen(t, sendEndless(sent[0], sent[1]))
		c := get(t, NewPool(metrics.NewRegistry()), address)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
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
