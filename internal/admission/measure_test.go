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
	measuredCapacity = 16
	measuredService  = 2 * time.Second
	measuredRun      = 2 * time.Hour
	// measuredUse is the use of the engine's capacity without a surge.
	measuredUse = 0.7
	workspaces  = 10
	surgeFactor = 10
)

// turn is one arrival of a recorded sequence; workspace 0 surges.
type turn struct {
	at, service time.Duration
	workspace   int
}

func recordTurns(seed int64, surging bool) []turn {
	random := rand.New(rand.NewSource(seed))
	rate := measuredUse * measuredCapacity / measuredService.Seconds() / workspaces
	var out []turn
	for w := range workspaces {
		r := rate
		if surging && w == 0 {
			r *= surgeFactor
		}
		own := rand.New(rand.NewSource(seed*100 + int64(w)))
		for at := time.Duration(0); at < measuredRun; {
			at += time.Duration(own.ExpFloat64() / r * float64(time.Second))
			service := time.Duration(random.ExpFloat64() * float64(measuredService))
			out = append(out, turn{at: at, service: service, workspace: w})
		}
	}
	slices.SortFunc(out, func(a, b turn) int { return int(a.at - b.at) })
	return out
}

// waits are the waits of workspace 1, with its refused turns.
type waits struct {
	all     []time.Duration
	refused int
}

func (w waits) String() string {
	slices.Sort(w.all)
	sum := time.Duration(0)
	for _, d := range w.all {
		sum += d
	}
	mean := sum / time.Duration(len(w.all))
	return fmt.Sprintf("mean wait %6.3fs  p95 %6.3fs  mean with service %6.3fs  refused %d of %d",
		mean.Seconds(), w.all[len(w.all)*95/100].Seconds(), (mean + measuredService).Seconds(), w.refused, w.refused+len(w.all))
}

// feed replays turns through one Scheduler. With one flow all turns count as
// one workspace, first come first served.
func feed(turns []turn, settings Settings, oneFlow bool) waits {
	s := New(settings, measuredCapacity)
	s.SetMean(at(0), 2*measuredCapacity)
	var w waits
	running := map[uint64]time.Duration{} // end of each request in flight
	next := 0
	begin := func(id uint64, now time.Duration) {
		t := turns[id]
		running[id] = now + t.service
		if t.workspace == 1 {
			w.all = append(w.all, now-t.at)
		}
	}
	apply := func(effects []Effect, now time.Duration) {
		for _, e := range effects {
			if e.Kind == Start {
				begin(e.ID, now)
			} else if turns[e.ID].workspace == 1 {
				w.refused++
			}
		}
	}
	for next < len(turns) {
		id, end := earliest(running)
		if len(running) > 0 && end <= turns[next].at {
			delete(running, id)
			apply(s.Finish(at(end), id), end)
			continue
		}
		t := turns[next]
		name := fmt.Sprint("w", t.workspace)
		if oneFlow {
			name = "all"
		}
		d := s.Offer(at(t.at), Request{ID: uint64(next), Workspace: name, Class: fleet.PriorityNormal, MayWait: true})
		if d.Verdict == Admitted {
			begin(uint64(next), t.at)
		} else if d.Verdict == Refused && t.workspace == 1 {
			w.refused++
		}
		apply(d.Effects, t.at)
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

// TestMeasureQuietWait prints the wait of a quiet workspace while another
// surges. Set VERBENATRAIL_MEASURE=1 to run it.
func TestMeasureQuietWait(t *testing.T) {
	if os.Getenv("VERBENATRAIL_MEASURE") == "" {
		t.Skip("set VERBENATRAIL_MEASURE=1 to measure")
	}
	quiet, surge := recordTurns(1, false), recordTurns(1, true)
	plain := DefaultSettings()
	plain.ReserveFactor = 0
	fmt.Println("fair, reserve, no surge          ", feed(quiet, DefaultSettings(), false))
	fmt.Println("fair, reserve, surge             ", feed(surge, DefaultSettings(), false))
	fmt.Println("fair, no reserve, no surge       ", feed(quiet, plain, false))
	fmt.Println("fair, no reserve, surge          ", feed(surge, plain, false))
	fmt.Println("first come first served, no surge", feed(quiet, plain, true))
	fmt.Println("first come first served, surge   ", feed(surge, plain, true))
}
