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
	// against names the size that the run varies; x is its value.
	against string
	x       float64
	random  *rand.Rand
	// revision is the newest committed one, or zero before it is read.
	revision uint64
	// idle is the span measured by Idle.
	idle         Span
	observations []Observation
}

// NewExperiment returns an experiment that records its observations against one
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
		return 0, errors.Errorf("unknown size %q: use %q, %q or %q", against, AgainstRouters, AgainstEngines, AgainstWorkspaces)
	}
}

// Observations returns the values recorded so far.
func (e *Experiment) Observations() []Observation { return e.observations }

// record adds an observation against the size that the run varies.
func (e *Experiment) record(figure, unit string, value float64) {
	e.recordAt(e.against, e.x, figure, unit, value)
}

// recordAt adds an observation against a size that the experiment itself varies.
func (e *Experiment) recordAt(against string, x float64, figure, unit string, value float64) {
	e.observations = append(e.observations, Observation{
		Figure: figure, Unit: unit, Against: against, X: x, Y: value, Load: machineLoad(),
	})
}

// Commit commits the declarations of the layout as the first revision.
func (e *Experiment) Commit(ctx context.Context) error {
	committer := configstore.NewCommitter(configstore.CommitterOptions{Store: e.store, Author: "capacity"})
	revision, err := committer.Commit(ctx, 0, e.layout.Size.Changes())
	e.revision = revision
	return err
}

// ColdStart waits until processes that were started at the same time are serving, and
// records how long that took and the calls that it cost. It must run first, with a
// key-value service that only Commit has used.
func (e *Experiment) ColdStart(ctx context.Context, begun time.Time, before kvserver.State) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := e.waitRevision(ctx); err != nil {
		return err
	}
	e.record("cold start, all at once: until all have the configuration", "s", time.Since(begun).Seconds())
	after, err := e.sampler.Take(ctx)
	if err != nil {
		return err
	}
	e.recordCalls("cold start, all at once", "calls", before, after.kv, 1)
	routers := float64(len(after.routers))
	e.record("cold start: configuration bytes from the key-value service, mean router", "B", after.sum("config.fetched_from_store.bytes")/routers)
	e.record("cold start: configuration bytes from peers, mean router", "B", after.sum("config.fetched_from_peers.bytes")/routers)
	e.record("cold start: processor, mean router", "s", after.mean(telemetry.GaugeCPU)/float64(time.Second))
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
			return errors.New("timed out waiting until routers see all routers and upstreams: check the logs in the run's directory")
		}
	}
}

// KVState reads the call counters of the key-value service.
func (e *Experiment) KVState(ctx context.Context) (kvserver.State, error) {
	var state kvserver.State
	return state, e.sampler.get(ctx, e.layout.KV, "/admin/state", &state)
}

// span takes a sample before and one after work runs.
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

// Idle measures a fleet without load. Changes and LookupCost subtract these costs.
func (e *Experiment) Idle(ctx context.Context, length time.Duration) error {
	span, err := e.idleSpan(ctx, length)
	if err != nil {
		return err
	}
	e.idle = span
	e.record("idle: processor per router", "core", span.cpu()/span.seconds()/float64(len(e.layout.Routers)))
	e.record("idle: processor of a directory", "core", span.directoryCPU()/span.seconds())
	e.recordMemory(span.after)
	e.recordTraffic(span)
	e.recordCalls("at rest", "calls/s", span.before.kv, span.after.kv, span.seconds())
	return nil
}

func (e *Experiment) idleSpan(ctx context.Context, length time.Duration) (Span, error) {
	return e.span(ctx, func(ctx context.Context) error {
		_ = pause.For(ctx, length)
		return ctx.Err()
	})
}

func (e *Experiment) recordMemory(s *Sample) {
	e.record("memory: resident, mean router", "B", s.mean(telemetry.GaugeResident))
	e.record("memory: resident, largest router", "B", s.highest(telemetry.GaugeResident))
	e.record("memory: live heap, mean router", "B", s.mean(telemetry.GaugeHeapLive))
	e.record("memory: resident, directory", "B", s.directory.gauge(telemetry.GaugeResident))
	e.record("memory: live heap, directory", "B", s.directory.gauge(telemetry.GaugeHeapLive))
}

// controlKinds are the kinds of control messages in the metrics of package
// cluster.
var controlKinds = []string{"ping", "ack", "relay"}

func (e *Experiment) recordTraffic(s Span) {
	e.record("control: datagram bytes per router", "B/s", s.datagramBytes())
	for _, direction := range []string{"sent", "received"} {
		for _, kind := range controlKinds {
			name := "cluster." + direction + "."
			e.record("control: "+kind+" "+direction+" per router", "B/s", s.perRouterSecond(name+"bytes."+kind))
			e.record("control: "+kind+" "+direction+" per router", "messages/s", s.perRouterSecond(name+"messages."+kind))
		}
	}
	first := s.after.routers[0]
	e.record("control: bytes of a host list poll, mean since the start", "B",
		first.counter("cluster.received.bytes.list")/first.counter("cluster.received.messages.list"))
}

// ListPolls measures the polls of the host list, whose interval grows with the
// length of the list, up to half a minute. The platform names in the figures how
// the list is served.
func (e *Experiment) ListPolls(ctx context.Context, platform string, length time.Duration) error {
	span, err := e.idleSpan(ctx, length)
	if err != nil {
		return err
	}
	e.record("control: host list polls per router, "+platform, "polls/s", span.perRouterSecond("cluster.received.messages.list"))
	e.record("control: host list bytes per router, "+platform, "B/s", span.perRouterSecond("cluster.received.bytes.list"))
	return nil
}

// recordCalls records the calls to the key-value service by kind, divided by a
// number of seconds or events.
func (e *Experiment) recordCalls(phase, unit string, before, after kvserver.State, divisor float64) {
	for _, c := range callsBetween(before, after) {
		e.record("key-value "+c.kind+", "+phase, unit, float64(c.calls)/divisor)
	}
}

// kindCalls is the number of calls of one kind.
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
