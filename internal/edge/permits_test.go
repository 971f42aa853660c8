package edge

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/freeport"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// permitFleet are routers that know each other and serve each other's requests.
type permitFleet struct {
	edges []*Edge
	// stop ends a router's part in the exchange.
	stop []context.CancelFunc
}

func newPermitFleet(t *testing.T, n int) *permitFleet {
	t.Helper()
	f := &permitFleet{}
	for i := range n {
		registry := metrics.NewRegistry()
		e, err := New(Options{
			Settings: Settings{Name: fmt.Sprint("router-", i), PeerAddress: freePeerAddress(t)}, Provider: revisionProvider{},
			Log: decisionlog.New(io.Discard, logrus.ErrorLevel, registry), Registry: registry,
		})
		if err != nil {
			t.Fatal(err)
		}
		e.balancer.SetInstances([]instances.Instance{{ID: "i-1", Service: "s", Address: "10.0.0.1:80"}})
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = e.link.Serve(ctx, peering.Handlers{Permit: e.permits.Decide})
		}()
		t.Cleanup(func() {
			cancel()
			<-served
		})
		f.edges, f.stop = append(f.edges, e), append(f.stop, cancel)
	}
	for _, e := range f.edges {
		f.know(e, func(peering.Router) bool { return true })
	}
	return f
}

// know sets the other routers that a router knows of.
func (f *permitFleet) know(e *Edge, keep func(peering.Router) bool) {
	var routers []peering.Router
	for _, other := range f.edges {
		r := peering.Router{Name: other.options.Settings.Name, PeerAddress: other.options.Settings.PeerAddress}
		if other != e && keep(r) {
			routers = append(routers, r)
		}
	}
	e.routers.Store(&routers)
}

// order returns the indices of the routers in the order in which they decide.
func (f *permitFleet) order() []int {
	var order []int
	for _, r := range f.edges[0].permits.deciders("s") {
		var i int
		if _, err := fmt.Sscanf(r.Name, "router-%d", &i); err == nil {
			order = append(order, i)
		}
	}
	return order
}

func permitRequest() *peerpb.PermitRequest {
	return &peerpb.PermitRequest{
		Service: "s", Last: true, MaxWaitUs: 5_000_000,
		Preferred: []*peerpb.RateLimit{{Instance: loadshare.Hash("i-1"), PerSecond: 2}},
	}
}

// All routers ask the same one. The permits of the fleet are those of one schedule.
func TestOneRouterDecidesForTheFleet(t *testing.T) {
	f := newPermitFleet(t, 4)
	first := f.edges[f.order()[0]].options.Settings.Name
	last := time.Duration(0)
	for i := range 8 {
		response := f.edges[i%4].permits.Acquire(context.Background(), permitRequest())
		wait := time.Duration(response.GetWaitUs()) * time.Microsecond
		if !response.GetGranted() || response.GetDecidedBy() != first {
			t.Fatalf("%v, want a permit of %s", response, first)
		}
		if wait < last+450*time.Millisecond && i > 1 {
			t.Errorf("permit %d is due after %v, the one before after %v", i, wait, last)
		}
		last = wait
	}
}

// The first router is gone, but the others don't know yet: the next one decides, for all.
func TestNextRouterDecidesIfTheFirstDoesNotAnswer(t *testing.T) {
	f := newPermitFleet(t, 4)
	order := f.order()
	f.stop[order[0]]()
	next := f.edges[order[1]].options.Settings.Name
	for _, i := range order[1:] {
		started := time.Now()
		response := f.edges[i].permits.Acquire(context.Background(), permitRequest())
		if !response.GetGranted() || response.GetDecidedBy() != next {
			t.Errorf("%v, want a permit of %s", response, next)
		}
		if took := time.Since(started); took > permitTimeout+relayTimeout+500*time.Millisecond {
			t.Errorf("the decision took %v", took)
		}
	}
}

// A router that can't reach the first one asks the next, which passes the request on.
func TestRequestIsPassedOnToTheFirstRouter(t *testing.T) {
	f := newPermitFleet(t, 4)
	order := f.order()
	first, cutOff := f.edges[order[0]].options.Settings, f.edges[order[2]]
	f.know(cutOff, func(r peering.Router) bool { return r.Name != first.Name })
	if response := cutOff.permits.Acquire(context.Background(), permitRequest()); !response.GetGranted() || response.GetDecidedBy() != first.Name {
		t.Errorf("%v, want a permit of %s", response, first.Name)
	}
}

// Views of the fleet that differ pass no request round in a circle.
func TestRequestIsPassedOnAFewTimesOnly(t *testing.T) {
	f := newPermitFleet(t, 4)
	r := permitRequest()
	r.Hops = maxPermitHops
	last := f.edges[f.order()[2]]
	if response := last.permits.Decide(context.Background(), r); response.GetDecidedBy() != last.options.Settings.Name {
		t.Errorf("%v, want a decision of %s", response, last.options.Settings.Name)
	}
}

// A router that leaves decides no more; the others ask the next one once they know.
func TestLeavingRouterDecidesNoMore(t *testing.T) {
	f := newPermitFleet(t, 3)
	leaving := f.edges[f.order()[0]]
	leaving.leaving.Store(true)
	for _, r := range leaving.permits.deciders("s") {
		if r.Name == leaving.options.Settings.Name {
			t.Error("a router that leaves is among those that decide")
		}
	}
	if response := leaving.permits.Acquire(context.Background(), permitRequest()); response.GetDecidedBy() == leaving.options.Settings.Name {
		t.Errorf("%v", response)
	}
}

// Malformed requests of a router don't end the process, and grant nothing.
func TestMalformedPermitRequests(t *testing.T) {
	f := newPermitFleet(t, 1)
	for _, r := range []*peerpb.PermitRequest{
		{}, {Service: "s"}, {Last: true, MaxWaitUs: 1 << 31},
		{Service: "s", Preferred: []*peerpb.RateLimit{{PerSecond: -1}, {PerSecond: 1 / zero()}, {PerSecond: zero() / zero()}}},
	} {
		if response := f.edges[0].permits.Decide(context.Background(), r); response.GetGranted() {
			t.Errorf("%v was granted: %v", r, response)
		}
	}
}

// zero returns a zero that the compiler doesn't know of.
func zero() float64 { return float64(len("")) }

// The smaller part of a fleet that is cut in two shares out its part of the limits only.
func TestLimitShare(t *testing.T) {
	for _, c := range []struct {
		live, expected int
		want           float64
	}{{1, 1, 1}, {4, 4, 1}, {2, 4, 1}, {1, 4, 0.25}, {30, 79, 30.0 / 79}} {
		if got := limitShare(c.live, c.expected); got != c.want {
			t.Errorf("%d of %d routers: %g, want %g", c.live, c.expected, got, c.want)
		}
	}
}

var peerPorts = freeport.NewAllocator()

func freePeerAddress(t *testing.T) string {
	t.Helper()
	address, err := peerPorts.Allocate()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
