package origins

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// Contents are the routers' records of versions and streams as the store has them.
type Contents struct {
	Served *peerpb.ServedVersions
	// Era is that of the store when it was read.
	Era     int64
	Streams []*peerpb.StreamOrigins
	// At is when the store was asked.
	At time.Time
}

// Reader reads the records from the store, as they are at a time after the call.
type Reader interface {
	ReadOrigins(ctx context.Context) (Contents, error)
}

// State is what the control state of a router knows of the versions.
type State struct {
	// Served are the recorded versions by service, Usable those at which streams may begin.
	Served, Usable ServiceVersions
	// Complete is set if no version is missing there.
	Complete bool
	// Several are the services of which more than one version may have begun streams.
	Several map[string]bool
	// Current is set if the router hears most of the others, and none that has a later copy
	// of the store's records.
	Current bool
	// At is when that was found.
	At time.Time
	// Window is how long streams are kept.
	Window time.Duration
	// RecordInterval is the time between two writes of this router's record.
	RecordInterval time.Duration
}

const (
	// maxStateAge is the age up to which a state counts without the store.
	maxStateAge = time.Second
	// readTimeout bounds a read of the records, readSpacing is the least time between the
	// beginnings of two.
	readTimeout = 700 * time.Millisecond
	readSpacing = 25 * time.Millisecond
	// failurePeriod is how long after a failed read the store counts as unreachable.
	failurePeriod = time.Second
	// writeTime is how long the write of a record may take: a stream whose record is not
	// there is looked up once more after RecordInterval and this time.
	writeTime = 100 * time.Millisecond
	// lifetimeMargin is how long a stream is known beyond the time that its caller waits.
	lifetimeMargin = 2 * time.Second
	// maxStreams bounds the streams that are known: more than hundreds of routers begin
	// within the window. Those of other routers are left out beyond it.
	maxStreams = 1 << 17
)

// streamEntry is what is known of one stream.
type streamEntry struct {
	service string
	origin  Origin
	expires time.Time
	// own is set if this router has begun the stream or gone on with it.
	own bool
	// sent is set once the stream has been in the present record as it was sent to the store,
	// exposed once it has been in any: the store may have it.
	sent, exposed bool
	// withheld is set if the version was changed after that: the stream is in no record.
	withheld bool
}

// Tracker knows at which versions streams have begun. It is safe for concurrent use.
type Tracker struct {
	reader  *sharedReader
	now     func() time.Time
	wait    func(ctx context.Context, d time.Duration) error
	metrics *trackerMetrics

	mu      sync.Mutex
	state   State
	streams map[Stream]*streamEntry
	// changes counts the changes of own streams, sent and written those that were in a
	// record when it was sent, and when the store had it.
	changes, sent, written uint64
	// withholds is set while a stream may have to be taken out of the record.
	withholds bool
	// onWrite is closed and replaced at each written record.
	onWrite chan struct{}
	// due has a value while a record has to be written.
	due chan struct{}
}

// trackerMetrics are the counters of a Tracker.
type trackerMetrics struct {
	registry metrics.Registry
	known    metrics.Gauge
	reads    metrics.Counter
	failures metrics.Counter
}

// found returns the counter of the origins that were looked up, by their source.
func (m *trackerMetrics) found(source Source) metrics.Counter {
	return metrics.GetOrRegisterCounter("origins.found."+strings.ReplaceAll(string(source), " ", "_"), m.registry)
}

// NewTracker returns a Tracker without streams. The reader may be nil: then nothing is known
// of the streams of other routers.
func NewTracker(reader Reader, now func() time.Time, registry metrics.Registry) *Tracker {
	m := &trackerMetrics{
		registry: registry,
		known:    metrics.GetOrRegisterGauge("origins.streams", registry),
		reads:    metrics.GetOrRegisterCounter("origins.reads", registry),
		failures: metrics.GetOrRegisterCounter("origins.read_failures", registry),
	}
	t := &Tracker{
		now: now, wait: pause.For, metrics: m, state: State{Window: MinWindow}, streams: make(map[Stream]*streamEntry),
		onWrite: make(chan struct{}), due: make(chan struct{}, 1),
	}
	if reader != nil {
		t.reader = newSharedReader(reader, now, m)
	}
	return t
}

