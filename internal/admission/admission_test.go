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

// full returns a scheduler of one slot that request 1 holds.
func full(s Settings) *Scheduler {
	scheduler := New(s, 1)
	scheduler.Offer(at(0), request(1, "holder"))
	return scheduler
}

func TestLimitFollowsTheMean(t *testing.T) {
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

func TestRefusalsSayWhy(t *testing.T) {
	s := full(DefaultSettings())
	once := request(2, "a")
	once.MayWait = false
	late := request(3, "a")
	late.Deadline = at(0)
	for r, want := range map[*Request]Reason{&once: ReasonOverBound, &late: ReasonDeadline} {
		if d := s.Offer(at(0), *r); d.Verdict != Refused || d.Reason != want || d.RetryAfter <= 0 {
			t.Errorf("got %+v, want %v", d, want)
		}
	}
	if d := s.Offer(at(0), request(1, "a")); d.Reason != ReasonDuplicate {
		t.Errorf("got %+v", d)
	}
	s.Drain(at(0))
	if d := s.Offer(at(0), request(4, "a")); d.Reason != ReasonDraining {
		t.Errorf("got %+v", d)
	}
}

func TestWaitThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	s := full(DefaultSettings())
	s.Finish(at(10*time.Second), 1)
	s.Offer(at(10*time.Second), request(2, "a"))
	r := request(3, "a")
	r.Deadline = at(15 * time.Second)
	if d := s.Offer(at(11*time.Second), r); d.Reason != ReasonDeadline {
		t.Fatalf("got %+v", d)
	}
}

func TestDeadlineEndsAWait(t *testing.T) {
	s := full(DefaultSettings())
	r := request(2, "a")
	r.Deadline = at(time.Second)
	s.Offer(at(0), r)
	if next, ok := s.NextDeadline(); !ok || !next.Equal(at(time.Second)) {
		t.Fatalf("next deadline %v", next)
	}
	effects := s.Tick(at(time.Second))
	if len(effects) != 1 || effects[0].Kind != Refuse || effects[0].Reason != ReasonDeadline {
		t.Fatalf("got %+v", effects)
	}
}

func TestDrainRefusesWaitingAndKeepsRunning(t *testing.T) {
	s := full(DefaultSettings())
	s.Offer(at(0), request(2, "a"))
	effects := s.Drain(at(1))
	if len(effects) != 1 || effects[0].Reason != ReasonDraining || s.InFlight() != 1 {
		t.Fatalf("got %+v, %d in flight", effects, s.InFlight())
	}
}

func TestFullPoolRaisesTheBound(t *testing.T) {
	s := New(DefaultSettings(), 0)
	s.SetMean(at(0), 0)
	s.Offer(at(0), request(1, "a"))
	r := request(2, "a")
	r.MayWait = false
	if d := s.Offer(at(0), r); d.Verdict != Refused {
		t.Fatalf("got %+v", d)
	}
	r.PoolFull = true
	if d := s.Offer(at(0), r); d.Verdict != Admitted {
		t.Fatalf("got %+v", d)
	}
}

func TestFullPoolRaisesTheBoundStepByStep(t *testing.T) {
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
		t.Fatalf("limit %d, %d admitted", s.Limit(at(0)), admitted)
	}
	if got := s.Limit(at(2 * time.Second)); got != 9 {
		t.Fatalf("limit %d after the raise has lapsed", got)
	}
}

func TestFlexibleRequestLeavesThePlacesAboveTheMean(t *testing.T) {
	s := New(DefaultSettings(), 0)
	s.SetMean(at(0), 2)
	for id := range uint64(2) {
		s.Offer(at(0), request(id, "a"))
	}
	r := request(9, "a")
	r.MayWait, r.Flexible = false, true
	if d := s.Offer(at(0), r); d.Reason != ReasonAboveMean {
		t.Fatalf("got %+v", d)
	}
	r.Flexible = false
	if d := s.Offer(at(0), r); d.Verdict != Admitted {
		t.Fatalf("got %+v", d)
	}
}

func TestForeignLoadCountsAgainstTheBound(t *testing.T) {
	s := New(DefaultSettings(), 2)
	s.SetMean(at(0), 8)
	s.SetForeignLoad(at(0), 2)
	if d := s.Offer(at(0), request(1, "a")); d.Verdict != Queued {
		t.Fatalf("got %+v", d)
	}
	if effects := s.SetForeignLoad(at(1), 1); len(effects) != 1 || effects[0].Kind != Start {
		t.Fatalf("got %+v", effects)
	}
}

func TestSurgingWorkspaceLeavesAReserve(t *testing.T) {
	s := New(DefaultSettings(), 16)
	s.SetMean(at(0), 16)
	for id := range uint64(4) {
		s.Offer(at(0), request(id, fmt.Sprint("quiet-", id)))
	}
	for id := range uint64(20) {
		s.Offer(at(0), request(10+id, "surging"))
	}
	const reserve = 3 // 1.5 times the square root of 4
	if s.InFlight() != 16-reserve {
		t.Fatalf("%d in flight", s.InFlight())
	}
	for id := range uint64(reserve) {
		if d := s.Offer(at(0), request(100+id, "quiet-0")); d.Verdict != Admitted {
			t.Fatalf("got %+v", d)
		}
	}
}

func TestSoleWorkspaceUsesTheWholeCapacity(t *testing.T) {
	s := New(DefaultSettings(), 16)
	s.SetMean(at(0), 16)
	for id := range uint64(20) {
		s.Offer(at(0), request(id, "sole"))
	}
	if s.InFlight() != 16 {
		t.Fatalf("%d in flight", s.InFlight())
	}
}

