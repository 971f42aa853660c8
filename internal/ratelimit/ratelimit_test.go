package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/verbenatrail/verbenatrail/internal/overload"
)

var start = time.Unix(1_800_000_000, 0)

func limits(rates ...float64) []Limit {
	var out []Limit
	for i, rate := range rates {
		out = append(out, Limit{Instance: uint32(i + 1), Rate: rate})
	}
	return out
}

// Whatever is asked, the permits of an instance in any span are at most those of the
// package's guarantee. Rates change and requests come in bursts.
func TestPermitsStayWithinTheGuarantee(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("pace", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 2))
		instances := limits(0.2+random.Float64()*5, 0.2+random.Float64()*50)
		highest := []float64{instances[0].Rate, instances[1].Rate}
		granted := make(map[uint32][]time.Time)
		a, now := NewAllocator(), start
		for range 600 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(40*time.Millisecond)))
			if random.IntN(100) == 0 {
				now = now.Add(5 * time.Second)
			}
			if i := random.IntN(2); random.IntN(50) == 0 {
				instances[i].Rate = max(highest[i]*random.Float64(), 0.2)
			}
			r := Request{
				Preferred: instances[:1+random.IntN(2)], Last: random.IntN(2) == 0, Workspace: fmt.Sprint(random.IntN(3)),
				MaxWait: time.Duration(random.IntN(300)) * time.Millisecond, Random: random.Float64(),
			}
			if d := a.Decide(now, r); d.Granted {
				granted[d.Limit.Instance] = append(granted[d.Limit.Instance], now.Add(d.Wait))
			}
		}
		return withinPace(granted[1], highest[0]) && withinPace(granted[2], highest[1])
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func withinPace(times []time.Time, rate float64) bool {
	slices.SortFunc(times, time.Time.Compare)
	for i := range times {
		for j := i; j < len(times); j++ {
			allowed := rate*times[j].Sub(times[i]).Seconds() + 1 + max(1, rate*BurstTime.Seconds())
			if float64(j-i+1) > allowed+1e-6 {
				return false
			}
		}
	}
	return true
}

// A router that takes over begins with nothing saved: the one before may have granted a
// permit a moment ago.
func TestNewAllocatorHasNoSavedPermits(t *testing.T) {
	const rate = 2
	a := NewAllocator()
	r := Request{Preferred: limits(rate), MaxWait: 10 * time.Millisecond}
	if d := a.Decide(start, r); d.Granted || d.Next != time.Second/rate-r.MaxWait {
		t.Errorf("%+v", d)
	}
	if d := a.Decide(start.Add(time.Second/rate), r); !d.Granted || d.Wait != 0 {
		t.Errorf("%+v after one interval", d)
	}
}

// An instance that had a very low limit is used soon after it names a higher one.
func TestHigherRateIsUsedAtOnce(t *testing.T) {
	a := NewAllocator()
	a.Decide(start, Request{Preferred: limits(0.2)})
	if d := a.Decide(start.Add(time.Millisecond), Request{Preferred: limits(50), MaxWait: 50 * time.Millisecond}); !d.Granted {
		t.Errorf("%+v", d)
	}
}

// While demand is twice what the limits allow, nearly all of it is used.
func TestLimitsAreUsedWhileDemandExceedsThem(t *testing.T) {
	for _, rates := range [][]float64{{0.5, 0.5}, {1, 2, 3, 4, 5}, {50}} {
		random := rand.New(rand.NewPCG(1, 1))
		sum := 0.0
		for _, rate := range rates {
			sum += rate
		}
		const seconds = 60
		granted := 0
		a, now := NewAllocator(), start
		for now.Before(start.Add(seconds * time.Second)) {
			now = now.Add(time.Duration(random.ExpFloat64() / (2 * sum) * float64(time.Second)))
			if a.Decide(now, Request{Preferred: limits(rates...), Last: true, MaxWait: 100 * time.Millisecond, Random: random.Float64()}).Granted {
				granted++
			}
		}
		if use := float64(granted) / (sum * seconds); use < 0.85 {
			t.Errorf("%v: %.2f of the limits were used", rates, use)
		}
	}
}

