package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// manualEngine returns an engine with a manual clock, steps of 10 ms and a
// prefill time of 1 ms for each prompt token.
func manualEngine(change func(*Config)) (*Server, *standin.ManualClock) {
	clock := standin.NewManualClock(start)
	cfg := DefaultConfig()
	cfg.Clock = clock
	cfg.TokenTime = 10 * time.Millisecond
	cfg.PrefillPerToken = time.Millisecond
	if change != nil {
		change(&cfg)
	}
	return New(cfg), clock
}

func user(content string) engineapi.Message {
	return engineapi.Message{Role: "user", Content: content}
}

// submit adds a request for the given number of tokens, with a reader that
// stays open.
func submit(s *Server, priority fleet.Priority, tokens int, content string) *stream {
	req := engineapi.ChatRequest{Messages: []engineapi.Message{user(content)}, MaxTokens: tokens}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := newStream(content, content, req, priority)
	s.openReaderLocked(&reader{silentAfter: noFault, cutAfter: noFault}, st, 0)
	s.submitLocked(st)
	return st
}

func TestEachStepServesAllRunningStreams(t *testing.T) {
	s, clock := manualEngine(func(c *Config) { c.Slots, c.PrefillPerToken = 2, 0 })
	a := submit(s, fleet.PriorityNormal, 3, "a")
	b := submit(s, fleet.PriorityNormal, 5, "b")
	c := submit(s, fleet.PriorityNormal, 1, "c")
	clock.Advance(20 * time.Millisecond)
	if len(a.tokens) != 2 || len(b.tokens) != 2 || len(c.tokens) != 0 {
		t.Fatalf("tokens %d %d %d", len(a.tokens), len(b.tokens), len(c.tokens))
	}
	clock.Advance(20 * time.Millisecond)
	if !a.finished || b.finished || !c.finished {
		t.Fatalf("finished %v %v %v", a.finished, b.finished, c.finished)
	}
	clock.Advance(time.Second)
	if clock.Pending() != 0 {
		t.Fatal("an idle engine still has a step scheduled")
	}
}

func TestHigherPriorityGetsTheNextSlot(t *testing.T) {
	s, clock := manualEngine(func(c *Config) { c.Slots, c.PrefillPerToken = 1, 0 })
	submit(s, fleet.PriorityNormal, 1, "first")
	low := submit(s, fleet.PriorityLow, 1, "low")
	normal := submit(s, fleet.PriorityNormal, 1, "normal")
	high := submit(s, fleet.PriorityHigh, 1, "high")
	clock.Advance(20 * time.Millisecond)
	if !high.finished || normal.finished || low.finished {
		t.Fatal("want the stream of high priority to run second")
	}
	clock.Advance(10 * time.Millisecond)
	if !normal.finished || low.finished {
		t.Fatal("want the stream of normal priority to run third")
	}
}

func TestPrefillTakesTimeUnlessCached(t *testing.T) {
	s, clock := manualEngine(nil)
	prompt := strings.Repeat("word ", 30)
	cold := submit(s, fleet.PriorityNormal, 1, prompt)
	clock.Advance(20 * time.Millisecond)
	if cold.finished {
		t.Fatal("30 prompt tokens took less than 30 ms")
	}
	clock.Advance(10 * time.Millisecond)
	warm := submit(s, fleet.PriorityNormal, 1, prompt)
	clock.Advance(10 * time.Millisecond)
	if !cold.finished || !warm.finished || warm.cachedTokens != 30 {
		t.Fatalf("finished %v %v, cached %d", cold.finished, warm.finished, warm.cachedTokens)
	}
}

func TestOrphanIsCancelledAfterItsTime(t *testing.T) {
	s, clock := manualEngine(func(c *Config) { c.OrphanAfter = time.Second })
	st := submit(s, fleet.PriorityNormal, 10_000, "long")
	clock.Advance(5 * time.Second)
	s.closeReader(&reader{stream: st})
	clock.Advance(900 * time.Millisecond)
	if st.cancelled {
		t.Fatal("cancelled too early")
	}
	clock.Advance(200 * time.Millisecond)
	if !st.cancelled || s.State().Orphaned != 1 || s.State().Running != 0 {
		t.Fatalf("cancelled %v, state %+v", st.cancelled, s.State())
	}
}

func TestFinishedStreamIsForgotten(t *testing.T) {
	s, clock := manualEngine(func(c *Config) { c.StreamKeep = time.Minute })
	submit(s, fleet.PriorityNormal, 1, "a")
	clock.Advance(time.Minute)
	if s.resume("a", 0) == nil {
		t.Fatal("stream not retained for StreamKeep")
	}
	clock.Advance(time.Minute)
	if s.resume("a", 0) != nil {
		t.Fatal("stream retained for longer than StreamKeep")
	}
}

