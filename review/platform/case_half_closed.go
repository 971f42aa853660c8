package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// halfClosed sends requests that take a while. With trouble, each client gives up: it closes
// its side of the channel before the answer, and reads what still comes.
func halfClosed(f *fleet, trouble bool) (int, error) {
	f.configure(1,
		map[string]any{"name": "fleet-lookup", "prefix": "/lookup/", "kind": "idempotent", "service": "app", "timeoutMs": 1000,
			"targetLatencyMs": 100, "maxAttempts": 2},
		map[string]any{"name": "hire-confirm", "prefix": "/confirm/", "kind": "non_idempotent", "service": "app", "timeoutMs": 1000,
			"targetLatencyMs": 100, "maxAttempts": 1},
		map[string]any{"name": "operator-chat", "prefix": "/chat/", "kind": "streaming", "service": "model", "streamResumption": true,
			"timeoutMs": 15000, "targetLatencyMs": 2000, "gapTargetMs": 600, "maxAttempts": 2},
	)
	const work = 200 * time.Millisecond
	app := func(x *exchange) bool {
		x.run()
		time.Sleep(work)
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
	broken := 0
	for n, request := range []call{
		{method: http.MethodGet, path: "/lookup/1", deadline: time.Second},
		{method: http.MethodPost, path: "/confirm/1", deadline: time.Second, body: "two rollers"},
		{method: http.MethodPost, path: "/chat/1", deadline: 15 * time.Second, prompt: "5c1e07a2:800,91bd3f06:410,e4402b7d:250", body: "a question"},
	} {
		request.id = fmt.Sprintf("%016x", 0xb000+n)
		c, err := connect(r.callers)
		if err != nil {
			return 0, err
		}
		f.record.printf("client sends %s %s", request.path, request.id)
		if err := c.send(request); err != nil {
			return 0, err
		}
		if trouble {
			time.Sleep(work / 2)
			f.record.printf("client gives up %s and closes its side", request.id)
			_ = c.conn.(*net.TCPConn).CloseWrite()
		}
		a := c.receive(request)
		c.close()
		f.record.printf("client gets for %s: %s", request.id, a)
		whole := "the answer to " + request.id
		if request.prompt != "" {
			whole = wholeStream()
		}
		if a.status/100 == 2 && a.err == nil && (a.header.Get("X-Server-Signature") == "" || a.body != whole) {
			f.record.printf("MIXED: %s has a complete success that isn't the engine's", request.id)
			broken++
		}
	}
	return broken, nil
}
