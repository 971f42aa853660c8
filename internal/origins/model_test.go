package origins

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	modelRuns    = 100
	modelSteps   = 400
	modelRouters = 4
	modelWindow  = 20 * time.Second
	// modelCopyLag is the number of steps that a router's copy may be behind the store, or
	// that of another router of which it hears.
	modelCopyLag = 3
	modelStep    = 100 * time.Millisecond
)

// modelStore is the store as the routers see it: the listing of engines, the record of
// versions, and the records of streams by router process.
type modelStore struct {
	era, revision int64
	away          bool
	served        *peerpb.ServedVersions
	listed        []string
	streams       map[string]*peerpb.StreamOrigins
}

func (s *modelStore) copy() modelStore {
	c := *s
	c.listed, c.streams = slices.Clone(s.listed), maps.Clone(s.streams)
	return c
}

// modelRouter is one router process.
type modelRouter struct {
	name     string
	model    *model
	tracker  *Tracker
	versions *Versions
	// seen is the store of a while ago, told the revisions that the router had in the last
	// steps, of which the other routers know the first.
	seen modelStore
	told []int64
	lag  int
}

// ReadOrigins implements Reader.
func (r *modelRouter) ReadOrigins(context.Context) (Contents, error) {
	s := &r.model.store
	if s.away {
		return Contents{}, errors.New("the store is away")
	}
	return Contents{Served: s.served, Era: s.era, Streams: slices.Collect(maps.Values(s.streams)), At: r.model.clock.now()}, nil
}

// modelStream is a stream in progress, or one that has broken.
type modelStream struct {
	id, version string
	begunAt     time.Time
}

// model runs a fleet of routers beside engines of versions that come and go.
type model struct {
	clock   *testClock
	random  *rand.Rand
	store   modelStore
	backups []modelStore
	// alive are the versions that have engines.
	alive   map[string]bool
	routers []*modelRouter
	streams []modelStream
	// history are the last states of the store while it was there, the latest last.
	history           []modelStore
	starts, begun     int
	wentOn, notKnown  int
	firstViolation    string
	violations, tries int
}

func newModel(seed uint64) *model {
	m := &model{
		clock: newTestClock(), random: rand.New(rand.NewPCG(seed, 1)), alive: map[string]bool{"v0": true},
		store: modelStore{listed: []string{"v0"}, streams: map[string]*peerpb.StreamOrigins{}},
	}
	for n := range modelRouters {
		m.routers = append(m.routers, m.start(n, true))
	}
	return m
}

func (m *model) start(n int, first bool) *modelRouter {
	m.starts++
	r := &modelRouter{name: fmt.Sprintf("%d/%d", n, m.starts), model: m, versions: NewVersions(first), lag: m.random.IntN(modelCopyLag)}
	r.tracker = newTestTracker(m.clock, r)
	return r
}

// run makes the steps of one run.
func (m *model) run() {
	for range modelSteps {
		m.clock.pass(modelStep)
		m.disturb()
		if !m.store.away {
			m.history = append(m.history, m.store.copy())
			m.history = m.history[max(0, len(m.history)-modelCopyLag-1):]
		}
		for _, r := range m.routers {
			r.step()
		}
		m.begin()
		m.takeUp()
	}
}

func (m *model) oneIn(n int) bool { return m.random.IntN(n) == 0 }

// disturb changes the engines, kills routers, and takes the store away or restores it.
func (m *model) disturb() {
	if m.oneIn(40) && !m.store.away {
		m.alive[fmt.Sprintf("v%d", m.random.IntN(4))] = true
	}
	if versions := slices.Sorted(maps.Keys(m.alive)); m.oneIn(40) && !m.store.away && len(versions) > 1 {
		delete(m.alive, versions[m.random.IntN(len(versions))])
	}
	if listed := slices.Sorted(maps.Keys(m.alive)); !m.store.away && !slices.Equal(listed, m.store.listed) {
		m.store.listed = listed
		m.store.revision++
	}
	switch {
	case m.oneIn(80):
		for n := range m.routers {
			m.routers[n] = m.start(n, false)
		}
	case m.oneIn(40):
		n := m.random.IntN(len(m.routers))
		m.routers[n] = m.start(n, false)
	}
	if m.oneIn(30) {
		m.backups = append(m.backups, m.store.copy())
	}
	switch {
	case m.store.away && m.oneIn(15):
		m.store.away = false
	case m.oneIn(100):
		m.store.away = true
	case m.oneIn(200) && len(m.backups) > 0:
		m.restore()
	}
}

// restore returns the store to one of the last copies. The engines write their entries again.
func (m *model) restore() {
	backup := m.backups[max(0, len(m.backups)-1-m.random.IntN(3))]
	era, revision := m.store.era+1, m.store.revision+1
	m.store = backup.copy()
	m.store.era, m.store.revision, m.store.away, m.store.listed = era, revision, false, slices.Sorted(maps.Keys(m.alive))
}

