package capacity

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/kv/etcdjson"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

const (
	readyTimeout = 90 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Experiment measures one running fleet.
type Experiment struct {
	layout  *Layout
	sampler *Sampler
	store   *etcdjson.Store
	// against names the size that the run varies, x is its value.
	against string
	x       float64
	random  *rand.Rand
	// revision is the newest that was committed.
	revision uint64
	// idle is the span that Idle measured.
	idle  Span
	found []Observation
}

// NewExperiment returns an experiment whose observations are filed against one
// size of the layout.
func NewExperiment(layout *Layout, against string) (*Experiment, error) {
	x, err := layout.Size.value(against)
	if err != nil {
		return nil, err
	}
	store, err := etcdjson.New(etcdjson.Options{Endpoints: []string{"http://" + layout.KV}})
	if err != nil {
		return nil, err
	}
	return &Experiment{
		layout: layout, sampler: NewSampler(layout), store: store, against: against, x: x,
		random: rand.New(rand.NewPCG(layout.Seed, 0)),
	}, nil
}

// Sizes that a run can vary.
const (
	AgainstRouters    = "routers"
	AgainstEngines    = "listed engines"
	AgainstWorkspaces = "workspaces"
)

func (s Size) value(against string) (float64, error) {
	switch against {
	case AgainstRouters:
		return float64(s.Routers), nil
	case AgainstEngines:
		return float64(s.Engines), nil
	case AgainstWorkspaces:
		return float64(s.Workspaces), nil
	default:
		return 0, errors.Errorf("%q is no size: use %q, %q or %q", against, AgainstRouters, AgainstEngines, AgainstWorkspaces)
	}
}

// Observations returns what was measured so far.
func (e *Experiment) Observations() []Observation { return e.found }

// note files a value against the run's size.
func (e *Experiment) note(figure, unit string, value float64) {
	e.noteAt(e.against, e.x, figure, unit, value)
}

// noteAt files a value against a size that the experiment varies itself.
func (e *Experiment) noteAt(against string, x float64, figure, unit string, value float64) {
	e.found = append(e.found, Observation{
		Figure: figure, Unit: unit, Against: against, X: x, Y: value, Load: machineLoad(),
	})
}

// Commit makes the declarations of the layout the first revision.
func (e *Experiment) Commit(ctx context.Context) error {
	committer := configstore.NewCommitter(configstore.CommitterOptions{Store: e.store, Author: "capacity"})
	revision, err := committer.Commit(ctx, 0, e.layout.Size.Changes())
	e.revision = revision
	return err
}

// ColdStart waits until processes that were all started together serve, and notes
// how long that took and which calls it cost. It must run first, against a
// service that only Commit has used.
func (e *Experiment) ColdStart(ctx context.Context, begun time.Time, before kvserver.State) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := e.waitRevision(ctx); err != nil {
		return err
	}
	e.note("cold start, all at once: until all have the configuration", "s", time.Since(begun).Seconds())
	after, err := e.sampler.Take(ctx)
	if err != nil {
		return err
	}
	e.noteCalls("cold start, all at once", "calls", before, after.kv, 1)
	routers := float64(len(after.routers))
	e.note("cold start: configuration bytes from the key-value service, mean router", "B", after.sum("config.fetched_from_store.bytes")/routers)
	e.note("cold start: configuration bytes from peers, mean router", "B", after.sum("config.fetched_from_peers.bytes")/routers)
	e.note("cold start: processor, mean router", "s", after.mean(telemetry.GaugeCPU)/float64(time.Second))
	return e.waitView(ctx)
}

// waitView waits until every router sees all routers and upstreams.
func (e *Experiment) waitView(ctx context.Context) error {
	upstreams := float64(e.layout.Size.Engines + instanceCount)
	for {
		sample, err := e.sampler.Take(ctx)
		if err != nil {
			return err
		}
		complete := true
		for _, r := range sample.routers {
			complete = complete && int(r.gauge("cluster.routers")) == e.layout.Size.Routers && r.gauge("cluster.upstreams") == upstreams
		}
		if complete {
			return nil
		}
		if pause.For(ctx, time.Second) != nil {
			return errors.New("routers don't see each other: check the logs in the run's directory")
		}
	}
}

