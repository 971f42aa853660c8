// Package steward sends orders to engines under a lease of the key-value
// service, as decided by package orders.
package steward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/orders"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

const (
	inboxSize    = 64
	tickInterval = 200 * time.Millisecond
	callTimeout  = 10 * time.Second
)

// Options configure a Steward. All fields except Client, Registry, Logger and Seed
// are required.
type Options struct {
	Store kv.Store
	// Name is the name of this process.
	Name string
	// HostList is the base URL of the platform's host list.
	HostList string
	// HostListInterval is the time between reads of the host list.
	HostListInterval time.Duration
	// Config returns the declarations in force, or nil if there are none yet.
	Config func() *fleet.Snapshot
	// LeaseTTL is the time after which a holder that stops renewing is replaced.
	LeaseTTL time.Duration
	Orders   orders.Settings
	Client   *http.Client
	Registry metrics.Registry
	Logger   logrus.FieldLogger
	Seed     uint64
}

// Steward is one candidate for the lease. The goroutine of Run owns its state.
type Steward struct {
	options  Options
	counters counters
	inbox    chan orders.Event
	hosts    chan map[string]string
	resign   chan struct{}
	calls    sync.WaitGroup
	machine  *orders.Machine
	list     *hostlist.Client
	// addresses are the addresses of the live engines, by name.
	addresses map[string]string
	fence     atomic.Int64
}

type counters struct {
	reads, failedReads                  metrics.Counter
	orders, refusedOrders, failedOrders metrics.Counter
	terms                               metrics.Counter
	holding                             metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("steward."+name, r) }
	return counters{
		reads: counter("state_reads.calls"), failedReads: counter("failed_state_reads.calls"),
		orders: counter("orders.calls"), refusedOrders: counter("refused_orders.calls"),
		failedOrders: counter("failed_orders.calls"), terms: counter("terms.events"),
		holding: metrics.GetOrRegisterGauge("steward.holding.processes", r),
	}
}

// New returns a Steward; Run starts it.
func New(options Options) *Steward {
	if options.Client == nil {
		// Each call sets its own time limit.
		const noTimeout = 0
		options.Client = &http.Client{Transport: upstream.NewTransport(upstream.Dialer(noTimeout).DialContext, hostlist.MaxListBytes)}
	}
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	if options.Logger == nil {
		options.Logger = logrus.StandardLogger()
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	return &Steward{
		options: options, counters: newCounters(options.Registry),
		inbox: make(chan orders.Event, inboxSize), hosts: make(chan map[string]string, 1),
		resign: make(chan struct{}, 1), machine: orders.New(options.Orders, options.Seed),
		list: hostlist.NewClient(options.HostList, options.Name, options.Client),
	}
}

// Fence returns the fence of this process's term, or zero if it doesn't hold the
// lease.
func (s *Steward) Fence() int64 { return s.fence.Load() }

// Run campaigns for the lease and sends orders while it holds it, until the context
// ends. It returns nil then.
func (s *Steward) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() {
		e := &election{
			store: s.options.Store, name: s.options.Name, ttl: s.options.LeaseTTL,
			resign: s.resign, emit: func(event orders.Event) { s.post(ctx, event) },
		}
		e.run(ctx)
	})
	background.Go(func() { s.pollHosts(ctx) })
	s.eventLoop(ctx)
	cancel()
	background.Wait()
	s.calls.Wait()
	return nil
}

func (s *Steward) eventLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-s.inbox:
			s.step(ctx, event)
		case s.addresses = <-s.hosts:
			s.step(ctx, s.desired())
		case <-ticker.C:
			s.step(ctx, s.desired())
		case <-ctx.Done():
			return
		}
	}
}

func (s *Steward) post(ctx context.Context, event orders.Event) {
	select {
	case s.inbox <- event:
	case <-ctx.Done():
	}
}

// pollHosts polls the host list until the context ends. The last list stays in
// use while polls fail.
func (s *Steward) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if addresses, changed, err := s.liveEngines(ctx); err == nil && changed {
			select {
			case s.hosts <- addresses:
			case <-ctx.Done():
			}
		}
		_ = pause.For(ctx, s.options.HostListInterval)
	}
}

// desired returns the desired state of all engines that are live and declared.
func (s *Steward) desired() orders.Event {
	snapshot := s.options.Config()
	if snapshot == nil {
		return orders.Tick{}
	}
	var targets []orders.Target
	for name := range s.addresses {
		declared := snapshot.Upstreams[name]
		if declared != nil && declared.Kind == fleet.KindEngine {
			targets = append(targets, orders.Target{Engine: name, Model: declared.Target})
		}
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Engine < targets[j].Engine })
	return orders.Desired{Targets: targets}
}

func (s *Steward) step(ctx context.Context, event orders.Event) {
	for _, effect := range s.machine.Step(time.Now(), event) {
		s.execute(ctx, effect)
	}
	s.publishLeaseState()
}

func (s *Steward) execute(ctx context.Context, effect orders.Effect) {
	switch effect := effect.(type) {
	case orders.Read:
		address := s.addresses[effect.Engine]
		s.startCall(ctx, func(ctx context.Context) orders.Event { return s.readState(ctx, effect.Engine, address) })
	case orders.Send:
		address := s.addresses[effect.Engine]
		s.startCall(ctx, func(ctx context.Context) orders.Event { return s.sendOrder(ctx, effect, address) })
	case orders.Resign:
		select {
		case s.resign <- struct{}{}:
		default:
		}
	}
}

// startCall runs f, a call to an engine, in a goroutine and posts its result.
func (s *Steward) startCall(ctx context.Context, f func(context.Context) orders.Event) {
	s.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		s.post(ctx, f(callCtx))
	})
}

// publishLeaseState updates the fence, the metrics and the log when this process
// takes or loses the lease.
func (s *Steward) publishLeaseState() {
	fence, holding := s.machine.HoldsLease()
	if !holding {
		fence = 0
	}
	previous := s.fence.Swap(fence)
	if previous == fence {
		return
	}
	log := s.options.Logger.WithField("fence", max(fence, previous))
	if fence == 0 {
		s.counters.holding.Update(0)
		log.Info("steward lease released or lost")
		return
	}
	s.counters.terms.Inc(1)
	s.counters.holding.Update(1)
	log.Info("steward lease acquired")
}