// look updates a router's copy: from the store, or from another router while the store is away.
func (r *modelRouter) look() {
	m := r.model
	switch {
	case !m.store.away && r.seen.listed == nil:
		r.seen = m.history[len(m.history)-1]
	case !m.store.away:
		if next := m.history[max(0, len(m.history)-1-r.lag)]; next.revision >= r.seen.revision {
			r.seen = next
		}
	default:
		for _, other := range m.routers {
			if newest := other.toldRevision(); newest > r.seen.revision {
				r.seen = other.seen
			}
		}
	}
	r.told = append(r.told, r.seen.revision)
	r.told = r.told[max(0, len(r.told)-modelCopyLag-1):]
}

// toldRevision is the revision of the router's copy as far as the others know.
func (r *modelRouter) toldRevision() int64 {
	if len(r.told) == 0 {
		return 0
	}
	return r.told[0]
}

// step updates a router from its copy of the store and makes its writes.
func (r *modelRouter) step() {
	m := r.model
	r.look()
	if r.seen.listed == nil {
		return
	}
	current := true
	for _, other := range m.routers {
		current = current && other.toldRevision() <= r.seen.revision
	}
	r.versions.Update(m.clock.now(), r.seen.era, r.seen.served, ServiceVersions{testService: r.seen.listed}, modelWindow)
	r.tracker.SetState(State{
		Served: r.versions.Served(), Usable: r.versions.Usable(m.clock.now()), Complete: r.versions.Complete(),
		Several: map[string]bool{testService: r.versions.Several(testService)},
		Current: current, At: m.clock.now(), Window: modelWindow,
	})
	if m.store.away {
		return
	}
	if next, differs := r.versions.Next(m.clock.now()); differs {
		if merged := MergeServed(m.store.served, r.seen.served, next); !proto.Equal(merged, m.store.served) {
			m.store.served = merged
			m.store.revision++
		}
	}
	if isDue(r.tracker) && !m.oneIn(3) {
		record, number := r.tracker.Record()
		m.store.streams[r.name] = proto.Clone(record).(*peerpb.StreamOrigins)
		r.tracker.Written(number)
	}
}

// begin begins a stream at a router, at a version that has an engine.
func (m *model) begin() {
	r := m.routers[m.random.IntN(len(m.routers))]
	var candidates []string
	for _, version := range r.seen.listed {
		if m.alive[version] && slices.Contains(r.tracker.Usable(testService), version) {
			candidates = append(candidates, version)
		}
	}
	if len(candidates) == 0 {
		return
	}
	m.begun++
	s := modelStream{id: fmt.Sprint(m.begun), version: candidates[m.random.IntN(len(candidates))], begunAt: m.clock.now()}
	r.tracker.Begin(stream(s.id), testService, s.version, testLifetime)
	m.streams = append(m.streams, s)
}

// takeUp takes up a stream at a router, which goes on if the version that the router takes
// for the one that began it has an engine.
func (m *model) takeUp() {
	m.streams = slices.DeleteFunc(m.streams, func(s modelStream) bool { return m.clock.now().Sub(s.begunAt) >= testLifetime })
	if len(m.streams) == 0 {
		return
	}
	s, r := m.streams[m.random.IntN(len(m.streams))], m.routers[m.random.IntN(len(m.routers))]
	if r.seen.listed == nil {
		return
	}
	m.tries++
	origin := r.tracker.Find(context.Background(), stream(s.id), testService)
	switch {
	case origin.Version == "":
		m.notKnown++
	case origin.Version == s.version:
		m.wentOn++
	case m.alive[origin.Version]:
		m.violations++
		if m.firstViolation == "" {
			m.firstViolation = fmt.Sprintf("router %s takes stream %s of %s for one of %s (%s), store %+v", r.name, s.id, s.version, origin.Version, origin.Source, m.store)
		}
	}
}

// Versions come and go, routers are killed one by one and all at once, the store is away and
// returns from older copies. No router may take a stream for one of another version that
// could go on with it.
func TestNoStreamIsTakenForOneOfAnotherVersion(t *testing.T) {
	tries, wentOn, notKnown := 0, 0, 0
	for seed := range uint64(modelRuns) {
		m := newModel(seed)
		m.run()
		if m.violations > 0 {
			t.Errorf("seed %d: %d of %d; the first: %s", seed, m.violations, m.tries, m.firstViolation)
		}
		tries, wentOn, notKnown = tries+m.tries, wentOn+m.wentOn, notKnown+m.notKnown
	}
	t.Logf("%d take-ups: version known %d, not known %d", tries, wentOn, notKnown)
	if wentOn < tries/2 {
		t.Errorf("the version is known in %d of %d take-ups, want at least half", wentOn, tries)
	}
}