// Now returns the time on the clock of Origin.At.
func (t *Tracker) Now() time.Time { return t.now() }

// Age returns the time since when an origin is known.
func (t *Tracker) Age(o Origin) time.Duration { return t.now().Sub(o.At) }

// SetState replaces the state of the control goroutine.
func (t *Tracker) SetState(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
	for stream, e := range t.streams {
		if !t.now().Before(e.expires) {
			delete(t.streams, stream)
		}
	}
	t.metrics.known.Update(int64(len(t.streams)))
	if t.unrecorded() {
		t.signalDue()
	}
}

// Usable returns the versions of a service at which streams may begin.
func (t *Tracker) Usable(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Usable[service]
}

// Begin records that a call is sent to an instance of a version to begin a stream, or to go
// on with one that the version has begun. The lifetime is how long the caller waits. It
// returns false, and records nothing, if the call was sent to another version before and the
// store may have that on record: Change has to be called then.
func (t *Tracker) Begin(s Stream, service, version string, lifetime time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.streams[s]
	if known && e.origin.Version != version && (e.exposed || !e.own) {
		return false
	}
	if known && e.own && e.origin.Version == version {
		return true
	}
	t.set(s, service, version, lifetime)
	return true
}

// set records an own stream. The caller holds the lock.
func (t *Tracker) set(s Stream, service, version string, lifetime time.Duration) {
	now := t.now()
	t.streams[s] = &streamEntry{
		service: service, origin: Origin{Version: version, Source: Own, At: now}, own: true,
		expires: now.Add(min(lifetime+lifetimeMargin, t.state.Window)),
	}
	t.changes++
	if t.unrecorded() {
		t.signalDue()
	}
}

// Change records that a call that was sent to one version, and has brought no event, is sent
// to another one. It returns false if the store could not be told in time to forget the
// first: other routers would go on with the stream there.
func (t *Tracker) Change(ctx context.Context, s Stream, service, version string, lifetime time.Duration) bool {
	t.mu.Lock()
	t.set(s, service, version, lifetime)
	t.streams[s].withheld, t.withholds = true, true
	change := t.changes
	t.signalDue()
	t.mu.Unlock()
	for {
		t.mu.Lock()
		written, onWrite := t.written, t.onWrite
		t.mu.Unlock()
		if written >= change {
			return true
		}
		select {
		case <-onWrite:
		case <-ctx.Done():
			return false
		}
	}
}

// Find returns what is known of the beginning of a stream. It asks the store unless this
// router knows the stream itself.
func (t *Tracker) Find(ctx context.Context, s Stream, service string) Origin {
	origin := t.find(ctx, s, service)
	t.metrics.found(origin.Source).Inc(1)
	return origin
}

func (t *Tracker) find(ctx context.Context, s Stream, service string) Origin {
	if origin, ok := t.lookUp(s); ok || t.reader == nil {
		if !ok {
			return t.onlyVersionCopied(service)
		}
		return origin
	}
	for again := false; ; again = true {
		contents, err := t.reader.read(ctx)
		if err != nil {
			return t.onlyVersionCopied(service)
		}
		t.learn(contents)
		origin, ok := t.lookUp(s)
		if ok {
			return origin
		}
		if origin = onlyVersion(contents, service); origin.Source != Unrecorded || again {
			return origin
		}
		// The router that began the stream may be about to write its record.
		if t.wait(ctx, t.recordInterval()+writeTime) != nil {
			return origin
		}
	}
}

func (t *Tracker) recordInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.RecordInterval
}

// lookUp returns what this router knows of a stream.
func (t *Tracker) lookUp(s Stream) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.streams[s]
	if !ok || !t.now().Before(e.expires) {
		return Origin{}, false
	}
	return e.origin, true
}

// onlyVersion returns the only version of a service that the store has on record, or why no
// version is known.
func onlyVersion(c Contents, service string) Origin {
	versions := decodeServed(c.Served)[service]
	switch {
	case !complete(c.Served, c.Era):
		return Origin{Source: Unconfirmed, At: c.At}
	case len(versions) != 1:
		return Origin{Source: Unrecorded, At: c.At}
	default:
		return Origin{Version: versions[0], Source: OnlyVersion, At: c.At}
	}
}