// Calls that can wait longer, and a workspace that sends most of the calls, leave permits
// to the others.
func TestNobodyIsStarved(t *testing.T) {
	const rate, seconds = 20, 60
	random := rand.New(rand.NewPCG(2, 2))
	asked, granted := make(map[string]int), make(map[string]int)
	a, now := NewAllocator(), start
	for now.Before(start.Add(seconds * time.Second)) {
		now = now.Add(time.Duration(random.ExpFloat64() / (4 * rate) * float64(time.Second)))
		r := Request{Preferred: limits(rate), Last: true, Workspace: "small", MaxWait: 30 * time.Millisecond, Random: random.Float64()}
		switch kind := random.IntN(10); {
		case kind < 6:
			r.Workspace, r.MaxWait = "hot", 500*time.Millisecond
		case kind < 8:
			r.MaxWait = 500 * time.Millisecond
		}
		name := fmt.Sprint(r.Workspace, " ", r.MaxWait)
		asked[name]++
		if a.Decide(now, r).Granted {
			granted[name]++
		}
	}
	share := func(name string) float64 { return float64(granted[name]) / float64(asked[name]) }
	t.Logf("granted: hot %.2f, small and patient %.2f, small and impatient %.2f", share("hot 500ms"), share("small 500ms"), share("small 30ms"))
	if share("small 30ms") < 0.8*share("small 500ms") {
		t.Error("calls that can wait longer take the permits of those that can't")
	}
	if share("small 30ms") <= share("hot 500ms") || share("hot 500ms") == 0 {
		t.Error("permits are not shared fairly among the workspaces")
	}
}

// The preferred instance is awaited for a moment; otherwise the permit that is due first
// decides.
func TestPreferenceYieldsToTheEarlierPermit(t *testing.T) {
	a := NewAllocator()
	r := Request{Preferred: limits(1, 10), Last: true, MaxWait: 200 * time.Millisecond}
	a.Decide(start, r)
	if d := a.Decide(start.Add(990*time.Millisecond), r); !d.Granted || d.Limit.Instance != 1 || d.Wait != 10*time.Millisecond {
		t.Errorf("%+v, want the preferred instance after 10 ms", d)
	}
	if d := a.Decide(start.Add(991*time.Millisecond), r); !d.Granted || d.Limit.Instance != 2 {
		t.Errorf("%+v, want the other instance", d)
	}
}

// A call that is denied learns when a permit is due, and no permit is spent on it.
func TestDeniedCallSpendsNothing(t *testing.T) {
	a := NewAllocator()
	r := Request{Preferred: limits(1), MaxWait: 100 * time.Millisecond}
	for range 5 {
		if d := a.Decide(start, r); d.Granted || d.Next != 900*time.Millisecond || d.Share != overload.Even {
			t.Fatalf("%+v", d)
		}
	}
}

// A workspace beyond its fair share gets a permit that is free, although the preferred
// instance's is due a moment later.
func TestSurplusCallTakesAFreePermit(t *testing.T) {
	a, now := NewAllocator(), start
	surplus := Request{Preferred: limits(1), Last: true, Workspace: "hot", MaxWait: 200 * time.Millisecond, Random: 0.9}
	other := surplus
	other.Workspace, other.Random = "small", 0
	// From one second on, permits are short.
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for range 4 {
			a.Decide(now, surplus)
		}
		a.Decide(now, other)
	}
	free := Limit{Instance: 2, Rate: 10}
	a.schedule(now, free)
	for due := a.schedule(now, limits(1)[0]).due(now); due > surplus.MaxWait/preferredWaitDivisor; due -= 10 * time.Millisecond {
		now = now.Add(10 * time.Millisecond)
	}
	surplus.Others = []Limit{free}
	if d := a.Decide(now, surplus); !d.Granted || d.Limit != free || d.Wait != 0 || d.Share != overload.Surplus {
		t.Errorf("%+v, want the free permit of the other instance for a surplus call", d)
	}
}
