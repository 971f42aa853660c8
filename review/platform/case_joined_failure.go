package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEngines = 4
	streamEvents  = 12
	eventPause    = 100 * time.Millisecond
	// streams are sent at once; crashAfter is when one of the engines crashes.
	streams    = 32
	crashAfter = 500 * time.Millisecond
	// failEach is the number of an engine's requests of which it fails two.
	failEach = 5
)

// joinedFailure sends resumable streams. With trouble, one of four engines crashes while
// they are in progress, and from then on the others fail 2 in 5 of their requests with an
// answer of their own.
func joinedFailure(f *fleet, trouble bool) (int, error) {
	f.configure(1, map[string]any{
		"name": "operator-chat", "prefix": "/chat/", "kind": "streaming", "service": "model", "streamResumption": true,
		"timeoutMs": 15000, "targetLatencyMs": 2000, "gapTargetMs": 600, "maxAttempts": 2,
	})
	const failure = `{"error":"too many requests"}`
	var failing atomic.Bool
	engineAnswer := func() answerFunc {
		var requests atomic.Int64
		return func(x *exchange) bool {
			if failing.Load() {
				if n := requests.Add(1) % failEach; n == 1 || n == 3 {
					f.record.printf("%s fails %s (Last-Event-Id %q)", x.engine.id, x.id, x.request.Header.Get("Last-Event-Id"))
					return x.whole(http.StatusTooManyRequests, failure)
				}
			}
			x.run()
			return x.stream()
		}
	}
	var engines []*engine
	for n := range streamEngines {
		e, err := f.startEngine(fmt.Sprintf("i-model%d", n), "model", 64, engineAnswer())
		if err != nil {
			return 0, err
		}
		engines = append(engines, e)
	}
	r, err := f.startRouter()
	if err != nil {
		return 0, err
	}
	broken := 0
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n := range streams {
		clients.Go(func() {
			request := call{
				method: http.MethodPost, path: "/chat/1", id: fmt.Sprintf("%016x", 0xa000+n), deadline: 15 * time.Second,
				prompt: fmt.Sprintf("5c1e07a2:103,%08x:500,%08x:110", 0x9100+n%8, n), body: "a question",
			}
			a := f.ask(r, request)
			if a.status == http.StatusOK && a.err == nil && a.body != wholeStream() {
				f.record.printf("ORDER, MIXED: the stream of %s ends as complete and isn't the engine's", request.id)
				mu.Lock()
				defer mu.Unlock()
				broken++
			}
		})
	}
	time.Sleep(crashAfter)
	if trouble {
		failing.Store(true)
		f.record.printf("%s crashes, the others begin to fail requests", engines[0].id)
		engines[0].crash()
	}
	clients.Wait()
	return broken, nil
}

// stream answers with the events after the one that the request names.
func (x *exchange) stream() bool {
	from := 0
	if last := x.request.Header.Get("Last-Event-Id"); last != "" {
		if _, err := fmt.Sscan(last, &from); err != nil {
			return false
		}
	}
	if !x.startStream() {
		return false
	}
	for n := from + 1; n <= streamEvents; n++ {
		if !x.writeEvent(n) {
			return false
		}
		time.Sleep(eventPause)
	}
	return x.endStream()
}

// wholeStream returns all events of a stream.
func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}