func TestLoadReportLags(t *testing.T) {
	s, clock := manualEngine(func(c *Config) { c.Slots = 1 })
	submit(s, fleet.PriorityNormal, 1_000, "a")
	submit(s, fleet.PriorityNormal, 1_000, "b")
	clock.Advance(1900 * time.Millisecond)
	if load := s.load.Visible(clock.Now()); load.Running != 0 {
		t.Fatalf("visible too early: %+v", load)
	}
	clock.Advance(100 * time.Millisecond)
	if load := s.load.Visible(clock.Now()); load.Running != 1 || load.Waiting != 1 {
		t.Fatalf("load %+v", load)
	}
}

func TestLeavingEngineTakesWorkDuringTheGrace(t *testing.T) {
	s, clock := manualEngine(func(c *Config) { c.LeaveGrace = time.Second })
	s.Leave()
	for _, tc := range []struct {
		pass   time.Duration
		refuse bool
	}{{0, false}, {999 * time.Millisecond, false}, {time.Millisecond, true}} {
		clock.Advance(tc.pass)
		s.Leave()
		if got := s.refusesNewWorkLocked(clock.Now()); got != tc.refuse || s.Drained() != tc.refuse {
			t.Errorf("after %s more: refuses %v", tc.pass, got)
		}
	}
}

func TestFrozenAndSlowEngine(t *testing.T) {
	s, clock := manualEngine(func(c *Config) { c.PrefillPerToken = 0 })
	st := submit(s, fleet.PriorityNormal, 100, "a")
	s.Faults.Update(func(f *Faults) { f.Frozen = true })
	clock.Advance(time.Second)
	if len(st.tokens) != 0 {
		t.Fatalf("%d tokens while frozen", len(st.tokens))
	}
	s.Faults.Update(func(f *Faults) { f.Frozen, f.SlowFactor = false, 10 })
	clock.Advance(110 * time.Millisecond)
	if len(st.tokens) != 2 {
		t.Fatalf("%d tokens at a tenth of the speed", len(st.tokens))
	}
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	log := eventLog{delay: time.Second, gapEvery: 3}
	for i := range 6 {
		log.add(start, eventStored, &cacheNode{Hash: uint64(i), Total: i})
	}
	if early := log.visible(start, 0); len(early) != 0 {
		t.Fatalf("early %+v", early)
	}
	events := log.visible(start.Add(time.Second), 1)
	got := ""
	for _, e := range events {
		got += fmt.Sprint(e.Sequence, " ")
	}
	if got != "2 4 5 " {
		t.Fatalf("sequences %q", got)
	}
}

func TestCacheKeepsRecentPrefixesWithinItsLimit(t *testing.T) {
	removed := 0
	cache := newPrefixCache(10, func(kind string, _ *cacheNode) {
		if kind == eventRemoved {
			removed++
		}
	})
	shared := []engineapi.Message{user("one two three four")}
	first := append(shared[:1:1], user("a b c"))
	second := append(shared[:1:1], user("d e f"))
	third := append(shared[:1:1], user("g h i"))
	cache.store(first)
	cache.store(second)
	cache.lookup(first)
	cache.store(third)
	if cache.lookup(first) != 7 || cache.lookup(second) != 4 || cache.lookup(third) != 7 {
		t.Fatalf("cached %d %d %d", cache.lookup(first), cache.lookup(second), cache.lookup(third))
	}
	if cache.used != 10 || removed != 1 {
		t.Fatalf("used %d, removed %d", cache.used, removed)
	}
}

// TestContinuedAnswerIsTheSame interrupts an answer after any number of tokens
// and continues it as a new stream.
func TestContinuedAnswerIsTheSame(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("complete answer does not depend on where it is interrupted", prop.ForAll(
		func(content string, maxTokens, breakAt int) bool {
			prompt := []engineapi.Message{user(content)}
			req := engineapi.ChatRequest{Messages: prompt, MaxTokens: maxTokens}
			begun := newStream("a", "a", req, fleet.PriorityNormal)
			for range breakAt {
				if begun.generate() {
					return begun.answer() == ExpectedAnswer(prompt, maxTokens)
				}
			}
			return continued(req, begun.answer(), breakAt).answer() == ExpectedAnswer(prompt, maxTokens)
		},
		gen.AlphaString(), gen.IntRange(0, 60), gen.IntRange(1, 70),
	))
	properties.TestingRun(t)
}

// continued generates the rest of an answer whose first tokens are given.
func continued(req engineapi.ChatRequest, partial string, tokens int) *stream {
	req.Messages = append(req.Messages[:1:1], engineapi.Message{Role: "assistant", Content: partial})
	req.ContinueFinalMessage = true
	if req.MaxTokens > 0 {
		req.MaxTokens -= tokens
	}
	st := newStream("b", "b", req, fleet.PriorityNormal)
	for !st.generate() {
	}
	return st
}
