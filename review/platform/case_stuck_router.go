package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// removedKey is the key that the second version of the configuration lacks.
	removedKey = "anfqasnmgkcuyj8pjbvk"
	// crowdStays is how long the crowd's channels stay open after the second router was
	// added.
	crowdStays = time.Second
	// configApply is configApplyMs, with a margin for the clocks.
	configApply = 2*time.Second + 50*time.Millisecond
	// longKept is how much longer than its time some clients keep an answer of the directory.
	longKept       = 3
	resolutionPath = "/-/resolution?name=" + callerHost + "&region=bagmati&zone=balaju"
	// askPause is the pause of a client between two requests.
	askPause = 250 * time.Millisecond
)

// resolution is an answer of the directory.
type resolution struct {
	Addresses []string `json:"addresses"`
	TTLS      float64  `json:"ttlS"`
}

func (r *router) resolve() (resolution, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.directory+resolutionPath, nil)
	if err != nil {
		return resolution{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return resolution{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var found resolution
	return found, json.NewDecoder(response.Body).Decode(&found)
}

// stuckRouter adds a second router to a first one and changes the configuration. Clients that
// still have the directory's answer from before ask the first one with a key that was removed
// and on a route that was added. With trouble, other clients have opened as many channels to
// the first router as its machine has descriptors when the second one is added, and leave a
// second later.
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
	// The machine is in touch from now on.
	time.Sleep(stabilityWindow + time.Second)
	found, err := r.resolve()
	if err != nil || !slices.Contains(found.Addresses, r.callers) {
		return 0, fmt.Errorf("%w: the directory answers %v, %v", errCouldNotRun, found, err)
	}
	keptUntil := time.Now().Add(time.Duration(longKept * found.TTLS * float64(time.Second)))
	f.record.printf("the directory names %v for %g s", found.Addresses, found.TTLS)
	leave := func() {}
	if trouble {
		if leave, err = f.crowd(r); err != nil {
			return 0, err
		}
		defer leave()
	}
	second, err := f.startRouter()
	if err != nil {
		return 0, err
	}
	f.keys = []string{callerKey}
	f.configure(2, lookup("fleet-lookup", "/lookup/"), lookup("yard-lookup", "/yard/"))
	acked := time.Now()
	f.record.printf("the store has acknowledged version 2: a key removed, a route added")
	time.Sleep(crowdStays)
	leave()
	f.record.printf("no other clients are there any more")
	time.Sleep(time.Until(acked.Add(configApply)))
	broken := 0
	for n := 0; time.Now().Before(keptUntil); n++ {
		broken += f.askBoth(r, n)
		time.Sleep(askPause)
	}
	now, err := second.resolve()
	f.record.printf("the directory of %s names %v, %v", second.name, now.Addresses, err)
	f.record.printf("%s answers 200 when it is asked whether it is ready: %t", r.name, r.isReady())
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

// askBoth sends a request with the removed key and one on the added route, and returns how
// many of them were handled as the first version says.
func (f *fleet) askBoth(r *router, n int) (broken int) {
	old := call{method: http.MethodGet, path: "/lookup/1", id: fmt.Sprintf("%016x", 0xe000+n), deadline: time.Second, key: removedKey}
	a := f.ask(r, old)
	if a.status == http.StatusOK {
		f.record.printf("CONFIG: %s ran with a key that was removed", old.id)
		broken++
	}
	added := call{method: http.MethodGet, path: "/yard/1", id: fmt.Sprintf("%016x", 0xf000+n), deadline: time.Second}
	a = f.ask(r, added)
	if a.status == http.StatusNotFound {
		f.record.printf("CONFIG: %s is refused, the route is there", added.id)
		broken++
	}
	return broken
}

// crowd has clients ask a router's directory, each once and on a channel of its own that it
// keeps open, until the router answers no more: its process has no descriptor left. The
// returned function closes the channels.
func (f *fleet) crowd(r *router) (leave func(), err error) {
	var open []net.Conn
	leave = func() {
		for _, conn := range open {
			_ = conn.Close()
		}
		open = nil
	}
	answered := 0
	for ; answered < int(f.descriptors); answered++ {
		conn, err := net.DialTimeout("tcp4", r.directory, time.Second)
		if err != nil {
			break
		}
		open = append(open, conn)
		if err := askDirectory(conn); err != nil {
			break
		}
	}
	f.record.printf("%d clients have asked the directory of %s and keep their channels, the next gets no answer", answered, r.name)
	if answered < int(f.descriptors)/2 || answered == int(f.descriptors) {
		leave()
		return nil, fmt.Errorf("%w: the crowd is of another size than expected", errCouldNotRun)
	}
	return leave, nil
}

// askDirectory asks a directory on an open channel, and waits a second for the answer.
func askDirectory(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, "GET "+resolutionPath+" HTTP/1.1\r\nHost: "+callerHost+"\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
