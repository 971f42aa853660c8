package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// removedKey is the key that the second version of the configuration lacks.
	removedKey = "anfqasnmgkcuyj8pjbvk"
	// crowdStays is how long the crowd's channels stay open, crowdGone how long the machine
	// is calm before the configuration changes: more than stabilityWindowMs and the 5 s after
	// a crowd.
	crowdStays = 3 * time.Second
	crowdGone  = 15 * time.Second
	// configApply is configApplyMs.
	configApply = 2 * time.Second
	checks      = 10
)

// stuckRouter adds a second router to a first one and changes the configuration. Then it asks
// the first one with a key that was removed and on a route that was added. With trouble,
// clients had opened as many channels to the first router as its machine has descriptors when
// the second one was added, and have left again.
func stuckRouter(f *fleet, trouble bool) (int, error) {
	lookup := func(name, prefix string) map[string]any {
		return map[string]any{"name": name, "prefix": prefix, "kind": "idempotent", "service": "app", "timeoutMs": 1000,
			"targetLatencyMs": 100, "maxAttempts": 2}
	}
	f.keys = []string{callerKey, removedKey}
	f.configure(1, lookup("fleet-lookup", "/lookup/"))
	for n := range 2 {
		_, err := f.startEngine(fmt.Sprintf("i-app%d", n), "app", 6, func(x *exchange) bool {
			x.run()
			return x.whole(http.StatusOK, "the answer to "+x.id)
		})
		if err != nil {
			return 0, err
		}
	}
	r, err := f.startRouter()
	if err != nil {
		return 0, err
	}
	time.Sleep(stabilityWindow)
	leave := func() {}
	if trouble {
		if leave, err = f.crowd(r); err != nil {
			return 0, err
		}
		defer leave()
	}
	if _, err := f.startRouter(); err != nil {
		return 0, err
	}
	if trouble {
		time.Sleep(crowdStays)
		leave()
		f.record.printf("the crowd has left")
	}
	time.Sleep(crowdGone)
	f.keys = []string{callerKey}
	f.configure(2, lookup("fleet-lookup", "/lookup/"), lookup("yard-lookup", "/yard/"))
	f.record.printf("the store has acknowledged version 2: a key removed, a route added")
	time.Sleep(configApply + time.Second)
	broken := 0
	for n := range checks {
		old := call{method: http.MethodGet, path: "/lookup/1", id: fmt.Sprintf("%016x", 0xe000+n), deadline: time.Second, key: removedKey}
		a := ask(r.callers, old)
		f.record.printf("client with the removed key gets for %s from %s: %s", old.id, r.name, a)
		if a.status == http.StatusOK {
			f.record.printf("CONFIG: %s ran with a key that was removed", old.id)
			broken++
		}
		added := call{method: http.MethodGet, path: "/yard/1", id: fmt.Sprintf("%016x", 0xf000+n), deadline: time.Second}
		a = ask(r.callers, added)
		f.record.printf("client on the added route gets for %s from %s: %s", added.id, r.name, a)
		if a.status == http.StatusNotFound {
			f.record.printf("CONFIG: %s is refused, the route is there", added.id)
			broken++
		}
		time.Sleep(300 * time.Millisecond)
	}
	f.record.printf("%s is told to stop", r.name)
	_ = r.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.done:
		f.record.printf("%s has stopped", r.name)
	case <-time.After(graceSeconds * time.Second):
		f.record.printf("%s still runs %d s after the SIGTERM", r.name, graceSeconds)
	}
	return broken, nil
}

// crowd opens channels to a router until its process has no descriptor left, and returns a
// function that closes them.
func (f *fleet) crowd(r *router) (leave func(), err error) {
	var open []*channel
	leave = func() {
		for _, c := range open {
			c.close()
		}
		open = nil
	}
	for range descriptors {
		c, err := connect(r.callers)
		if err != nil {
			leave()
			return nil, fmt.Errorf("%w: %d channels are open: %w", errCouldNotRun, len(open), err)
		}
		open = append(open, c)
	}
	f.record.printf("%d clients have connected to %s", len(open), r.name)
	time.Sleep(time.Second)
	return leave, nil
}
