package admission

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func request(id uint64, workspace string) Request {
	return Request{ID: id, Workspace: workspace, Class: fleet.PriorityNormal, MayWait: true}
}

// newFullScheduler returns a scheduler with one slot, taken by request 1.
func newFullScheduler(s Settings) *Scheduler {
	scheduler := New(s, 1)
	scheduler.Offer(at(0), request(1, "holder"))
	return scheduler
}

func TestLimitFollowsMean(t *testing.T) {
	cases := []struct {
		mean     float64
		capacity int
		limit    int
	}{{0, 0, 1}, {0.4, 0, 1}, {1.2, 0, 2}, {3.9, 0, 4}, {4, 0, 5}, {20, 0, 22}, {20, 8, 8}, {-3, 0, 1}}
	for _, c := range cases {
		s := New(DefaultSettings(), c.capacity)
		s.SetMean(at(0), c.mean)
		if got := s.Limit(at(0)); got != c.limit {
			t.Errorf("mean %v, capacity %d: limit %d, want %d", c.mean, c.capacity, got, c.limit)
		}
	}
}

func TestRefusalReasons(t *testing.T) {
	s := newFullScheduler(DefaultSettings())
	noWait := request(2, "a")
	noWait.MayWait = false
	expired := request(3, "a")
	expired.Deadline = at(0)
	for r, want := range map[*Request]Reason{&noWait: ReasonOverBound, &expired: ReasonDeadline} {
		if d := s.Offer(at(0), *r); d.Verdict != Refused || d.Reason != want || d.RetryAfter <= 0 {
			t.Errorf("got %+v, want %v", d, want)
		}
	}
	if d := s.Offer(at(0), request(1, "a")); d.Reason != ReasonDuplicate {
		t.Errorf("offer with a running request's ID: got %+v, want a duplicate", d)
	}
	s.Drain(at(0))
	if d := s.Offer(at(0), request(4, "a")); d.Reason != ReasonDraining {
		t.Errorf("offer while draining: got %+v, want a refusal", d)
	}
}

func TestRequestThatWouldMissDeadlineIsRefusedImmediately(t *testing.T) {
	s := newFullScheduler(DefaultSettings())
	s.Finish(at(10*time.Second), 1)
	s.Offer(at(10*time.Second), request(2, "a"))
	r := request(3, "a")
	r.Deadline = at(15 * time.Second)
	if d := s.Offer(at(11*time.Second), r); d.Reason != ReasonDeadline {
		t.Fatalf("expected start is after the deadline: got %+v, want a refusal", d)
	}
}

func TestQueuedRequestIsRefusedAtDeadline(t *testing.T) {
	s := newFullScheduler(DefaultSettings())
	r := request(2, "a")
	r.Deadline = at(time.Second)
	s.Offer(at(0), r)
	if next, ok := s.NextDeadline(); !ok || !next.Equal(at(time.Second)) {
		t.Fatalf("next deadline %v, want 1 s after the start", next)
	}
	effects := s.Tick(at(time.Second))
	if len(effects) != 1 || effects[0].Kind != Refuse || effects[0].Reason != ReasonDeadline {
		t.Fatalf("effects at the deadline: got %+v, want one refusal", effects)
	}
}

func TestDrainRefusesQueuedAndKeepsRunning(t *testing.T) {
	s := newFullScheduler(DefaultSettings())
	s.Offer(at(0), request(2, "a"))
	effects := s.Drain(at(1))
	if len(effects) != 1 || effects[0].Reason != ReasonDraining || s.InFlight() != 1 {
		t.Fatalf("effects of the drain: got %+v, want one refusal; %d in flight, want 1", effects, s.InFlight())
	}
}

func TestFullPoolRaisesLimit(t *testing.T) {
	s := New(DefaultSettings(), 0)
	s.SetMean(at(0), 0)
	s.Offer(at(0), request(1, "a"))
	r := request(2, "a")
	r.MayWait = false
	if d := s.Offer(at(0), r); d.Verdict != Refused {
		t.Fatalf("at the limit: got %+v, want a refusal", d)
	}
	r.PoolFull = true
	if d := s.Offer(at(0), r); d.Verdict != Admitted {
		t.Fatalf("with the pool full: got %+v, want an admission", d)
	}
}

func TestFullPoolRaisesLimitStepwise(t *testing.T) {
	s := New(DefaultSettings(), 0)
	s.SetMean(at(0), 8)
	admitted := 0
	for id := range uint64(30) {
		r := request(id, "a")
		r.MayWait, r.PoolFull = false, true
		if s.Offer(at(0), r).Verdict == Admitted {
			admitted++
		}
	}
	if limit := 10; s.Limit(at(0)) != limit || admitted != limit {
		t.Fatalf("limit %d, %d admitted; want 10 of both", s.Limit(at(0)), admitted)
	}
	if got := s.Limit(at(2 * time.Second)); got != 9 {
		t.Fatalf("limit %d after the raise has expired, want 9", got)
	}
}

