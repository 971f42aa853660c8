package capacity

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/engine"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

// Loads that the experiments vary.
const (
	againstRequests = "requests/s"
	againstTokens   = "tokens per request"
	againstActions  = "actions/s"
	againstLookups  = "lookups/s"
	againstOpen     = "open requests"
)

const (
	phaseLength = 5 * time.Second
	// tokensPerTurn is the length of answers while the request rate is varied.
	tokensPerTurn = 16
	// turnsPerSecond is the request rate while the length of answers is varied.
	turnsPerSecond = 60
	median         = 0.5
	p95            = 0.95
)

var (
	requestRates = []float64{25, 50, 100, 200}
	tokenCounts  = []int{4, 16, 64, 160}
	actionRates  = []float64{5, 20, 60, 120}
	lookupRates  = []float64{100, 400, 1600}
	openCounts   = []int{100, 300, 600, 1200}
)

// route selects the router to which a caller sends its requests.
type route struct {
	name string
	// offset is added to the owner's index among the routers.
	offset int
}

var (
	direct    = route{"to the owner", 0}
	forwarded = route{"forwarded", 1}
)

// addresses looks up the router of each turn in advance, so that lookups add
// nothing to the measured costs.
func (e *Experiment) addresses(ctx context.Context, c *caller, turns int, rt route) ([]string, error) {
	indexes := make(map[string]int)
	for i, r := range e.layout.Routers {
		indexes[r.Callers] = i
	}
	out := make([]string, 0, turns)
	for i := range turns {
		answer, err := c.lookup(ctx, turn{number: i})
		if err != nil {
			return nil, err
		}
		index := (indexes[answer.Address] + rt.offset) % len(e.layout.Routers)
		out = append(out, e.layout.Routers[index].Callers)
	}
	return out, nil
}

