package configstore

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/rollout"
)

// Intervals and limits of a Manager.
const (
	// DefaultWatcherPollInterval is how often a watcher reads the manifest in addition
	// to its watch, to detect a watch that no longer delivers events.
	DefaultWatcherPollInterval = 5 * time.Second
	// DefaultNonWatcherPollInterval is how often other processes read the manifest, in
	// case there is no watcher left to announce new revisions.
	DefaultNonWatcherPollInterval = 10 * time.Second

	// fullCopiesPerSecond and fullCopyBurst limit the rate of full copies that a
	// process serves to peers; a peer that is refused one fetches from another source.
	fullCopiesPerSecond = 1
	fullCopyBurst       = 4

	tickInterval = 100 * time.Millisecond
	// roleCheckInterval is how often a process that isn't a watcher checks whether it
	// has become one.
	roleCheckInterval = 100 * time.Millisecond
	inboxSize         = 64
	minWatchBackoff   = 200 * time.Millisecond
	maxWatchBackoff   = 5 * time.Second
	storeCallTimeout  = 5 * time.Second
)

// Options configures a Manager.
type Options struct {
	// Store is the key-value service; nil means that only peers are used.
	Store kv.Store
	// PeerFetch requests the changes after a revision from a peer, or a full copy if
	// the revision is zero; nil means that only the key-value service is used.
	PeerFetch func(ctx context.Context, peerAddress string, have uint64) (*peerpb.ConfigResponse, error)
	// IsWatcher reports whether this process currently has to watch the key-value
	// service; nil means always. See rollout.IsWatcher.
	IsWatcher func() bool
	// Rollout configures the state machine; the zero value means
	// rollout.DefaultSettings.
	Rollout rollout.Settings
	// WatcherPollInterval and NonWatcherPollInterval default to the constants above if
	// zero.
	WatcherPollInterval, NonWatcherPollInterval time.Duration
	// Registry receives the counters; nil means a new registry.
	Registry metrics.Registry
	// Logger receives a message for each revision that is applied; nil means
	// logrus.StandardLogger.
	Logger logrus.FieldLogger
	// Seed is the seed of the rollout state machine's random choices; zero means a
	// random one.
	Seed uint64
}

// Manager keeps a process up to date with the newest revision. The goroutine of Run
// owns its state; the other methods are safe for concurrent use.
type Manager struct {
	options  Options
	counters counters
	reader   *Reader
	machine  *rollout.Machine
	inbox    chan message
	current  atomic.Pointer[view]
	// fullCopyLimiter limits the rate of full copies served to peers.
	fullCopyLimiter *rate.Limiter
	fetches         sync.WaitGroup
}

// message is an event with the records or the full copy that belong to it.
type message struct {
	event   rollout.Event
	records []Record
	full    *FullCopy
}

// counters are the metrics of a Manager. Those named ...Bytes count bytes, the others
// events.
type counters struct {
	storeBytes, peerBytes, servedBytes           metrics.Counter
	storeFetches, peerFetches, failedFetches     metrics.Counter
	watchEvents, watchRestarts, silentWatches    metrics.Counter
	applied, announcements, droppedAnnouncements metrics.Counter
	revision                                     metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("config."+name, r) }
	return counters{
		storeBytes: counter("fetched_from_store.bytes"), peerBytes: counter("fetched_from_peers.bytes"),
		servedBytes: counter("served_to_peers.bytes"), storeFetches: counter("fetches_from_store.calls"),
		peerFetches: counter("fetches_from_peers.calls"), failedFetches: counter("failed_fetches.calls"),
		watchEvents: counter("watch.events"), watchRestarts: counter("watch_restarts.events"),
		silentWatches: counter("silent_watches.events"), applied: counter("applied.revisions"),
		announcements: counter("peer_announcements.messages"), droppedAnnouncements: counter("dropped_announcements.messages"),
		revision: metrics.GetOrRegisterGauge("config.revision.number", r),
	}
}

// New returns a Manager without a configuration. Run starts it.
func New(options Options) *Manager {
	options = options.withDefaults()
	m := &Manager{
		options: options, counters: newCounters(options.Registry), inbox: make(chan message, inboxSize),
		fullCopyLimiter: rate.NewLimiter(fullCopiesPerSecond, fullCopyBurst),
	}
	if options.Store != nil {
		m.reader = &Reader{store: options.Store, bytes: m.counters.storeBytes}
	}
	return m
}

