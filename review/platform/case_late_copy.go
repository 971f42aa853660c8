package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	appSlots = 6
	appQueue = 3
	appWork  = 15 * time.Millisecond
	// copyEach is the number of an engine's answers of which one is sent twice: 3 in 100.
	copyEach = 34
	// The engine is faulty for faultTime, and sound for soundTime, in turn.
	faultTime = 5 * time.Second
	soundTime = 2 * time.Second
	bursts    = 220
	// burstCalls is the number of calls that come at once, half of them to each router: more
	// than two engines have places for.
	burstCalls = 32
	burstPause = 250 * time.Millisecond
)

// lateCopy sends bursts of calls that may run once to two engines, which reject what exceeds
// their places. With trouble, one of them sends 3 in 100 of its answers a second time, late:
// when it has read the next request on the channel. It does so for five seconds, several times.
func lateCopy(f *fleet, trouble bool) (int, error) {
	f.configure(1, map[string]any{
		"name": "hire-confirm", "prefix": "/confirm/", "kind": "non_idempotent", "service": "app", "timeoutMs": 1000,
		"targetLatencyMs": 100, "maxAttempts": 1,
	})
	answerOf := func(faulty bool) answerFunc {
		start := time.Now()
		isFaulty := func() bool { return faulty && trouble && time.Since(start)%(faultTime+soundTime) < faultTime }
		slots, places := make(chan struct{}, appSlots), make(chan struct{}, appSlots+appQueue)
		var answers atomic.Int64
		return func(x *exchange) bool {
			if extra := x.state.extra; len(extra) > 0 {
				x.state.extra = nil
				f.record.printf("%s sends a copy of its last answer on the channel of %s", x.engine.id, x.id)
				if !x.write(string(extra)) {
					return false
				}
			}
			send := func(text string) bool {
				if answers.Add(1)%copyEach == 0 && isFaulty() {
					x.state.extra = []byte(text)
				}
				return x.write(text)
			}
			select {
			case places <- struct{}{}:
			default:
				f.record.printf("%s rejects %s", x.engine.id, x.id)
				return send("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			}
			defer func() { <-places }()
			slots <- struct{}{}
			defer func() { <-slots }()
			x.run()
			time.Sleep(appWork)
			body := "the answer to " + x.id
			return send(x.head(http.StatusOK, fmt.Sprintf("Content-Length: %d", len(body))) + body)
		}
	}
	var engines []*engine
	for n := range 2 {
		e, err := f.startEngine(fmt.Sprintf("i-app%d", n), "app", appSlots, answerOf(n == 0))
		if err != nil {
			return 0, err
		}
		engines = append(engines, e)
	}
	var routers []*router
	for range 2 {
		r, err := f.startRouter()
		if err != nil {
			return 0, err
		}
		routers = append(routers, r)
	}
	time.Sleep(stabilityWindow)
	type sent struct {
		id string
		a  answer
	}
	var mu sync.Mutex
	var all []sent
	var clients sync.WaitGroup
	for b := range bursts {
		for n := range burstCalls {
			clients.Go(func() {
				id := fmt.Sprintf("%016x", 0xc0000+b*burstCalls+n)
				a := f.ask(routers[n%2], call{method: http.MethodPost, path: "/confirm/1", id: id, deadline: time.Second, body: "two rollers"})
				mu.Lock()
				defer mu.Unlock()
				all = append(all, sent{id, a})
			})
		}
		time.Sleep(burstPause)
	}
	clients.Wait()
	broken, counts := 0, map[int]int{}
	for _, s := range all {
		counts[s.a.status]++
		runs := engines[0].runCount(s.id) + engines[1].runCount(s.id)
		refused := s.a.status == http.StatusServiceUnavailable || s.a.status == http.StatusTooManyRequests
		switch {
		case runs > 1:
			f.record.printf("TWICE: %s ran %d times; the client got: %s", s.id, runs, s.a)
			broken++
		case runs > 0 && refused:
			f.record.printf("REFUSED: %s ran; the client got: %s", s.id, s.a)
			broken++
		}
	}
	f.record.printf("%d calls, answers by status %v", len(all), counts)
	return broken, nil
}
