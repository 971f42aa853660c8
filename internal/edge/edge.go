package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/boottime"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/dispatch"
	"github.com/verbenatrail/verbenatrail/internal/ingress"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/memquota"
	"github.com/verbenatrail/verbenatrail/internal/origins"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/serving"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// Options configure an Edge.
type Options struct {
	Settings Settings
	Store    kv.Store
	Provider Provider
	Codec    Codec
	// Inventory lists the contents of instances' prefix caches.
	Inventory Inventory
	// Handlers serves the readiness and directory addresses.
	Handlers func(*Edge) (ready, directory http.Handler)
	// StoreEra returns the highest era of the store that any response has named; nil
	// for a store without eras.
	StoreEra func() int64
	Log      *decisionlog.Log
	Registry metrics.Registry
}

// Edge is one router process.
type Edge struct {
	options  Options
	balancer *dispatch.Balancer
	pool     *upstream.Pool
	callers  *ingress.Server
	link     *peering.Link
	permits  *permits
	origins  *origins.Tracker
	// originWriter keeps this router's record of streams.
	originWriter *originWriter

	settings atomic.Pointer[Settings]

	table   atomic.Pointer[routing.Table]
	routers atomic.Pointer[[]peering.Router]
	leaving atomic.Bool
	// stopAt is when a router that leaves ends the calls in flight.
	stopAt atomic.Pointer[time.Time]
	// outage is set while this router follows the store and can't reach it.
	outage atomic.Bool
	// standby is set while a router of higher precedence follows the store.
	standby atomic.Bool
	// followsSince is when this router last started to follow the store.
	followsSince atomic.Pointer[time.Time]
	// digestDue is set while a digest with new cached prompt parts is scheduled.
	digestDue atomic.Bool

	commands chan command
	// datagrams are those of other routers that wait for the control goroutine.
	datagrams chan peering.Received
	// controlEnded is closed when the control goroutine has ended.
	controlEnded chan struct{}
	// resync makes the follower list all records again when other routers have later
	// ones.
	resync chan struct{}
	// reregister makes the router write its record again.
	reregister chan registrationLost
}

// lastResortDivisor sets the share of the drain period, a half, in which an instance
// that leaves may take calls that no other instance can take. The rest is a margin
// for calls that are already on their way.
const lastResortDivisor = 2

// bufferShare is the share of the process's memory, an eighth, that buffered responses
// and buffered request bodies may take each.
const bufferShare = 8

const (
	// commandBuffer is the number of commands that can wait for the control goroutine
	// without a goroutine of their own.
	commandBuffer = 256
	// datagramBuffer is the number of datagrams that can wait for the control goroutine.
	datagramBuffer = 256
)

// New assembles a router; Run starts it. Its error is peering.ErrPeerAddress.
func New(o Options) (*Edge, error) {
	e := &Edge{
		options: o, commands: make(chan command, commandBuffer), datagrams: make(chan peering.Received, datagramBuffer),
		controlEnded: make(chan struct{}), resync: make(chan struct{}, 1), reregister: make(chan registrationLost, 1),
	}
	link, err := peering.Open(o.Settings.Name, o.Settings.PeerAddress, uint64(time.Now().UnixNano()), o.Registry)
	if err != nil {
		return nil, err
	}
	e.link = link
	settings := o.Settings
	e.settings.Store(&settings)
	e.balancer = dispatch.NewBalancer(dispatch.BalancerOptions{
		Location: o.Settings.Location, RetryBudget: o.Settings.RetryBudget, Containment: containment.DefaultSettings(),
		LastResortPeriod: o.Settings.DrainPeriod / lastResortDivisor,
		Log:              o.Log, OnStrikes: func(s []*peerpb.Strike) { e.post(crashDetected{strikes: s}) },
		OnTrials: func(a []*peerpb.Trial) { e.post(trialsRecorded{trials: a}) }, Registry: o.Registry,
		OnDigestChange: e.scheduleDigest,
	})
	e.pool = upstream.NewPool(o.Registry)
	share := settings.memory() / bufferShare
	e.permits = newPermits(e)
	e.origins = origins.NewTracker(originReader{e}, boottime.Now, o.Registry)
	e.originWriter = newOriginWriter(e)
	dispatcher := dispatch.New(dispatch.Options{
		Balancer: e.balancer, Pool: e.pool, Permits: e.permits, Origins: e.origins, Codec: o.Codec, Table: e.table.Load, Outage: e.outage.Load,
		StopAt:  e.stopTime,
		Buffers: memquota.New(share), Log: o.Log, Registry: o.Registry,
	})
	e.callers = ingress.New(ingress.Options{
		Codec: o.Codec, Dispatcher: dispatcher, Table: e.table.Load, Buffers: memquota.New(share),
		Log: o.Log, Registry: o.Registry,
	})
	e.routers.Store(&[]peering.Router{})
	return e, nil
}

// post queues a command for the control goroutine without blocking. Commands are not
// dropped: the control goroutine waits for the results of what it has started.
func (e *Edge) post(c command) {
	select {
	case e.commands <- c:
	default:
		go func() {
			select {
			case e.commands <- c:
			case <-e.controlEnded:
			}
		}()
	}
}