func (o Options) withDefaults() Options {
	if o.IsWatcher == nil {
		o.IsWatcher = func() bool { return true }
	}
	if o.Rollout == (rollout.Settings{}) {
		o.Rollout = rollout.DefaultSettings()
	}
	if o.PeerFetch == nil {
		// There are no peers to wait for at start.
		o.Rollout.StartGrace = 0
	}
	o.WatcherPollInterval = cmp.Or(o.WatcherPollInterval, DefaultWatcherPollInterval)
	o.NonWatcherPollInterval = cmp.Or(o.NonWatcherPollInterval, DefaultNonWatcherPollInterval)
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

// Snapshot returns the compiled declarations in force, or nil if no revision has been
// applied yet.
func (m *Manager) Snapshot() *fleet.Snapshot {
	if v := m.current.Load(); v != nil {
		return v.snapshot
	}
	return nil
}

// Revision returns the number of the revision in force, or zero if none has been
// applied yet.
func (m *Manager) Revision() uint64 {
	if v := m.current.Load(); v != nil {
		return v.snapshot.Revision
	}
	return 0
}

// Declarations returns the declarations in force, or nil if no revision has been
// applied yet.
func (m *Manager) Declarations() *declare.Declarations {
	if v := m.current.Load(); v != nil {
		return v.declarations
	}
	return nil
}

// Drained returns the upstreams that operators have set to drain.
func (m *Manager) Drained() declare.DrainSet {
	if v := m.current.Load(); v != nil {
		return v.drains
	}
	return declare.DrainSet{}
}

// PeerAnnounced records that a peer has a revision. It doesn't block: if the inbox is
// full, the announcement is dropped, because peers repeat their announcements.
func (m *Manager) PeerAnnounced(peerAddress string, revision uint64) {
	if revision <= m.Revision() || peerAddress == "" {
		return
	}
	m.counters.announcements.Inc(1)
	select {
	case m.inbox <- message{event: rollout.Announced{Source: rollout.Source{Peer: peerAddress}, Revision: revision}}:
	default:
		m.counters.droppedAnnouncements.Inc(1)
	}
}

// ServePeer responds to a peer's request with the configuration in force.
func (m *Manager) ServePeer(request *peerpb.ConfigRequest) *peerpb.ConfigResponse {
	v := m.current.Load()
	if v == nil {
		return &peerpb.ConfigResponse{}
	}
	response, err := v.response(request.GetHaveRevision(), m.fullCopyLimiter.Allow)
	if err != nil {
		m.options.Logger.WithError(err).Error("failed to serve the configuration to a peer")
		return &peerpb.ConfigResponse{}
	}
	m.counters.servedBytes.Inc(responseBytes(response))
	return response
}

func responseBytes(r *peerpb.ConfigResponse) int64 {
	size := len(r.GetFull())
	for _, change := range r.GetChanges() {
		size += len(change)
	}
	return int64(size)
}

// Run keeps the configuration up to date until the context ends, and then returns
// nil.
func (m *Manager) Run(ctx context.Context) error {
	m.machine = rollout.New(m.options.Rollout, m.options.Seed, time.Now())
	var following sync.WaitGroup
	if m.reader != nil {
		following.Go(func() { m.follow(ctx) })
	}
	defer following.Wait()
	defer m.fetches.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case msg := <-m.inbox:
			m.handle(ctx, msg)
		case <-ticker.C:
			m.handle(ctx, message{event: rollout.Tick{}})
		case <-ctx.Done():
			return nil
		}
	}
}

// post sends a message to Run, or drops it if the context ends first.
func (m *Manager) post(ctx context.Context, msg message) {
	select {
	case m.inbox <- msg:
	case <-ctx.Done():
	}
}

func (m *Manager) handle(ctx context.Context, msg message) {
	for _, effect := range m.machine.Step(time.Now(), msg.event) {
		switch effect := effect.(type) {
		case rollout.Fetch:
			m.fetches.Go(func() { m.fetch(ctx, effect) })
		case rollout.ApplyChanges:
			m.applyChanges(effect, msg.records)
		case rollout.ApplyFull:
			m.publish(newView(msg.full.Revision, msg.full.Declarations, nil))
		}
	}
}

func (m *Manager) applyChanges(effect rollout.ApplyChanges, records []Record) {
	var due []Record
	for _, record := range records {
		if record.Revision == effect.First+uint64(len(due)) && record.Revision <= effect.Last {
			due = append(due, record)
		}
	}
	next, err := m.current.Load().withRecords(due)
	if err != nil {
		m.options.Logger.WithError(err).Error("failed to apply configuration changes")
		return
	}
	m.publish(next)
}

func (m *Manager) publish(next *view) {
	before := m.Revision()
	m.current.Store(next)
	m.counters.applied.Inc(1)
	m.counters.revision.Update(int64(next.snapshot.Revision))
	m.options.Logger.WithFields(logrus.Fields{
		"revision": next.snapshot.Revision, "before": before,
	}).Info("configuration in force")
}
