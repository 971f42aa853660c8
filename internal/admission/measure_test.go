package admission

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

const (
	simCapacity    = 16
	simServiceTime = 2 * time.Second
	simDuration    = 2 * time.Hour
	// baseUtilization is the utilization of the engine without a surge.
	baseUtilization = 0.7
	workspaces      = 10
	surgeFactor     = 10
)

// arrival is one request of a generated sequence; workspace 0 surges.
type arrival struct {
	at, service time.Duration
	workspace   int
}

func generateArrivals(seed int64, surging bool) []arrival {
	random := rand.New(rand.NewSource(seed))
	rate := baseUtilization * simCapacity / simServiceTime.Seconds() / workspaces
	var out []arrival
	for w := range workspaces {
		r := rate
		if surging && w == 0 {
			r *= surgeFactor
		}
		own := rand.New(rand.NewSource(seed*100 + int64(w)))
		for at := time.Duration(0); at < simDuration; {
			at += time.Duration(own.ExpFloat64() / r * float64(time.Second))
			service := time.Duration(random.ExpFloat64() * float64(simServiceTime))
			out = append(out, arrival{at: at, service: service, workspace: w})
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// waitStats holds the queueing times and refusals of workspace 1.
type waitStats struct {
	all     []time.Duration
	refused int
}

func (w waitStats) String() string {
	slices.Sort(w.all)
	sum := time.Duration(0)
	for _, d := range w.all {
		sum += d
	}
	mean := sum / time.Duration(len(w.all))
	return fmt.Sprintf("mean wait %6.3fs  p95 %6.3fs  mean with service %6.3fs  refused %d of %d",
		mean.Seconds(), w.all[len(w.all)*95/100].Seconds(), (mean + simServiceTime).Seconds(), w.refused, w.refused+len(w.all))
}

// replay runs arrivals through one Scheduler. With singleWorkspace, all arrivals
// belong to the same workspace and are served first come first served.
func replay(arrivals []arrival, settings Settings, singleWorkspace bool) waitStats {
	s := New(settings, simCapacity)
	s.SetMean(at(0), 2*simCapacity)
	var w waitStats
	running := map[uint64]time.Duration{} // end of each request in flight
	next := 0
	start := func(id uint64, now time.Duration) {
		a := arrivals[id]
		running[id] = now + a.service
		if a.workspace == 1 {
			w.all = append(w.all, now-a.at)
		}
	}
	apply := func(effects []Effect, now time.Duration) {
		for _, e := range effects {
			if e.Kind == Start {
				start(e.ID, now)
			} else if arrivals[e.ID].workspace == 1 {
				w.refused++
			}
		}
	}
	for next < len(arrivals) {
		id, end := earliest(running)
		if len(running) > 0 && end <= arrivals[next].at {
			delete(running, id)
			apply(s.Finish(at(end), id), end)
			continue
		}
		a := arrivals[next]
		name := fmt.Sprint("w", a.workspace)
		if singleWorkspace {
			name = "all"
		}
		d := s.Offer(at(a.at), Request{ID: uint64(next), Workspace: name, Class: fleet.PriorityNormal, MayWait: true})
		if d.Verdict == Admitted {
			start(uint64(next), a.at)
		} else if d.Verdict == Refused && a.workspace == 1 {
			w.refused++
		}
		apply(d.Effects, a.at)
		next++
	}
	return w
}

func earliest(running map[uint64]time.Duration) (uint64, time.Duration) {
	var first uint64
	end := time.Duration(0)
	for id, e := range running {
		if end == 0 || e < end || (e == end && id < first) {
			first, end = id, e
		}
	}
	return first, end
}

// TestMeasureQuietWait prints the queueing times of a steady workspace while
// another one surges. Set VERBENATRAIL_MEASURE=1 to run it.
func TestMeasureQuietWait(t *testing.T) {
	if os.Getenv("VERBENATRAIL_MEASURE") == "" {
		t.Skip("set VERBENATRAIL_MEASURE=1 to measure")
	}
	steady, surge := generateArrivals(1, false), generateArrivals(1, true)
	plain := DefaultSettings()
	plain.ReserveFactor = 0
	fmt.Println("fair, reserve, no surge          ", replay(steady, DefaultSettings(), false))
	fmt.Println("fair, reserve, surge             ", replay(surge, DefaultSettings(), false))
	fmt.Println("fair, no reserve, no surge       ", replay(steady, plain, false))
	fmt.Println("fair, no reserve, surge          ", replay(surge, plain, false))
	fmt.Println("first come first served, no surge", replay(steady, plain, true))
	fmt.Println("first come first served, surge   ", replay(surge, plain, true))
}