// postDatagram queues a datagram for the control goroutine. When the queue is full, the
// datagram is counted and dropped: routers repeat what they tell each other.
func (e *Edge) postDatagram(r peering.Received) {
	select {
	case e.datagrams <- r:
	default:
		metrics.GetOrRegisterCounter("edge.commands.dropped", e.options.Registry).Inc(1)
	}
}

// Ready reports whether callers should use this router.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.table.Load() != nil && e.balancer.HasInstances()
}

// CallerAddresses returns up to limit addresses to which callers of a region may
// connect: this router's if it is ready, and those of other live routers.
func (e *Edge) CallerAddresses(region string, limit int) []string {
	routers := *e.routers.Load()
	if e.Ready() {
		routers = append(routers[:len(routers):len(routers)], peering.Router{
			CallerAddress: e.options.Settings.CallerAddress, Region: e.options.Settings.Location.Region, Accepting: true,
		})
	}
	return peering.CallerAddresses(routers, region, limit, rand.Shuffle)
}

// Run serves until the context ends, and then shuts down without interrupting
// calls.
func (e *Edge) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	e.startControl(running, group)
	e.startServers(running, group, listeners)
	e.options.Log.Lifecycle("router started", decisionlog.Fields{
		"router": e.options.Settings.Name, "callers": e.options.Settings.CallerAddress,
		"peers": e.options.Settings.PeerAddress, "seeds": e.options.Settings.Seeds,
	})
	e.awaitEnd(ctx, running)
	stop()
	return group.Wait()
}

// awaitEnd waits until the router is told to stop, and then leaves without interrupting
// calls. If a part of the router has failed before, which ends the context of the others,
// it takes no more calls: nothing would keep its routes and instances current.
func (e *Edge) awaitEnd(ctx, running context.Context) {
	select {
	case <-ctx.Done():
		e.leave(time.Now())
	case <-running.Done():
		e.stopAfterFailure(time.Now())
	}
}

// startControl starts the control goroutine, the registration, the exchange with
// other routers, and the maintenance of connections.
func (e *Edge) startControl(ctx context.Context, group *errgroup.Group) {
	c := newControl(ctx, e)
	group.Go(func() error {
		defer close(e.controlEnded)
		return c.run()
	})
	group.Go(func() error { return e.register(ctx) })
	group.Go(func() error { return e.originWriter.run(ctx) })
	group.Go(func() error {
		return e.link.Receive(ctx, e.postDatagram)
	})
	group.Go(func() error { return e.link.Serve(ctx, peering.Handlers{State: e.stateFor, Permit: e.permits.Decide}) })
	group.Go(func() error { return e.pool.Run(ctx) })
	group.Go(func() error { return e.callers.Run(ctx) })
}

// deliver queues a command in order with those of the same goroutine; it blocks while the
// queue is full.
func (e *Edge) deliver(ctx context.Context, c command) {
	select {
	case e.commands <- c:
	case <-ctx.Done():
	}
}

// listeners are the listening sockets of a router.
type listeners struct{ callers, ready, directory, metrics net.Listener }

func (e *Edge) listen() (listeners, error) {
	s := e.options.Settings
	var l listeners
	for _, at := range []struct {
		address string
		to      *net.Listener
	}{
		{s.CallerAddress, &l.callers}, {s.ReadyAddress, &l.ready},
		{s.DirectoryAddress, &l.directory}, {s.MetricsAddress, &l.metrics},
	} {
		if at.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", at.address)
		if err != nil {
			return listeners{}, errors.Wrapf(err, "can't listen on %s: set a free address of this host", at.address)
		}
		*at.to = listener
	}
	return l, nil
}

func (e *Edge) startServers(ctx context.Context, group *errgroup.Group, l listeners) {
	ready, directory := e.options.Handlers(e)
	group.Go(func() error { return e.callers.Serve(l.callers) })
	for listener, handler := range map[net.Listener]http.Handler{
		l.ready: ready, l.directory: directory, l.metrics: telemetry.TextHandler(e.options.Registry),
	} {
		if listener == nil {
			continue
		}
		group.Go(func() error { return serving.UntilDone(ctx, listener, handler, auxHeaderTimeout) })
	}
}

// auxHeaderTimeout bounds the arrival of a request's headers at the readiness,
// directory and metrics addresses.
const auxHeaderTimeout = 5 * time.Second

// Settings returns the current settings.
func (e *Edge) Settings() Settings { return *e.settings.Load() }

// Reload applies changed settings. Name and addresses keep their values from the
// start of the process.
func (e *Edge) Reload(s Settings) {
	current := e.Settings()
	current.Seeds, current.GracePeriod, current.AddressLifetime, current.RetryBudget =
		s.Seeds, s.GracePeriod, s.AddressLifetime, s.RetryBudget
	e.settings.Store(&current)
	e.balancer.SetRetryBudget(s.RetryBudget)
	e.options.Log.Lifecycle("settings reloaded", decisionlog.Fields{
		"router": current.Name, "seeds": s.Seeds, "grace": s.GracePeriod.String(),
		"address_lifetime": s.AddressLifetime.String(), "retry_ratio": s.RetryBudget.Ratio, "retry_extra": s.RetryBudget.Extra,
	})
	e.post(settingsChanged{seeds: s.Seeds})
}