func TestFlexibleRequestLeavesSlotsAboveMean(t *testing.T) {
	s := New(DefaultSettings(), 0)
	s.SetMean(at(0), 2)
	for id := range uint64(2) {
		s.Offer(at(0), request(id, "a"))
	}
	r := request(9, "a")
	r.MayWait, r.Flexible = false, true
	if d := s.Offer(at(0), r); d.Reason != ReasonAboveMean {
		t.Fatalf("flexible request at the mean: got %+v, want a refusal", d)
	}
	r.Flexible = false
	if d := s.Offer(at(0), r); d.Verdict != Admitted {
		t.Fatalf("other request at the mean: got %+v, want an admission", d)
	}
}

func TestForeignLoadCountsAgainstLimit(t *testing.T) {
	s := New(DefaultSettings(), 2)
	s.SetMean(at(0), 8)
	s.SetForeignLoad(at(0), 2)
	if d := s.Offer(at(0), request(1, "a")); d.Verdict != Queued {
		t.Fatalf("at the capacity: got %+v, want the request queued", d)
	}
	if effects := s.SetForeignLoad(at(1), 1); len(effects) != 1 || effects[0].Kind != Start {
		t.Fatalf("effects of less foreign load: got %+v, want one start", effects)
	}
}

func TestSurgingWorkspaceLeavesReserve(t *testing.T) {
	s := New(DefaultSettings(), 16)
	s.SetMean(at(0), 16)
	for id := range uint64(4) {
		s.Offer(at(0), request(id, fmt.Sprint("steady-", id)))
	}
	for id := range uint64(20) {
		s.Offer(at(0), request(10+id, "surging"))
	}
	const reserve = 3 // 1.5 times the square root of 4
	if s.InFlight() != 16-reserve {
		t.Fatalf("%d in flight, want 13", s.InFlight())
	}
	for id := range uint64(reserve) {
		if d := s.Offer(at(0), request(100+id, "steady-0")); d.Verdict != Admitted {
			t.Fatalf("request of a steady workspace: got %+v, want an admission", d)
		}
	}
}

func TestSingleWorkspaceUsesFullCapacity(t *testing.T) {
	s := New(DefaultSettings(), 16)
	s.SetMean(at(0), 16)
	for id := range uint64(20) {
		s.Offer(at(0), request(id, "single"))
	}
	if s.InFlight() != 16 {
		t.Fatalf("%d in flight, want 16", s.InFlight())
	}
}

func TestOwnBacklogDoesNotAge(t *testing.T) {
	s := newFullScheduler(DefaultSettings())
	for id := range uint64(40) {
		r := request(10+id, "surging")
		r.Deadline = at(time.Hour)
		s.Offer(at(0), r)
	}
	running := uint64(1)
	for second := 1; second <= 20; second++ {
		running = s.Finish(at(time.Duration(second)*time.Second), running)[0].ID
	}
	s.Offer(at(20*time.Second), request(100, "steady"))
	effects := s.Finish(at(21*time.Second), running)
	if len(effects) != 1 || effects[0].ID != 100 {
		t.Fatalf("effects: got %+v, want a start of request 100", effects)
	}
}

func TestFullQueueEvictsFromLargestBacklog(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxQueue = 4
	s := newFullScheduler(settings)
	for id := range uint64(4) {
		s.Offer(at(0), request(10+id, "surging"))
	}
	d := s.Offer(at(0), request(20, "steady"))
	if d.Verdict != Queued || len(d.Effects) != 1 || d.Effects[0].ID != 13 {
		t.Fatalf("steady workspace: got %+v, want it queued and request 13 evicted", d)
	}
	if d := s.Offer(at(0), request(21, "surging")); d.Reason != ReasonQueueFull {
		t.Fatalf("surging workspace: got %+v, want a refusal", d)
	}
}

// countStarts finishes the running request n times and counts the started
// requests by workspace. IDs are the workspace index times 1e6 plus a sequence
// number.
func countStarts(s *Scheduler, running uint64, n int) map[uint64]int {
	counts := make(map[uint64]int)
	for i := range n {
		for _, e := range s.Finish(at(time.Duration(i)*time.Millisecond), running) {
			counts[e.ID/1_000_000]++
			running = e.ID
		}
	}
	return counts
}

func TestBackloggedWorkspacesShareByWeight(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("starts are proportional to weights within two requests", prop.ForAll(
		func(weightA, weightB int) bool {
			settings := DefaultSettings()
			settings.MaxQueue = 1000
			s := newFullScheduler(settings)
			for i := range uint64(400) {
				a, b := request(1_000_000+i, "a"), request(2_000_000+i, "b")
				a.Weight, b.Weight = weightA, weightB
				s.Offer(at(0), a)
				s.Offer(at(0), b)
			}
			const served = 120
			got := countStarts(s, 1, served)
			want := float64(served*weightA) / float64(weightA+weightB)
			return float64(got[1]) >= want-2 && float64(got[1]) <= want+2
		},
		gen.IntRange(1, 5), gen.IntRange(1, 5),
	))
	properties.TestingRun(t)
}