// Chats measures the CPU time of requests and tokens, and the latency of requests.
func (e *Experiment) Chats(ctx context.Context) error {
	const turns = 600
	c := newCaller(e.layout)
	for _, rt := range []route{direct, forwarded} {
		addresses, err := e.addresses(ctx, c, turns, rt)
		if err != nil {
			return err
		}
		for _, rate := range requestRates {
			if err := e.chatPhase(ctx, c, addresses, rate, tokensPerTurn, func(span Span, p pacedResult) {
				e.recordRequests(rt, span, p)
			}); err != nil {
				return err
			}
		}
		for _, tokens := range tokenCounts {
			if err := e.chatPhase(ctx, c, addresses, turnsPerSecond, tokens, func(span Span, p pacedResult) {
				e.recordAt(againstTokens, float64(tokens), "one chat "+rt.name+": processor, all routers", "s", span.cpu()/float64(p.done))
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *Experiment) recordRequests(rt route, span Span, p pacedResult) {
	record := func(figure, unit string, value float64) {
		e.recordAt(againstRequests, p.rate(), "chats of 16 tokens "+rt.name+": "+figure, unit, value)
	}
	record("processor, all routers", "core", span.cpu()/span.seconds())
	record("datagram bytes per router", "B/s", span.datagramBytes())
	record("first token, median", "s", p.latencyQuantile(median))
	record("first token, p95", "s", p.latencyQuantile(p95))
	record("first token, longest", "s", p.latencyQuantile(1))
}

func (e *Experiment) chatPhase(ctx context.Context, c *caller, addresses []string, rate float64, tokens int,
	record func(Span, pacedResult)) error {
	var result pacedResult
	span, err := e.span(ctx, func(ctx context.Context) error {
		result = runPaced(ctx, rate, phaseLength, func(ctx context.Context, i int) (time.Duration, error) {
			n := i % len(addresses)
			return c.sendTurn(ctx, addresses[n], turn{number: n, maxTokens: tokens})
		})
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	if result.done == 0 {
		return errors.New("no chat was answered: see the routers' logs")
	}
	record(span, result)
	e.recordAt(againstRequests, rate, "chats that failed in a phase", "requests", float64(result.failed))
	return nil
}

// Actions measures the latency and the costs of non-idempotent calls.
func (e *Experiment) Actions(ctx context.Context) error {
	c := newCaller(e.layout)
	for _, rate := range actionRates {
		var result pacedResult
		span, err := e.span(ctx, func(ctx context.Context) error {
			result = runPaced(ctx, rate, phaseLength, func(ctx context.Context, i int) (time.Duration, error) {
				return c.sendAction(ctx, e.layout.Routers[i%len(e.layout.Routers)].Callers, i)
			})
			return ctx.Err()
		})
		if err != nil {
			return err
		}
		e.recordActions(span, result)
	}
	idle, err := e.idleSpan(ctx, phaseLength)
	if err != nil {
		return err
	}
	e.recordCalls("at rest with all claim slots held", "calls/s", idle.before.kv, idle.after.kv, idle.seconds())
	return nil
}

func (e *Experiment) recordActions(span Span, p pacedResult) {
	record := func(figure, unit string, value float64) { e.recordAt(againstActions, p.rate(), figure, unit, value) }
	record("actions: until answered, median", "s", p.latencyQuantile(median))
	record("actions: until answered, p95", "s", p.latencyQuantile(p95))
	record("actions: processor, all routers", "core", span.cpu()/span.seconds())
	record("actions: failed in a phase", "actions", float64(p.failed))
	record("actions: bytes appended", "B/s", span.count("claims.append_bytes")/span.seconds())
	record("actions: journals loaded in a phase", "loads", span.count("claims.loads"))
	for _, c := range callsBetween(span.before.kv, span.after.kv) {
		record("key-value "+c.kind+" with actions", "calls/s", float64(c.calls)/span.seconds())
	}
}

// Lookups measures the CPU time of address lookups.
func (e *Experiment) Lookups(ctx context.Context) error {
	c := newCaller(e.layout)
	for _, rate := range lookupRates {
		span, err := e.lookupSpan(ctx, c, rate)
		if err != nil {
			return err
		}
		e.recordAt(againstLookups, rate, "lookups: processor of a directory", "core", span.directoryCPU()/span.seconds())
	}
	return nil
}

// LookupCost measures the CPU time of one address lookup at the run's size, beyond
// that of an idle directory.
func (e *Experiment) LookupCost(ctx context.Context) error {
	const rate = 800
	if e.idle.after == nil {
		return errIdleNotMeasured
	}
	busy, err := e.lookupSpan(ctx, newCaller(e.layout), rate)
	if err != nil {
		return err
	}
	answered := busy.after.directory.counter("directory.answered.requests") - busy.before.directory.counter("directory.answered.requests")
	spent := busy.directoryCPU() - e.idle.directoryCPU()/e.idle.seconds()*busy.seconds()
	e.record("one address lookup: processor of a directory", "s", spent/answered)
	return nil
}

func (e *Experiment) lookupSpan(ctx context.Context, c *caller, rate float64) (Span, error) {
	return e.span(ctx, func(ctx context.Context) error {
		runPaced(ctx, rate, phaseLength, func(ctx context.Context, i int) (time.Duration, error) {
			_, err := c.lookup(ctx, turn{number: i})
			return 0, err
		})
		return ctx.Err()
	})
}

// engineSlowFactor slows the engines so that streams stay open. The time between
// two tokens remains well below the stall timeout.
const engineSlowFactor = 60

// OpenRequests measures the memory and goroutines of requests that stay open.
func (e *Experiment) OpenRequests(ctx context.Context) error {
	c := newCaller(e.layout)
	addresses, err := e.addresses(ctx, c, openCounts[len(openCounts)-1], direct)
	if err != nil {
		return err
	}
	if err := e.setSlowFactor(ctx, engineSlowFactor); err != nil {
		return err
	}
	streamsCtx, closeStreams := context.WithCancel(ctx)
	defer closeStreams()
	held := &heldStreams{}
	opened := 0
	for _, count := range openCounts {
		for ; opened < count; opened++ {
			t, address := turn{number: opened, maxTokens: longAnswer}, addresses[opened]
			go held.hold(streamsCtx, c, address, t)
			_ = pause.For(ctx, openInterval)
		}
		_ = pause.For(ctx, phaseLength)
		if err := e.recordOpenRequests(ctx, held); err != nil {
			return err
		}
	}
	closeStreams()
	return e.setSlowFactor(ctx, 1)
}

const (
	// longAnswer is more tokens than a slowed engine sends during the experiment.
	longAnswer   = 2000
	openInterval = 5 * time.Millisecond
)

func (e *Experiment) setSlowFactor(ctx context.Context, factor float64) error {
	for _, address := range e.layout.Engines {
		if err := e.sampler.post(ctx, address, standin.PathFaults, engine.Faults{SlowFactor: factor}); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) recordOpenRequests(ctx context.Context, held *heldStreams) error {
	sample, err := e.sampler.Take(ctx)
	if err != nil {
		return err
	}
	open, routers := float64(held.count()), float64(len(e.layout.Routers))
	record := func(figure, unit string, value float64) { e.recordAt(againstOpen, open, figure, unit, value) }
	record("open requests: resident, all routers", "B", sample.mean(telemetry.GaugeResident)*routers)
	record("open requests: live heap, all routers", "B", sample.mean(telemetry.GaugeHeapLive)*routers)
	record("open requests: goroutines, all routers", "goroutines", sample.mean(telemetry.GaugeGoroutines)*routers)
	return nil
}

// heldStreams counts the streams that are open.
type heldStreams struct {
	mu   sync.Mutex
	open int
}

func (h *heldStreams) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

func (h *heldStreams) add(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open += n
}

// hold opens a stream and reads it until it ends.
func (h *heldStreams) hold(ctx context.Context, c *caller, address string, t turn) {
	stream, err := c.openStream(ctx, address, t)
	if err != nil {
		return
	}
	h.add(1)
	defer h.add(-1)
	defer func() { _ = stream.Close() }()
	_, _ = io.Copy(io.Discard, stream)
}
