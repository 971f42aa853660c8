package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_800_000_000, 0)

const (
	testSlots     = 6
	testService   = 60 * time.Millisecond
	testObjective = 300 * time.Millisecond
	testTimeout   = 3 * time.Second
)

// measured returns a service whose instances work on a call for testService.
func measured() *Service {
	s := NewService()
	for range 50 {
		s.RecordAnswer(testService, 0, testSlots)
	}
	return s
}

func firstCall(workspace string) Call {
	return Call{Workspace: workspace, Objective: testObjective, TimeLeft: testTimeout, Random: 0.5}
}

// limitOf returns the number of calls at an instance from which on a call is rejected.
func limitOf(s *Service, now time.Time, c Call) int {
	for load := range 1000 {
		if !s.Decide(now, c, load, testSlots).Admitted {
			return load
		}
	}
	return 1000
}

// Whatever a router has seen, a call isn't rejected while a slot is free, and what
// rejected callers are told is within the third of their time that they wait.
func TestFreeSlotsAndReturnTimes(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("bounds", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		s, now := NewService(), start
		for range 300 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			if random.IntN(2) == 0 {
				s.RecordAnswer(time.Duration(random.IntN(1000))*time.Millisecond, random.IntN(40), random.IntN(12))
				continue
			}
			c := Call{
				Workspace: fmt.Sprint(random.IntN(4) * random.IntN(4)), Objective: time.Duration(random.IntN(1000)) * time.Millisecond,
				TimeLeft: time.Duration(60+random.IntN(5000)) * time.Millisecond, Random: random.Float64(),
			}
			load, slots := random.IntN(40), 1+random.IntN(12)
			d := s.Decide(now, c, load, slots)
			if !d.Admitted && (load < slots || d.RetryAfter < minReturn) {
				return false
			}
			if !d.Admitted && d.RetryAfter > max(min(c.TimeLeft, c.Objective)/3, minReturn) {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// Before the time of a call is known, and for calls without an objective, nothing is
// rejected.
func TestUnknownTimesRejectNothing(t *testing.T) {
	if d := NewService().Decide(start, firstCall("w"), 500, testSlots); !d.Admitted {
		t.Errorf("%+v", d)
	}
	c := firstCall("w")
	c.Objective = 0
	if d := measured().Decide(start, c, 500, testSlots); !d.Admitted {
		t.Errorf("%+v", d)
	}
}

// The queue that a call is admitted to is worked off within a share of its objective,
// so that calls with a longer objective find a longer one.
func TestQueueFollowsObjective(t *testing.T) {
	want := int(testSlots * queueShare * float64(testObjective) / float64(testService))
	if got := limitOf(measured(), start, firstCall("w")); got != want {
		t.Errorf("limit %d, want %d", got, want)
	}
	patient := firstCall("w")
	patient.Objective = 2 * testObjective
	if got := limitOf(measured(), start, patient); got != 2*want {
		t.Errorf("limit %d with twice the objective, want %d", got, 2*want)
	}
}

// The time in an instance's queue doesn't count as the time that a call takes, and
// single long calls have little effect.
func TestServiceTimeExcludesTheQueue(t *testing.T) {
	s := measured()
	for range 50 {
		s.RecordAnswer(5*testService, 5*testSlots-1, testSlots)
	}
	s.RecordAnswer(100*testService, 0, testSlots)
	if got := s.Decide(start, firstCall("w"), 0, testSlots).ServiceTime; got < testService || got > testService*11/10 {
		t.Errorf("service time %v, want about %v", got, testService)
	}
}

// Instances that become slower get a shorter queue.
func TestSlowInstancesGetAShorterQueue(t *testing.T) {
	s := measured()
	c := firstCall("w")
	c.Objective *= 2
	before := limitOf(s, start, c)
	for range 100 {
		s.RecordAnswer(2*testService, 0, testSlots)
	}
	if got := limitOf(s, start, c); got > before*6/10 {
		t.Errorf("limit %d at half the speed, had %d", got, before)
	}
}

// Rejected callers return at different moments, and soon enough to be answered within
// their objective.
func TestReturnTimes(t *testing.T) {
	seen := map[time.Duration]bool{}
	for _, random := range []float64{0.01, 0.5, 0.99} {
		c := firstCall("w")
		c.Random = random
		after := ReturnAfter(c)
		if after < testObjective/10 || after > testObjective/3 {
			t.Errorf("returns after %v with an objective of %v", after, testObjective)
		}
		seen[after] = true
	}
	if len(seen) != 3 {
		t.Errorf("callers return at %d different moments of 3", len(seen))
	}
}

// One workspace sends most of the calls while a third are rejected: its surplus gets no
// queue, the others keep theirs.
func TestHotWorkspaceLosesItsSurplus(t *testing.T) {
	s := measured()
	now := start
	for i := range 600 {
		now = now.Add(10 * time.Millisecond)
		workspace := fmt.Sprintf("w-%d", i%10)
		if i%2 == 0 {
			workspace = "hot"
		}
		load := 0
		if i%3 == 0 {
			load = 100
		}
		s.Decide(now, firstCall(workspace), load, testSlots)
	}
	surplus, others := firstCall("hot"), firstCall("w-1")
	surplus.Random = 0.999
	if d := s.Decide(now, surplus, testSlots, testSlots); d.Admitted || d.Share != Surplus {
		t.Errorf("hot workspace: %+v", d)
	}
	limit := limitOf(measured(), start, others)
	if d := s.Decide(now, others, limit, testSlots); !d.Admitted || d.Share != Protected {
		t.Errorf("other workspace: %+v", d)
	}
}

// Without rejections, no workspace is beyond its share, however large.
func TestLargeWorkspaceIsNotHotWhileThereIsRoom(t *testing.T) {
	s := measured()
	now := start
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		s.Decide(now, firstCall("large"), 0, testSlots)
	}
	if d := s.Decide(now, firstCall("large"), testSlots, testSlots); d.Share != Even || !d.Admitted {
		t.Errorf("%+v", d)
	}
}

func TestMaxMinFairShare(t *testing.T) {
	s := NewShares()
	for workspace, calls := range map[string]int{"a": 1, "b": 3, "c": 16} {
		for range calls {
			s.RecordDemand(start, workspace)
		}
	}
	for range 10 {
		s.RecordAdmitted(start)
	}
	if fair, highest := s.fairShare(); fair != 6 || highest != 16 {
		t.Errorf("fair share %v of a demand of at most %v, want 6 and 16", fair, highest)
	}
}

func ExampleService_Decide() {
	s := measured()
	for _, load := range []int{5, 9, 10} {
		d := s.Decide(start, firstCall("w"), load, testSlots)
		fmt.Println(load, d.Admitted, d.Limit, d.RetryAfter)
	}
	// Output:
	// 5 true 10 0s
	// 9 true 10 0s
	// 10 false 10 66.666666ms
}
