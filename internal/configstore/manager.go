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

// Intervals of a Manager.
const (
	// DefaultWatcherPollInterval is how often a watcher reads the manifest besides its
	// watch, which may have gone silent.
	DefaultWatcherPollInterval = 5 * time.Second
	// DefaultNonWatcherPollInterval is how often the others read the manifest, in case that
	// no watcher is left.
	DefaultNonWatcherPollInterval = 10 * time.Second

	// wholeCopiesPerSecond and wholeCopyBurst bound the whole copies that a
	// process serves to peers; a peer that gets none asks another.
	wholeCopiesPerSecond = 1
	wholeCopyBurst       = 4

	tickInterval = 100 * time.Millisecond
	// roleCheck is how often a process that doesn't watch looks whether it is to.
	roleCheck      = 100 * time.Millisecond
	inboxSize      = 64
	minWatchPause  = 200 * time.Millisecond
	maxWatchPause  = 5 * time.Second
	storeCallLimit = 5 * time.Second
)

// Options configure a Manager.
type Options struct {
	// Store is the key-value service; nil means that only peers are asked.
	Store kv.Store
	// PeerFetch asks a peer for the changes after a revision, zero for a whole
	// copy; nil means that only the service is asked.
	PeerFetch func(ctx context.Context, peerAddress string, have uint64) (*peerpb.ConfigResponse, error)
	// IsWatcher reports whether this process watches the service now; nil means
	// always. See rollout.IsWatcher.
	IsWatcher func() bool
	// Rollout bounds the decisions; the zero value means the defaults.
	Rollout rollout.Settings
	// WatcherPollInterval and NonWatcherPollInterval default, when zero, to the constants above.
	WatcherPollInterval, NonWatcherPollInterval time.Duration
	// Registry receives the counters; nil means a new registry.
	Registry metrics.Registry
	// Logger gets a line for each revision in force; nil means logrus's standard.
	Logger logrus.FieldLogger
	// Seed decides jitter; zero means a random one.
	Seed uint64
}

// Manager keeps a process at the newest revision. Run owns its state; the other
// methods may be called from any goroutine.
type Manager struct {
	options  Options
	counters counters
	reader   *Reader
	machine  *rollout.Machine
	inbox    chan message
	current  atomic.Pointer[view]
	// whole limits the whole copies that are served.
	whole   *rate.Limiter
	fetches sync.WaitGroup
}

// message is an event with the content that it brings.
type message struct {
	event   rollout.Event
	records []Record
	whole   *FullCopy
}

// counters are in bytes where the name says so.
type counters struct {
	storeBytes, peerBytes, servedBytes    metrics.Counter
	storeFetches, peerFetches, failures   metrics.Counter
	watchEvents, watchRestarts, silent    metrics.Counter
	applied, announcements, announcedDrop metrics.Counter
	revision                              metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("config."+name, r) }
	return counters{
		storeBytes: counter("fetched_from_store.bytes"), peerBytes: counter("fetched_from_peers.bytes"),
		servedBytes: counter("served_to_peers.bytes"), storeFetches: counter("fetches_from_store.calls"),
		peerFetches: counter("fetches_from_peers.calls"), failures: counter("failed_fetches.calls"),
		watchEvents: counter("watch.events"), watchRestarts: counter("watch_restarts.events"),
		silent: counter("silent_watches.events"), applied: counter("applied.revisions"),
		announcements: counter("peer_announcements.messages"), announcedDrop: counter("dropped_announcements.messages"),
		revision: metrics.GetOrRegisterGauge("config.revision.number", r),
	}
}

// New returns a Manager without a configuration; Run starts it.
func New(options Options) *Manager {
	options = options.withDefaults()
	m := &Manager{
		options: options, counters: newCounters(options.Registry), inbox: make(chan message, inboxSize),
		whole: rate.NewLimiter(wholeCopiesPerSecond, wholeCopyBurst),
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
		// There are no peers to wait for.
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

// Snapshot returns the revision in force, or nil before there is any.
func (m *Manager) Snapshot() *fleet.Snapshot {
	if v := m.current.Load(); v != nil {
		return v.snapshot
	}
	return nil
}

// Revision returns the number of the revision in force, zero before there is
// any.
func (m *Manager) Revision() uint64 {
	if v := m.current.Load(); v != nil {
		return v.snapshot.Revision
	}
	return 0
}

// Declarations returns what is in force, or nil before there is any.
func (m *Manager) Declarations() *declare.Declarations {
	if v := m.current.Load(); v != nil {
		return v.declarations
	}
	return nil
}

// Drained returns the upstreams that operators drain.
func (m *Manager) Drained() declare.DrainSet {
	if v := m.current.Load(); v != nil {
		return v.drains
	}
	return declare.DrainSet{}
}

// PeerAnnounced notes that a peer has a revision. It doesn't block: when the
// inbox is full the announcement is dropped, as peers repeat theirs.
func (m *Manager) PeerAnnounced(peerAddress string, revision uint64) {
	if revision <= m.Revision() || peerAddress == "" {
		return
	}
	m.counters.announcements.Inc(1)
	select {
	case m.inbox <- message{event: rollout.Announced{Source: rollout.Source{Peer: peerAddress}, Revision: revision}}:
	default:
		m.counters.announcedDrop.Inc(1)
	}
}

// ServePeer answers a peer from the revision in force.
func (m *Manager) ServePeer(request *peerpb.ConfigRequest) *peerpb.ConfigResponse {
	v := m.current.Load()
	if v == nil {
		return &peerpb.ConfigResponse{}
	}
	response, err := v.answer(request.GetHaveRevision(), m.whole.Allow)
	if err != nil {
		m.options.Logger.WithError(err).Error("configuration can't be served to a peer")
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

// Run keeps the configuration current until the context ends. It returns nil
// then.
func (m *Manager) Run(ctx context.Context) error {
	m.machine = rollout.New(m.options.Rollout, m.options.Seed, time.Now())
	var watching sync.WaitGroup
	if m.reader != nil {
		watching.Go(func() { m.follow(ctx) })
	}
	defer watching.Wait()
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

// post hands a message to Run.
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
			m.publish(newView(msg.whole.Revision, msg.whole.Declarations, nil))
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
	next, err := m.current.Load().with(due)
	if err != nil {
		m.options.Logger.WithError(err).Error("configuration changes can't be applied")
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
