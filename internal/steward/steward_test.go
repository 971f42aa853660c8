package steward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/kv/kvmem"
	"github.com/verbenatrail/verbenatrail/internal/orders"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testLease = 300 * time.Millisecond
	// waitLimit makes a hanging test fail; no result depends on it.
	waitLimit = 20 * time.Second
)

// fixture is a platform with two engines: "checks" checks fences, "ignores" doesn't.
type fixture struct {
	t       *testing.T
	store   *kvmem.Store
	faults  atomic.Int64 // kvmem.Fault of the next commit
	hosts   string
	client  *http.Client
	address map[string]string
	model   atomic.Value
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, address: make(map[string]string)}
	f.model.Store("new")
	f.store = kvmem.New(kvmem.Options{Fault: func(call kvmem.Call) kvmem.Fault {
		if call != kvmem.CallCommit {
			return kvmem.FaultNone
		}
		return kvmem.Fault(f.faults.Swap(0))
	}})
	transport := &http.Transport{}
	f.client = &http.Client{Transport: transport}
	var list hostlist.List
	for name, fencing := range map[string]bool{"checks": true, "ignores": false} {
		config := engine.DefaultConfig()
		config.Models = []string{"old"}
		config.Fencing = fencing
		server := httptest.NewServer(engine.New(config))
		t.Cleanup(server.Close)
		f.address[name] = server.Listener.Addr().String()
		list.Hosts = append(list.Hosts, hostlist.Host{Name: name, Kind: hostlist.KindEngine, Address: f.address[name], State: hostlist.StateLive})
	}
	hosts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, list) }))
	t.Cleanup(hosts.Close)
	t.Cleanup(transport.CloseIdleConnections)
	f.hosts = hosts.URL
	return f
}

func (f *fixture) snapshot() *fleet.Snapshot {
	s := &fleet.Snapshot{Revision: 1, Upstreams: make(map[string]*fleet.Upstream)}
	for name := range f.address {
		s.Upstreams[name] = &fleet.Upstream{Name: name, Kind: fleet.KindEngine, Target: f.model.Load().(string)}
	}
	return s
}

// start runs a steward until the returned function is called.
func (f *fixture) start(name string, store kv.Store) (*Steward, func()) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := orders.DefaultSettings(testLease, testLease/10)
	settings.ReadInterval = 50 * time.Millisecond
	settings.ReadsPerSecond = 1000
	settings.LoadsPerMinute = 6000
	settings.MinBackoff = 10 * time.Millisecond
	s := New(Options{
		Store: store, Name: name, HostList: f.hosts, HostListInterval: 50 * time.Millisecond, Config: f.snapshot,
		LeaseTTL: testLease, Orders: settings, Client: f.client, Logger: logger, Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	stop := sync.OnceFunc(func() { cancel(); running.Wait() })
	f.t.Cleanup(stop)
	return s, stop
}

func (f *fixture) waitFor(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatal("timed out waiting for: " + what)
}

func (f *fixture) serves(model string) func() bool {
	return func() bool {
		for name, address := range f.address {
			event := (&Steward{options: Options{Client: f.client}, counters: newCounters(metrics.NewRegistry())}).readState(context.Background(), name, address)
			received, ok := event.(orders.StateReceived)
			if !ok || !slices.Equal(received.State.Models, []string{model}) {
				return false
			}
		}
		return true
	}
}

// pausedStore blocks lease renewals while paused, as in a paused process.
type pausedStore struct {
	kv.Store
	paused atomic.Bool
}

func (s *pausedStore) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if s.paused.Load() {
		<-ctx.Done()
		return 0, kv.ErrUnavailable
	}
	return s.Store.KeepAlive(ctx, id)
}

func TestOrdersReachEngines(t *testing.T) {
	f := newFixture(t)
	s, stop := f.start("a", f.store)
	f.waitFor("engines serve the declared model", f.serves("new"))
	first := s.Fence()
	f.model.Store("newer")
	f.waitFor("engines follow the declarations", f.serves("newer"))
	stop()
	next, _ := f.start("b", f.store)
	f.waitFor("the next steward takes over", func() bool { return next.Fence() > first })
}

func TestPausedHolderIsReplacedAndLateOrdersCorrected(t *testing.T) {
	f := newFixture(t)
	paused := &pausedStore{Store: f.store}
	a, _ := f.start("a", paused)
	f.waitFor("a holds the lease", func() bool { return a.Fence() > 0 })
	old := a.Fence()
	f.waitFor("engines serve the declared model", f.serves("new"))
	paused.paused.Store(true)
	b, _ := f.start("b", f.store)
	f.waitFor("b replaces a", func() bool { return b.Fence() > old && a.Fence() == 0 })
	f.waitFor("b has raised the fence", func() bool { return f.fence("checks") == b.Fence() })
	for name := range f.address {
		late := orders.Send{Engine: name, Until: time.Now().Add(time.Minute), Order: engineapi.Order{Fence: old, Action: orders.ActionUnload, Model: "new"}}
		event := a.sendOrder(context.Background(), late, f.address[name])
		if _, refused := event.(orders.OrderRefused); refused != (name == "checks") {
			t.Fatal(name, fmt.Sprintf("%+v", event))
		}
	}
	f.waitFor("b corrects the engine that ignores fences", f.serves("new"))
}

func (f *fixture) fence(name string) int64 {
	s := &Steward{options: Options{Client: f.client}, counters: newCounters(metrics.NewRegistry())}
	received, ok := s.readState(context.Background(), name, f.address[name]).(orders.StateReceived)
	if !ok {
		return 0
	}
	return received.State.Fence
}

func TestElectionAfterLostRequestOrReply(t *testing.T) {
	for _, fault := range []kvmem.Fault{kvmem.FaultReplyLost, kvmem.FaultRequestLost} {
		f := newFixture(t)
		f.faults.Store(int64(fault))
		s, stop := f.start("a", f.store)
		f.waitFor("a is elected", func() bool { return s.Fence() > 0 })
		entry, err := f.store.Get(context.Background(), holderKey)
		if err != nil || entry.ModRevision != s.Fence() {
			t.Fatal(entry, s.Fence(), err)
		}
		stop()
	}
}
