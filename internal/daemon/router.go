package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/actions"
	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/engineclient"
	"github.com/verbenatrail/verbenatrail/internal/forward"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/owner"
	"github.com/verbenatrail/verbenatrail/internal/peer"
	"github.com/verbenatrail/verbenatrail/internal/relay"
	"github.com/verbenatrail/verbenatrail/internal/router"
	"github.com/verbenatrail/verbenatrail/internal/serviceclient"
	"github.com/verbenatrail/verbenatrail/internal/serving"
)

// Router is one vt-router process.
type Router struct {
	*node
	settings RouterSettings
	owner    *owner.Owner
	services *serviceclient.Client
	claims   *claims.Claims
	callers  *router.Server
	handler  *forward.Handler
	leaving  atomic.Bool
}

// NewRouter creates a router; Run starts it.
func NewRouter(s RouterSettings, logger *logrus.Logger) (*Router, error) {
	n, err := newNode(s.Common, hostlist.KindRouter, s.Relay.RememberedChats, logger)
	if err != nil {
		return nil, err
	}
	r := &Router{node: n, settings: s}
	r.services = serviceclient.New(s.Callers.MaxResponseBytes, n.registry)
	guard := newCrashGuard(s.Containment, n.cluster)
	r.owner = owner.New(owner.Options{
		Self: s.Name, Settings: s.Owner, Config: n.config.Snapshot, View: n.cluster.View,
		ReportConn: n.cluster.ReportUpstream,
		Engines:    engineclient.New(s.Owner.FirstTokenTimeout.Std(), s.Owner.StallTimeout.Std()),
		Services:   r.services, Guard: guard, Metrics: owner.NewMetrics(n.registry), Logger: logger,
	})
	n.loadSource = r.owner.PoolLoads
	n.crashes = guard
	r.claims = claims.New(claims.Options{
		Store: n.store, Self: s.Name, Settings: s.Claims, Registry: n.registry, Logger: logger,
	})
	r.initCallerServer()
	return r, nil
}

func (r *Router) initCallerServer() {
	n := r.node
	transport := forward.NewTransport(r.settings.Name, r.owner, n.pool, n.cluster)
	holder := &actions.Holder{
		Claims: r.claims, Planner: n.planner, View: n.cluster.View, Services: r.services,
		ReportConn: n.cluster.ReportUpstream, Timeout: r.settings.Owner.ServiceTimeout.Std(),
	}
	calls := relay.New(relay.Options{
		Planner: n.planner, View: n.cluster.View, Transport: transport,
		Retrier: newRetrier(r.settings.Retry, rand.Uint64()), Metrics: relay.NewMetrics(n.registry),
		CrashRetryDelay: r.settings.Containment.SpreadTime.Std(), Settings: r.settings.Relay,
	})
	r.callers = router.NewServer(router.Options{
		Settings: r.settings.Callers, Config: n.config.Snapshot,
		Relay:    calls,
		Actions:  actions.NewRunner(r.settings.Name, n.cluster.View, r.claims.SlotOf, transport, holder),
		MoveTo:   r.moveTo,
		Registry: n.registry,
	})
	r.handler = &forward.Handler{Owner: r.owner, Config: n.config, Actions: holder, OnPeerRevision: n.onPeerRevision}
}

// Run serves until the context is done and then shuts down gracefully: it
// announces that it is leaving, continues to serve while callers may still use its
// address, and waits for the requests in flight.
func (r *Router) Run(ctx context.Context) error {
	listeners, err := listenAll(r.settings.Listen)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	r.start(running, group)
	group.Go(func() error { return r.owner.Run(running) })
	group.Go(func() error { return r.services.Run(running) })
	group.Go(func() error { return peer.NewServer(listeners.peers, r.handler).Run(running) })
	group.Go(func() error { return serveHTTP(running, listeners.admin, r.adminHandler(r.status, r.ready)) })
	callers := router.NewHTTPServer(r.callers)
	group.Go(func() error { return serving.UntilClosed(callers.Server, listeners.callers) })
	r.logger.WithField("address", r.settings.Listen.Callers).Info("router started")
	select {
	case <-ctx.Done():
		r.leave(callers)
	case <-running.Done():
		// The context is done, so that the requests in flight are ended at once.
		r.stopCallers(running, callers)
	}
	stop()
	return group.Wait()
}

func (r *Router) leave(callers *router.HTTPServer) {
	r.logger.Info("router leaving")
	r.leaving.Store(true)
	r.cluster.Leave()
	time.Sleep(r.settings.AddressValidity.Std())
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.StopTimeout.Std())
	defer cancel()
	r.stopCallers(ctx, callers)
	r.owner.WaitIdle(ctx)
	if err := r.claims.Shutdown(ctx); err != nil {
		r.logger.WithError(err).Warn("claims were shut down before all outcomes were written")
	}
}

// stopCallers waits for callers' requests in flight until ctx ends, and then ends them.
func (r *Router) stopCallers(ctx context.Context, callers *router.HTTPServer) {
	err := callers.Stop(ctx, func() {
		r.logger.WithField("requests", r.callers.InFlight()).Warn("requests in flight are ended at the stop timeout: raise stop_timeout")
	})
	if err != nil {
		r.logger.WithError(err).Warn("connections of callers were closed before their requests were over")
	}
}

// moveTo returns another router's address while this one is leaving, and an empty
// string otherwise.
func (r *Router) moveTo() string {
	if !r.leaving.Load() {
		return ""
	}
	for _, other := range r.cluster.View().Routers {
		if other.Name != r.settings.Name && !other.Leaving {
			return other.Address
		}
	}
	return ""
}

func (r *Router) ready() bool {
	return r.config.Snapshot() != nil && r.cluster.View().HostListLoaded
}

func (r *Router) status() any {
	page := r.commonStatus()
	page.Leaving = r.leaving.Load()
	page.Loads = r.owner.UpstreamLoads()
	return page
}