// KVState reads the counters of the key-value service.
func (e *Experiment) KVState(ctx context.Context) (kvserver.State, error) {
	var state kvserver.State
	return state, e.sampler.get(ctx, e.layout.KV, "/admin/state", &state)
}

// span samples before and after a time, during which work runs.
func (e *Experiment) span(ctx context.Context, work func(context.Context) error) (Span, error) {
	before, err := e.sampler.Take(ctx)
	if err != nil {
		return Span{}, err
	}
	if err := work(ctx); err != nil {
		return Span{}, err
	}
	after, err := e.sampler.Take(ctx)
	return Span{before: before, after: after}, err
}

// Idle measures a fleet that nobody uses. Changes and LookupCost subtract what
// it found.
func (e *Experiment) Idle(ctx context.Context, length time.Duration) error {
	span, err := e.idleSpan(ctx, length)
	if err != nil {
		return err
	}
	e.idle = span
	e.note("idle: processor per router", "core", span.cpu()/span.seconds()/float64(len(e.layout.Routers)))
	e.note("idle: processor of a directory", "core", span.directoryCPU()/span.seconds())
	e.noteMemory(span.after)
	e.noteTraffic(span)
	e.noteCalls("at rest", "calls/s", span.before.kv, span.after.kv, span.seconds())
	return nil
}

func (e *Experiment) idleSpan(ctx context.Context, length time.Duration) (Span, error) {
	return e.span(ctx, func(ctx context.Context) error {
		_ = pause.For(ctx, length)
		return ctx.Err()
	})
}

func (e *Experiment) noteMemory(s *Sample) {
	e.note("memory: resident, mean router", "B", s.mean(telemetry.GaugeResident))
	e.note("memory: resident, largest router", "B", s.highest(telemetry.GaugeResident))
	e.note("memory: live heap, mean router", "B", s.mean(telemetry.GaugeHeapLive))
	e.note("memory: resident, directory", "B", s.directory.gauge(telemetry.GaugeResident))
	e.note("memory: live heap, directory", "B", s.directory.gauge(telemetry.GaugeHeapLive))
}

// controlKinds are the kinds of control messages in the metrics of package
// cluster.
var controlKinds = []string{"ping", "ack", "relay"}

func (e *Experiment) noteTraffic(s Span) {
	e.note("control: datagram bytes per router", "B/s", s.datagramBytes())
	for _, direction := range []string{"sent", "received"} {
		for _, kind := range controlKinds {
			name := "cluster." + direction + "."
			e.note("control: "+kind+" "+direction+" per router", "B/s", s.perRouterSecond(name+"bytes."+kind))
			e.note("control: "+kind+" "+direction+" per router", "messages/s", s.perRouterSecond(name+"messages."+kind))
		}
	}
	first := s.after.routers[0]
	e.note("control: bytes of a host list poll, mean since the start", "B",
		first.counter("cluster.received.bytes.list")/first.counter("cluster.received.messages.list"))
}

// ListPolls measures the polls of the host list; its interval grows with the
// list, up to half a minute. The platform is how the list is served.
func (e *Experiment) ListPolls(ctx context.Context, platform string, length time.Duration) error {
	span, err := e.idleSpan(ctx, length)
	if err != nil {
		return err
	}
	e.note("control: host list polls per router, "+platform, "polls/s", span.perRouterSecond("cluster.received.messages.list"))
	e.note("control: host list bytes per router, "+platform, "B/s", span.perRouterSecond("cluster.received.bytes.list"))
	return nil
}

// noteCalls notes the calls on the key-value service by kind, divided by a
// number of seconds or events.
func (e *Experiment) noteCalls(phase, unit string, before, after kvserver.State, divisor float64) {
	for _, c := range callsBetween(before, after) {
		e.note("key-value "+c.kind+", "+phase, unit, float64(c.calls)/divisor)
	}
}

// kindCalls is the calls of one kind.
type kindCalls struct {
	kind  string
	calls int64
}

func callsBetween(before, after kvserver.State) []kindCalls {
	a, b := before.Calls, after.Calls
	return []kindCalls{
		{"reads", after.Reads - before.Reads}, {"writes", after.Writes - before.Writes},
		{"range", b.Range - a.Range}, {"txn", b.Txn - a.Txn}, {"watch", b.Watch - a.Watch},
		{"rate limited", after.RateLimited - before.RateLimited},
	}
}
