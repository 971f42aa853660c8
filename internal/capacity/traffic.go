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
	// tokensPerTurn is the length of answers where requests are varied.
	tokensPerTurn = 16
	// turnsPerSecond is the rate where the tokens are varied.
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

// way is where a caller sends its requests.
type way struct {
	name string
	// shift is added to the owner's place among the routers.
	shift int
}

var (
	toOwner = way{"to the owner", 0}
	toOther = way{"forwarded", 1}
)

// addresses looks up the router of each turn beforehand, so that lookups cost
// nothing in the measured time.
func (e *Experiment) addresses(ctx context.Context, c *caller, turns int, w way) ([]string, error) {
	places := make(map[string]int)
	for i, r := range e.layout.Routers {
		places[r.Callers] = i
	}
	out := make([]string, 0, turns)
	for i := range turns {
		answer, err := c.lookup(ctx, turn{number: i})
		if err != nil {
			return nil, err
		}
		place := (places[answer.Address] + w.shift) % len(e.layout.Routers)
		out = append(out, e.layout.Routers[place].Callers)
	}
	return out, nil
}

// Chats measures the processor time of requests and tokens.
func (e *Experiment) Chats(ctx context.Context) error {
	const turns = 600
	c := newCaller(e.layout)
	for _, w := range []way{toOwner, toOther} {
		addresses, err := e.addresses(ctx, c, turns, w)
		if err != nil {
			return err
		}
		for _, rate := range requestRates {
			if err := e.chatPhase(ctx, c, addresses, rate, tokensPerTurn, func(span Span, p paced) {
				e.noteRequests(w, span, p)
			}); err != nil {
				return err
			}
		}
		for _, tokens := range tokenCounts {
			if err := e.chatPhase(ctx, c, addresses, turnsPerSecond, tokens, func(span Span, p paced) {
				e.noteAt(againstTokens, float64(tokens), "one chat "+w.name+": processor, all routers", "s", span.cpu()/float64(p.done))
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *Experiment) noteRequests(w way, span Span, p paced) {
	note := func(figure, unit string, value float64) {
		e.noteAt(againstRequests, p.rate(), "chats of 16 tokens "+w.name+": "+figure, unit, value)
	}
	note("processor, all routers", "core", span.cpu()/span.seconds())
	note("datagram bytes per router", "B/s", span.datagramBytes())
	note("first token, median", "s", p.wait(median))
	note("first token, p95", "s", p.wait(p95))
	note("first token, longest", "s", p.wait(1))
}

func (e *Experiment) chatPhase(ctx context.Context, c *caller, addresses []string, rate float64, tokens int,
	note func(Span, paced)) error {
	var result paced
	span, err := e.span(ctx, func(ctx context.Context) error {
		result = runPaced(ctx, rate, phaseLength, func(ctx context.Context, i int) (time.Duration, error) {
			n := i % len(addresses)
			return c.ask(ctx, addresses[n], turn{number: n, maxTokens: tokens})
		})
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	if result.done == 0 {
		return errors.New("no chat was answered: see the routers' logs")
	}
	note(span, result)
	e.noteAt(againstRequests, rate, "chats that failed in a phase", "requests", float64(result.failed))
	return nil
}

// Actions measures what non-idempotent calls cost.
func (e *Experiment) Actions(ctx context.Context) error {
	c := newCaller(e.layout)
	for _, rate := range actionRates {
		var result paced
		span, err := e.span(ctx, func(ctx context.Context) error {
			result = runPaced(ctx, rate, phaseLength, func(ctx context.Context, i int) (time.Duration, error) {
				return c.act(ctx, e.layout.Routers[i%len(e.layout.Routers)].Callers, i)
			})
			return ctx.Err()
		})
		if err != nil {
			return err
		}
		e.noteActions(span, result)
	}
	resting, err := e.idleSpan(ctx, phaseLength)
	if err != nil {
		return err
	}
	e.noteCalls("at rest with all claim slots held", "calls/s", resting.before.kv, resting.after.kv, resting.seconds())
	return nil
}

func (e *Experiment) noteActions(span Span, p paced) {
	note := func(figure, unit string, value float64) { e.noteAt(againstActions, p.rate(), figure, unit, value) }
	note("actions: until answered, median", "s", p.wait(median))
	note("actions: until answered, p95", "s", p.wait(p95))
	note("actions: processor, all routers", "core", span.cpu()/span.seconds())
	note("actions: failed in a phase", "actions", float64(p.failed))
	note("actions: bytes appended", "B/s", span.count("claims.append_bytes")/span.seconds())
	note("actions: journals loaded in a phase", "loads", span.count("claims.loads"))
	for _, c := range callsBetween(span.before.kv, span.after.kv) {
		note("key-value "+c.kind+" with actions", "calls/s", float64(c.calls)/span.seconds())
	}
}

// Lookups measures the processor time of address lookups.
func (e *Experiment) Lookups(ctx context.Context) error {
	c := newCaller(e.layout)
	for _, rate := range lookupRates {
		span, err := e.lookupSpan(ctx, c, rate)
		if err != nil {
			return err
		}
		e.noteAt(againstLookups, rate, "lookups: processor of a directory", "core", span.directoryCPU()/span.seconds())
	}
	return nil
}

// LookupCost measures one lookup at the run's size.
func (e *Experiment) LookupCost(ctx context.Context) error {
	const rate = 800
	if e.idle.after == nil {
		return errNotIdle
	}
	busy, err := e.lookupSpan(ctx, newCaller(e.layout), rate)
	if err != nil {
		return err
	}
	answered := busy.after.directory.counter("directory.answered.requests") - busy.before.directory.counter("directory.answered.requests")
	spent := busy.directoryCPU() - e.idle.directoryCPU()/e.idle.seconds()*busy.seconds()
	e.note("one address lookup: processor of a directory", "s", spent/answered)
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

// slowed makes streams last, with steps well below the stall timeout.
const slowed = 60

// OpenRequests measures the memory of requests that stay open.
func (e *Experiment) OpenRequests(ctx context.Context) error {
	c := newCaller(e.layout)
	addresses, err := e.addresses(ctx, c, openCounts[len(openCounts)-1], toOwner)
	if err != nil {
		return err
	}
	if err := e.setSlow(ctx, slowed); err != nil {
		return err
	}
	holding, release := context.WithCancel(ctx)
	defer release()
	held := &heldStreams{}
	opened := 0
	for _, count := range openCounts {
		for ; opened < count; opened++ {
			t, address := turn{number: opened, maxTokens: longAnswer}, addresses[opened]
			go held.hold(holding, c, address, t)
			_ = pause.For(ctx, openInterval)
		}
		_ = pause.For(ctx, phaseLength)
		if err := e.noteOpen(ctx, held); err != nil {
			return err
		}
	}
	release()
	return e.setSlow(ctx, 1)
}

const (
	// longAnswer is more tokens than a slowed engine writes in the experiment.
	longAnswer   = 2000
	openInterval = 5 * time.Millisecond
)

func (e *Experiment) setSlow(ctx context.Context, factor float64) error {
	for _, address := range e.layout.Engines {
		if err := e.sampler.post(ctx, address, standin.PathFaults, engine.Faults{SlowFactor: factor}); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) noteOpen(ctx context.Context, held *heldStreams) error {
	sample, err := e.sampler.Take(ctx)
	if err != nil {
		return err
	}
	open, routers := float64(held.count()), float64(len(e.layout.Routers))
	note := func(figure, unit string, value float64) { e.noteAt(againstOpen, open, figure, unit, value) }
	note("open requests: resident, all routers", "B", sample.mean(telemetry.GaugeResident)*routers)
	note("open requests: live heap, all routers", "B", sample.mean(telemetry.GaugeHeapLive)*routers)
	note("open requests: goroutines, all routers", "goroutines", sample.mean(telemetry.GaugeGoroutines)*routers)
	return nil
}

// heldStreams counts streams that have begun and are still open.
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

// hold reads a stream until it ends.
func (h *heldStreams) hold(ctx context.Context, c *caller, address string, t turn) {
	stream, err := c.open(ctx, address, t)
	if err != nil {
		return
	}
	h.add(1)
	defer h.add(-1)
	defer func() { _ = stream.Close() }()
	_, _ = io.Copy(io.Discard, stream)
}