func TestOwnBacklogDoesNotAge(t *testing.T) {
	s := full(DefaultSettings())
	for id := range uint64(40) {
		r := request(10+id, "surging")
		r.Deadline = at(time.Hour)
		s.Offer(at(0), r)
	}
	running := uint64(1)
	for second := 1; second <= 20; second++ {
		running = s.Finish(at(time.Duration(second)*time.Second), running)[0].ID
	}
	s.Offer(at(20*time.Second), request(100, "quiet"))
	effects := s.Finish(at(21*time.Second), running)
	if len(effects) != 1 || effects[0].ID != 100 {
		t.Fatalf("got %+v", effects)
	}
}

func TestFullQueueEvictsTheLongestWaitingWorkspace(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxQueue = 4
	s := full(settings)
	for id := range uint64(4) {
		s.Offer(at(0), request(10+id, "surging"))
	}
	d := s.Offer(at(0), request(20, "quiet"))
	if d.Verdict != Queued || len(d.Effects) != 1 || d.Effects[0].ID != 13 {
		t.Fatalf("got %+v", d)
	}
	if d := s.Offer(at(0), request(21, "surging")); d.Reason != ReasonQueueFull {
		t.Fatalf("got %+v", d)
	}
}

// serveAll finishes the running request n times and counts starts by prefix
// of the identifier: IDs are workspace index times 1e6 plus a sequence.
func serveAll(s *Scheduler, running uint64, n int) map[uint64]int {
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
	properties.Property("starts follow weights within one request", prop.ForAll(
		func(weightA, weightB int) bool {
			settings := DefaultSettings()
			settings.MaxQueue = 1000
			s := full(settings)
			for i := range uint64(400) {
				a, b := request(1_000_000+i, "a"), request(2_000_000+i, "b")
				a.Weight, b.Weight = weightA, weightB
				s.Offer(at(0), a)
				s.Offer(at(0), b)
			}
			const served = 120
			got := serveAll(s, 1, served)
			want := float64(served*weightA) / float64(weightA+weightB)
			return float64(got[1]) >= want-2 && float64(got[1]) <= want+2
		},
		gen.IntRange(1, 5), gen.IntRange(1, 5),
	))
	properties.TestingRun(t)
}

func TestLowClassIsServedUnderEndlessHighClass(t *testing.T) {
	s := full(DefaultSettings())
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
	t.Fatal("the low class was never served")
}

// audit replays random commands and checks what must hold after each.
type audit struct {
	s        *Scheduler
	now      time.Time
	open     map[uint64]bool // value: in flight
	foreign  int
	violated string
}

func (a *audit) apply(effects []Effect) {
	for _, e := range effects {
		running, known := a.open[e.ID]
		if !known || running {
			a.violated = fmt.Sprintf("effect %+v on a request that doesn't wait", e)
		}
		if e.Kind == Refuse {
			delete(a.open, e.ID)
			continue
		}
		a.started(e.ID)
	}
}

func (a *audit) started(id uint64) {
	a.open[id] = true
	if load := a.s.InFlight() + a.foreign; load > a.s.Limit(a.now) {
		a.violated = fmt.Sprintf("load %d over the limit of %d at a start", load, a.s.Limit(a.now))
	}
}

func (a *audit) offer(random *rand.Rand, id uint64) {
	r := Request{
		ID: id, Workspace: fmt.Sprint("w", random.Intn(4)), Weight: 1 + random.Intn(3),
		Class: fleet.Priority(random.Intn(fleet.PriorityCount)), MayWait: random.Intn(4) > 0,
		Deadline: a.now.Add(time.Duration(random.Intn(3000)) * time.Millisecond),
		PoolFull: random.Intn(10) == 0,
	}
	d := a.s.Offer(a.now, r)
	a.apply(d.Effects)
	switch d.Verdict {
	case Queued:
		a.open[id] = false
	case Admitted:
		a.started(id)
	}
}

func (a *audit) step(random *rand.Rand, id uint64) {
	a.now = a.now.Add(time.Duration(random.Intn(100)) * time.Millisecond)
	switch random.Intn(8) {
	case 0:
		a.apply(a.s.SetMean(a.now, random.Float64()*12))
	case 1:
		a.foreign = random.Intn(4)
		a.apply(a.s.SetForeignLoad(a.now, a.foreign))
	case 2:
		a.apply(a.s.Tick(a.now))
	case 3, 4:
		a.finishOldest()
	default:
		a.offer(random, id)
	}
}

func (a *audit) finishOldest() {
	if len(a.open) == 0 {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Keys(a.open)))
	delete(a.open, oldest)
	a.apply(a.s.Finish(a.now, oldest))
}

// consistent reports whether the scheduler's counts match the effects.
func (a *audit) consistent() bool {
	running := 0
	for _, r := range a.open {
		if r {
			running++
		}
	}
	return running == a.s.InFlight() && len(a.open)-running == a.s.Queued()
}

func TestBoundHoldsAtEveryAdmission(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	properties.Property("any sequence of commands keeps the bound and the counts", prop.ForAll(
		func(seed int64, capacity int) (string, error) {
			random := rand.New(rand.NewSource(seed))
			settings := DefaultSettings()
			settings.MaxQueue = 8
			a := &audit{s: New(settings, capacity), now: at(0), open: make(map[uint64]bool)}
			for id := range uint64(400) {
				a.step(random, id)
				if a.violated != "" || !a.consistent() {
					return "step " + fmt.Sprint(id) + " " + a.violated, nil
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