func TestLowClassIsNotStarvedByHighClass(t *testing.T) {
	s := newFullScheduler(DefaultSettings())
	low := request(2, "low")
	low.Class = fleet.PriorityLow
	low.Deadline = at(time.Hour)
	s.Offer(at(0), low)
	running, next := uint64(1), uint64(100)
	for i := range 60 {
		now := at(time.Duration(i) * time.Second)
		for range 3 {
			high := request(next, fmt.Sprint("high-", next%2))
			high.Class = fleet.PriorityHigh
			s.Offer(now, high)
			next++
		}
		for _, e := range s.Finish(now, running) {
			if e.Kind == Start {
				running = e.ID
			}
		}
		if running == 2 {
			return
		}
	}
	t.Fatal("the request of the low class was not started within 60 s")
}

// checker calls random methods of a Scheduler and checks its invariants after
// each call.
type checker struct {
	s         *Scheduler
	now       time.Time
	open      map[uint64]bool // by request ID; true if in flight, false if queued
	foreign   int
	violation string
}

func (c *checker) apply(effects []Effect) {
	for _, e := range effects {
		running, known := c.open[e.ID]
		if !known || running {
			c.violation = fmt.Sprintf("effect %+v on a request that is not queued", e)
		}
		if e.Kind == Refuse {
			delete(c.open, e.ID)
			continue
		}
		c.started(e.ID)
	}
}

func (c *checker) started(id uint64) {
	c.open[id] = true
	if load := c.s.InFlight() + c.foreign; load > c.s.Limit(c.now) {
		c.violation = fmt.Sprintf("load %d exceeds the limit of %d at a start", load, c.s.Limit(c.now))
	}
}

func (c *checker) offer(random *rand.Rand, id uint64) {
	r := Request{
		ID: id, Workspace: fmt.Sprint("w", random.Intn(4)), Weight: 1 + random.Intn(3),
		Class: fleet.Priority(random.Intn(fleet.PriorityCount)), MayWait: random.Intn(4) > 0,
		Deadline: c.now.Add(time.Duration(random.Intn(3000)) * time.Millisecond),
		PoolFull: random.Intn(10) == 0,
	}
	d := c.s.Offer(c.now, r)
	c.apply(d.Effects)
	switch d.Verdict {
	case Queued:
		c.open[id] = false
	case Admitted:
		c.started(id)
	}
}

func (c *checker) step(random *rand.Rand, id uint64) {
	c.now = c.now.Add(time.Duration(random.Intn(100)) * time.Millisecond)
	switch random.Intn(8) {
	case 0:
		c.apply(c.s.SetMean(c.now, random.Float64()*12))
	case 1:
		c.foreign = random.Intn(4)
		c.apply(c.s.SetForeignLoad(c.now, c.foreign))
	case 2:
		c.apply(c.s.Tick(c.now))
	case 3, 4:
		c.finishOldest()
	default:
		c.offer(random, id)
	}
}

func (c *checker) finishOldest() {
	if len(c.open) == 0 {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Keys(c.open)))
	delete(c.open, oldest)
	c.apply(c.s.Finish(c.now, oldest))
}

// consistent reports whether the scheduler's counts match its decisions and
// effects.
func (c *checker) consistent() bool {
	running := 0
	for _, r := range c.open {
		if r {
			running++
		}
	}
	return running == c.s.InFlight() && len(c.open)-running == c.s.Queued()
}

func TestLimitHoldsAtEveryAdmission(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	properties.Property("limit and counts hold after any sequence of calls", prop.ForAll(
		func(seed int64, capacity int) (string, error) {
			random := rand.New(rand.NewSource(seed))
			settings := DefaultSettings()
			settings.MaxQueue = 8
			c := &checker{s: New(settings, capacity), now: at(0), open: make(map[uint64]bool)}
			for id := range uint64(400) {
				c.step(random, id)
				if c.violation != "" || !c.consistent() {
					return "step " + fmt.Sprint(id) + " " + c.violation, nil
				}
			}
			return "", nil
		},
		gen.Int64(), gen.IntRange(0, 20),
	))
	properties.TestingRun(t)
}

func BenchmarkOfferAndFinish(b *testing.B) {
	for _, queued := range []int{0, 32, 256} {
		b.Run(fmt.Sprint(queued, "waiting"), func(b *testing.B) {
			s := New(DefaultSettings(), 32)
			s.SetMean(at(0), 32)
			for id := range uint64(32 + queued) {
				r := request(id, fmt.Sprint("w", id%10))
				r.Deadline = at(time.Hour)
				s.Offer(at(0), r)
			}
			running := uint64(0)
			b.ReportAllocs()
			for i := range b.N {
				r := request(uint64(1000+i), "w1")
				r.Deadline = at(time.Hour)
				s.Offer(at(0), r)
				effects := s.Finish(at(0), running)
				running = uint64(1000 + i)
				if len(effects) > 0 {
					running = effects[0].ID
				}
			}
		})
	}
}