// onlyVersionCopied returns the only version of a service that is on record in this router's
// copy, which counts while the store can't be read: a version that it lacks would have been
// recorded, and spread to the other routers, before a stream could begin at it.
func (t *Tracker) onlyVersionCopied(service string) Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := t.state.Served[service]
	if !t.state.Current || !t.state.Complete || len(versions) != 1 || t.now().Sub(t.state.At) > maxStateAge {
		return Origin{Source: Unreachable, At: t.state.At}
	}
	return Origin{Version: versions[0], Source: OnlyVersionCopied, At: t.state.At}
}

// learn adds the streams of other routers' records.
func (t *Tracker) learn(c Contents) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range c.Streams {
		t.learnRecord(record, Origin{Source: Recorded, At: c.At})
	}
}

// LearnFromPeer adds the streams that another router has begun and could not record.
func (t *Tracker) LearnFromPeer(record *peerpb.StreamOrigins) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learnRecord(record, Origin{Source: Peer, At: t.now()})
}

// learnRecord adds the streams of a record, with the source and time of an origin. The caller
// holds the lock.
func (t *Tracker) learnRecord(record *peerpb.StreamOrigins, origin Origin) {
	for _, group := range record.GetStreams() {
		origin.Version = group.GetVersion()
		for _, s := range group.GetStreams() {
			t.learnStream(Stream(s), group.GetService(), origin)
		}
	}
}

// learnStream adds a stream that another router has begun. One that is known at two versions
// is of none. The caller holds the lock.
func (t *Tracker) learnStream(s Stream, service string, origin Origin) {
	e, known := t.streams[s]
	switch {
	case !known && len(t.streams) < maxStreams:
		t.streams[s] = &streamEntry{service: service, origin: origin, expires: origin.At.Add(t.state.Window)}
	case known && !e.own && e.origin.Version != origin.Version:
		e.origin = Origin{Source: Differing, At: origin.At}
	}
}

// Due has a value while this router's record has to be written.
func (t *Tracker) Due() <-chan struct{} { return t.due }

// signalDue makes Due have a value. The caller holds the lock.
func (t *Tracker) signalDue() {
	select {
	case t.due <- struct{}{}:
	default:
	}
}

// unrecorded reports whether there are own streams that the store doesn't have and that may
// be of one of several versions. The caller holds the lock.
func (t *Tracker) unrecorded() bool {
	if t.changes == t.sent || t.state.Complete && len(t.state.Several) == 0 && !t.withholds {
		return false
	}
	for _, e := range t.streams {
		if e.own && !e.sent && (e.withheld || t.records(e)) {
			return true
		}
	}
	return false
}

// records reports whether an own stream has to be in the record. The caller holds the lock.
func (t *Tracker) records(e *streamEntry) bool {
	return !t.state.Complete || t.state.Several[e.service]
}

// Record returns the record of this router's streams to write, and its number.
func (t *Tracker) Record() (*peerpb.StreamOrigins, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type group struct{ service, version string }
	groups := make(map[group]*peerpb.VersionStreams)
	for s, e := range t.streams {
		if !e.own || !t.now().Before(e.expires) {
			continue
		}
		if e.withheld {
			e.sent = true
			continue
		}
		if !t.records(e) {
			continue
		}
		e.sent, e.exposed = true, true
		key := group{e.service, e.origin.Version}
		if groups[key] == nil {
			groups[key] = &peerpb.VersionStreams{Service: e.service, Version: e.origin.Version}
		}
		groups[key].Streams = append(groups[key].Streams, uint64(s))
	}
	t.sent, t.withholds = t.changes, false
	return &peerpb.StreamOrigins{Streams: slices.Collect(maps.Values(groups))}, t.sent
}

// Written records that the store has the record with a number.
func (t *Tracker) Written(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.written = max(t.written, number)
	close(t.onWrite)
	t.onWrite = make(chan struct{})
}

// Rewrite makes the whole record due again: the store may lack what was written, after a
// failed write or a restore from an older copy.
func (t *Tracker) Rewrite() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes++
	for _, e := range t.streams {
		if e.own {
			e.sent, t.withholds = false, t.withholds || e.withheld
		}
	}
	if t.unrecorded() {
		t.signalDue()
	}
}
