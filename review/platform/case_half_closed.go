package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// halfClosedWork is how long an engine works on a call of a plain service.
	halfClosedWork = 200 * time.Millisecond
	// givingClients is the number of clients, of which each fourth gives up: 3 in 10.
	givingClients = 10
	givesUpEach   = 4
)

// halfClosed sends requests that take a while. With trouble, 3 of 10 clients give up:
// they close their side of the channel before the answer, and read what still comes.
func halfClosed(f *fleet, trouble bool) (int, error) {
	f.configure(1,
		map[string]any{"name": "fleet-lookup", "prefix": "/lookup/", "kind": "idempotent", "service": "app", "timeoutMs": 1000,
			"targetLatencyMs": 100, "maxAttempts": 2},
		map[string]any{"name": "hire-confirm", "prefix": "/confirm/", "kind": "non_idempotent", "service": "app", "timeoutMs": 1000,
			"targetLatencyMs": 100, "maxAttempts": 1},
		map[string]any{"name": "operator-chat", "prefix": "/chat/", "kind": "streaming", "service": "model", "streamResumption": true,
			"timeoutMs": 15000, "targetLatencyMs": 2000, "gapTargetMs": 600, "maxAttempts": 2},
	)
	app := func(x *exchange) bool {
		x.run()
		time.Sleep(halfClosedWork)
		return x.whole(http.StatusOK, "the answer to "+x.id)
	}
	model := func(x *exchange) bool {
		x.run()
		return x.stream()
	}
	for n := range 2 {
		if _, err := f.startEngine(fmt.Sprintf("i-app%d", n), "app", 6, app); err != nil {
			return 0, err
		}
		if _, err := f.startEngine(fmt.Sprintf("i-model%d", n), "model", 64, model); err != nil {
			return 0, err
		}
	}
	r, err := f.startRouter()
	if err != nil {
		return 0, err
	}
	kinds := []call{
		{method: http.MethodGet, path: "/lookup/1", deadline: time.Second},
		{method: http.MethodPost, path: "/confirm/1", deadline: time.Second, body: "two rollers"},
		{method: http.MethodPost, path: "/chat/1", deadline: 15 * time.Second, prompt: "5c1e07a2:800,91bd3f06:410,e4402b7d:250", body: "a question"},
	}
	broken := 0
	for n := range givingClients {
		request := kinds[n%len(kinds)]
		request.id = fmt.Sprintf("%016x", 0xb000+n)
		// One client of each kind.
		givesUp := trouble && n%givesUpEach == 0
		ok, err := f.askOrGiveUp(r, request, givesUp)
		if err != nil {
			return 0, err
		}
		if !ok {
			f.record.printf("MIXED: %s has a complete success that isn't the engine's", request.id)
			broken++
		}
	}
	return broken, nil
}

// askOrGiveUp sends a request and reads what comes. A client that gives up closes its side of
// the channel while the engine works. The result is false for a complete success that isn't
// the engine's answer.
func (f *fleet) askOrGiveUp(r *router, request call, givesUp bool) (ok bool, err error) {
	c, err := connect(r.callers)
	if err != nil {
		return false, err
	}
	defer c.close()
	f.record.printf("client sends %s %s %s to %s", request.id, request.method, request.path, r.name)
	if err := c.send(request); err != nil {
		return false, err
	}
	if givesUp {
		time.Sleep(halfClosedWork / 2)
		f.record.printf("client gives up %s and closes its side", request.id)
		_ = c.conn.(*net.TCPConn).CloseWrite()
	}
	a := c.receive(request)
	f.record.printf("client gets for %s from %s: %s", request.id, r.name, a)
	whole := "the answer to " + request.id
	if request.prompt != "" {
		whole = wholeStream()
	}
	return a.status/100 != 2 || a.err != nil || a.header.Get("X-Server-Signature") != "" && a.body == whole, nil
}
