package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/kv/etcdjson"
	"github.com/verbenatrail/verbenatrail/internal/peer"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/relay"
	"github.com/verbenatrail/verbenatrail/internal/rollout"
	"github.com/verbenatrail/verbenatrail/internal/serving"
	"github.com/verbenatrail/verbenatrail/internal/status"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

const (
	// poolSweepInterval is how often idle peer sessions are closed.
	poolSweepInterval = 30 * time.Second
	// configFetchTimeout is the maximum wait for a peer's configuration.
	configFetchTimeout = 5 * time.Second
	// configStartGrace is how long a starting process waits for a peer's
	// configuration before it reads the key-value service. When the whole fleet
	// starts at once, this lets the watchers read first.
	configStartGrace = 5 * time.Second
	// shutdownTimeout is the maximum time to shut down the trace exporter. It is also
	// the time within which a request's headers must arrive at serveHTTP's servers.
	shutdownTimeout = 3 * time.Second
)

// node is the common part of routers and directories: the view of the fleet, the
// configuration, the sessions to peers and the admin handler.
type node struct {
	common   Common
	logger   *logrus.Logger
	registry metrics.Registry
	store    kv.Store
	cluster  *cluster.Manager
	config   *configstore.Manager
	pool     *peer.Pool
	planner  *relay.Planner
	// loadSource and crashes are replaced by a router before it runs. The default
	// reports no load, and nil crashes ignore strikes.
	loadSource func() map[uint32]int
	crashes    *crashGuard
}

func newNode(common Common, kind hostlist.Kind, rememberedChats int, logger *logrus.Logger) (*node, error) {
	strategy, err := placement.ByName(common.Strategy)
	if err != nil {
		return nil, errors.Wrap(err, "placement")
	}
	store, err := etcdjson.New(etcdjson.Options{Endpoints: common.Platform.KeyValue})
	if err != nil {
		return nil, errors.Wrap(err, "platform.key_value")
	}
	n := &node{
		common: common, logger: logger, registry: telemetry.NewRegistry(), store: store, pool: peer.NewPool(),
		loadSource: func() map[uint32]int { return nil },
	}
	if n.cluster, err = n.newCluster(kind); err != nil {
		return nil, err
	}
	n.config = n.newConfig()
	n.planner = relay.NewPlanner(n.config.Snapshot, n.cluster.View, n.drained, strategy, rememberedChats)
	return n, nil
}

func (n *node) newCluster(kind hostlist.Kind) (*cluster.Manager, error) {
	return cluster.New(cluster.Options{
		Self:           n.common.host(kind),
		HostListURL:    n.common.Platform.HostList,
		Settings:       n.common.Cluster,
		LoadSource:     func() map[uint32]int { return n.loadSource() },
		OnStrike:       func(strike *peerpb.Strike) { n.crashes.merge(strike) },
		OnTrial:        func(trial *peerpb.Trial) { n.crashes.mergeTrial(trial) },
		BlamedStrikes:  func() []*peerpb.Strike { return n.crashes.blamedStrikes() },
		OnPeerRevision: func(address string, revision uint64) { n.config.PeerAnnounced(address, revision) },
		Registry:       n.registry,
		Logger:         n.logger,
	})
}

func (n *node) newConfig() *configstore.Manager {
	rolloutSettings := rollout.DefaultSettings()
	rolloutSettings.StartGrace = configStartGrace
	return configstore.New(configstore.Options{
		Rollout: rolloutSettings,
		Store:   n.store, PeerFetch: n.fetchConfig, IsWatcher: n.isWatcher,
		Registry: n.registry, Logger: n.logger,
	})
}

func (n *node) drained(upstream string) bool { return n.config.Drained().Has(upstream) }

// isWatcher reports whether this process is one of the watchers of the key-value
// service in its failure domain. It returns false until the host list is loaded;
// otherwise, all processes of a cold start would be watchers.
func (n *node) isWatcher() bool {
	view := n.cluster.View()
	if !view.HostListLoaded {
		return false
	}
	members := make([]rollout.Member, 0, len(view.Routers))
	for _, router := range view.Routers {
		members = append(members, rollout.Member{Name: router.Name, FailureDomain: router.FailureDomain})
	}
	self := rollout.Member{Name: n.common.Name, FailureDomain: n.common.FailureDomain}
	return rollout.IsWatcher(self, members, n.common.ConfigWatchers)
}

// fetchConfig requests the changes after a revision from a peer.
func (n *node) fetchConfig(ctx context.Context, address string, have uint64) (*peerpb.ConfigResponse, error) {
	request := &peerpb.ConfigRequest{HaveRevision: have}
	header := &peerpb.StreamHeader{Request: &peerpb.StreamHeader_Config{Config: request}}
	stream, err := n.pool.Open(ctx, address, header)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	response := &peerpb.ConfigResponse{}
	if err := stream.Receive(response, configFetchTimeout); err != nil {
		n.pool.Discard(address)
		return nil, err
	}
	return response, nil
}

// start starts the goroutines that routers and directories share.
func (n *node) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return n.cluster.Run(ctx) })
	group.Go(func() error { return n.config.Run(ctx) })
	group.Go(func() error { return n.announceRevision(ctx) })
	group.Go(func() error { return n.sweepPool(ctx) })
}

// revisionPollInterval is how often announceRevision reads the revision in force.
const revisionPollInterval = 50 * time.Millisecond

// announceRevision publishes the local revision in force to peers.
func (n *node) announceRevision(ctx context.Context) error {
	ticker := time.NewTicker(revisionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.cluster.SetConfigRevision(n.config.Revision())
		}
	}
}

// onPeerRevision tells the configuration manager which revision a router used to
// place a request, if it is newer than the local one.
func (n *node) onPeerRevision(router string, revision uint64) {
	if revision <= n.config.Revision() {
		return
	}
	if sender, ok := n.cluster.View().Router(router); ok {
		n.config.PeerAnnounced(sender.PeerAddress, revision)
	}
}

func (n *node) sweepPool(ctx context.Context) error {
	ticker := time.NewTicker(poolSweepInterval)
	defer ticker.Stop()
	defer n.pool.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.pool.CloseIdle(now)
		}
	}
}

// serveHTTP serves until the context is done, and then closes the server without
// waiting for requests in flight.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	return serving.UntilDone(ctx, listener, handler, shutdownTimeout)
}

// adminHandler returns the handler for metrics, status and readiness.
func (n *node) adminHandler(page func() any, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+status.MetricsPath, telemetry.MetricsHandler(n.registry))
	mux.HandleFunc("GET "+status.Path, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, page()) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
