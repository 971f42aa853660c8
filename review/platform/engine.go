package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for one instance of a service. A function decides how it answers
// each request, byte by byte.
type engine struct {
	fleet   *fleet
	id      string
	service string
	slots   int
	born    int64
	address string
	answer  answerFunc

	listener net.Listener
	stopped  chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
	runs  map[string]int
	// crashed is set once the engine has begun to crash.
	crashed bool
}

// exchange is one request on one connection of an engine.
type exchange struct {
	engine *engine
	conn   net.Conn
	// state is kept between the requests on one connection.
	state   *connState
	request *http.Request
	id      string
}

// connState is what an engine keeps of one connection.
type connState struct {
	// extra are bytes that are sent late: before the next response.
	extra []byte
}

// answerFunc answers one request. The connection is closed if it returns false.
type answerFunc func(x *exchange) bool

func (f *fleet) startEngine(id, service string, slots int, answer answerFunc) (*engine, error) {
	return f.startEngineAt(f.newHost()+":0", id, service, slots, answer)
}

func (f *fleet) startEngineAt(address, id, service string, slots int, answer answerFunc) (*engine, error) {
	e := &engine{
		fleet: f, id: id, service: service, slots: slots, answer: answer, born: time.Now().UnixMilli(),
		stopped: make(chan struct{}), conns: map[net.Conn]bool{}, runs: map[string]int{},
	}
	var err error
	if e.listener, err = net.Listen("tcp4", address); err != nil {
		return nil, err
	}
	e.address = e.listener.Addr().String()
	go e.accept()
	go e.beat()
	return e, nil
}

// beat writes the engine's entry in the store at each interval.
func (e *engine) beat() {
	for sequence := 1; ; sequence++ {
		e.fleet.store.put("servers/"+e.id, map[string]any{
			"service": e.service, "address": e.address, "zone": "balaju", "version": "v1", "slots": e.slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": e.born,
		})
		select {
		case <-time.After(heartbeat):
		case <-e.stopped:
			return
		}
	}
}

// crash ends the engine at once: its connections break and its port is closed.
func (e *engine) crash() {
	close(e.stopped)
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// crashAndReturn crashes the engine and starts it again at the same address under a new id.
func (e *engine) crashAndReturn(after time.Duration) {
	e.mu.Lock()
	crashed := e.crashed
	e.crashed = true
	e.mu.Unlock()
	if crashed {
		return
	}
	e.crash()
	time.Sleep(after)
	if _, err := e.fleet.startEngineAt(e.address, e.id+"x", e.service, e.slots, e.answer); err != nil {
		e.fleet.record.printf("%s isn't back: %v", e.id, err)
	}
}

func (e *engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *engine) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, conn)
	}()
	reader, state := bufio.NewReader(conn), &connState{}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		x := &exchange{engine: e, conn: conn, state: state, request: request, id: request.Header.Get("X-Attempt-Id")}
		if !e.respond(x) {
			return
		}
	}
}

func (e *engine) respond(x *exchange) bool {
	switch {
	case x.request.URL.Path == "/-/kv-list":
		body, _ := json.Marshal(map[string]any{"epoch": 1, "next": 1, "held": []any{}})
		return x.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	case x.request.Header.Get("X-Expected-Instance") != e.id:
		return x.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + e.id + "\r\nX-Attempt-Id: " + x.id + "\r\nContent-Length: 0\r\n\r\n")
	default:
		return e.answer(x)
	}
}

// run records that the engine runs a request.
func (x *exchange) run() {
	e := x.engine
	e.mu.Lock()
	e.runs[x.id]++
	e.mu.Unlock()
	e.fleet.record.printf("%s runs %s (Last-Event-Id %q)", e.id, x.id, x.request.Header.Get("Last-Event-Id"))
}

func (e *engine) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (x *exchange) write(text string) bool {
	_, err := io.WriteString(x.conn, text)
	return err == nil
}

// head returns the head of the engine's own answer, with its signature.
func (x *exchange) head(status int, fields ...string) string {
	lines := append([]string{
		fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)), "X-Attempt-Id: " + x.id, "X-Server-Signature: " + x.signature(),
	}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func (x *exchange) signature() string { return "signature-" + x.engine.id + "-" + x.id }

// whole writes a complete answer with a length.
func (x *exchange) whole(status int, body string) bool {
	return x.write(x.head(status, fmt.Sprintf("Content-Length: %d", len(body))) + body)
}

// event is one event of a stream, in a chunk of its own.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func (x *exchange) startStream() bool {
	return x.write(x.head(http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
}

func (x *exchange) writeEvent(n int) bool {
	text := event(n)
	return x.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

func (x *exchange) endStream() bool { return x.write("0\r\n\r\n") }
