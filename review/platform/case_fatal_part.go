package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	fatalEngines = 6
	// fatalParts is the number of shared parts of each prompt; the fatal one is in the middle.
	fatalParts = 40
	// backAfter is how long an engine that has crashed is away.
	backAfter = 3 * time.Second
	// fatalPause and soundPause are the pauses between two requests with the fatal part, and
	// between two others.
	fatalPause = 1500 * time.Millisecond
	soundPause = 100 * time.Millisecond
	fatalTime  = 45 * time.Second
	// countedCrash is the crash from which on the rule counts, allowedLater the number of
	// requests with the part that may reach engines later than stabilityWindow after it.
	countedCrash = 5
	allowedLater = 3
	fatalID      = "dead0001"
)

// arrivals records the crashes and the requests with the fatal part that reached engines.
type arrivals struct {
	mu      sync.Mutex
	crashes []time.Time
	fatal   []time.Time
}

// fatalPart sends prompts of many parts, some of which have the fatal part in their middle
// and nothing else in common that others don't have. With trouble, that part crashes each
// engine that begins to answer on it.
func fatalPart(f *fleet, trouble bool) (int, error) {
	f.configure(1, map[string]any{
		"name": "quote-draft", "prefix": "/draft/", "kind": "streaming", "service": "model", "streamResumption": false,
		"timeoutMs": 4000, "targetLatencyMs": 1500, "gapTargetMs": 600, "maxAttempts": 1,
	})
	var seen arrivals
	answer := func(x *exchange) bool {
		x.run()
		if !strings.Contains(x.request.Header.Get("X-Prompt-Prefix"), fatalID) {
			return x.stream()
		}
		seen.mu.Lock()
		seen.fatal = append(seen.fatal, time.Now())
		seen.mu.Unlock()
		if !trouble {
			return x.stream()
		}
		seen.mu.Lock()
		seen.crashes = append(seen.crashes, time.Now())
		f.record.printf("%s crashes on %s: crash %d", x.engine.id, x.id, len(seen.crashes))
		seen.mu.Unlock()
		go x.engine.crashAndReturn(backAfter)
		return false
	}
	for n := range fatalEngines {
		if _, err := f.startEngine(fmt.Sprintf("i-model%d", n), "model", 64, answer); err != nil {
			return 0, err
		}
	}
	var routers []*router
	for range 2 {
		r, err := f.startRouter()
		if err != nil {
			return 0, err
		}
		routers = append(routers, r)
	}
	time.Sleep(stabilityWindow + time.Second)
	var clients sync.WaitGroup
	end := time.Now().Add(fatalTime)
	send := func(n int, kind string, prompt string) {
		clients.Go(func() {
			request := call{
				method: http.MethodPost, path: "/draft/1", id: fmt.Sprintf("%s%014x", kind, n), deadline: 4 * time.Second,
				prompt: prompt, body: fmt.Sprintf("question %d", n),
			}
			f.ask(routers[n%len(routers)], request)
		})
	}
	clients.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			send(n, "50", manyParts(n, ""))
			time.Sleep(soundPause)
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		send(n, "fa", manyParts(n, fatalID))
		time.Sleep(fatalPause)
	}
	clients.Wait()
	later := 0
	if len(seen.crashes) >= countedCrash {
		from := seen.crashes[countedCrash-1].Add(stabilityWindow)
		for _, at := range seen.fatal {
			if at.After(from) {
				later++
			}
		}
	}
	f.record.printf("%d crashes; %d requests with the part reached engines later than %v after the fifth", len(seen.crashes), later, stabilityWindow)
	if later <= allowedLater {
		return 0, nil
	}
	f.record.printf("BUDGET: more than %d requests with a part that crashes engines reached them", allowedLater)
	return later, nil
}

// manyParts returns the prompt of a request: parts that change with each request, one of
// them replaced by the given one, after a first part that all have. The last part is its own.
func manyParts(n int, fatal string) string {
	parts := []string{"5c1e07a2:103"}
	for i := 1; i < fatalParts; i++ {
		id := fmt.Sprintf("%08x", 0x10000*(i+1)+(n+i)%7)
		if fatal != "" && i == fatalParts/2 {
			id = fatal
		}
		parts = append(parts, id+":20")
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:110", 0x70000000+n)), ",")
}
