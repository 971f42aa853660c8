package retry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var testWindow = WindowSettings{Ratio: 0.2, Extra: 56, Length: 10 * time.Second}

// step is one event at one daemon.
type step struct {
	daemon int
	retry  bool
	pause  time.Duration
}

// For any order of requests and retries at any number of daemons, the total number
// of retries stays within the fleet's budget in every window.
func TestWindowsKeepFleetBudget(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(2)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("sum over all daemons", prop.ForAll(
		func(daemons int, codes []uint8) bool { return keepsBudget(daemons, steps(daemons, codes)) },
		gen.IntRange(1, 31), gen.SliceOfN(600, gen.UInt8()),
	))
	properties.TestingRun(t)
}

// steps decodes random bytes into events: a byte and its position select the daemon,
// its low bits the kind and the pause.
func steps(daemons int, codes []uint8) []step {
	out := make([]step, 0, len(codes))
	for i, code := range codes {
		out = append(out, step{
			daemon: (int(code) + i) % daemons, retry: code%4 != 0, pause: time.Duration(code%16) * 20 * time.Millisecond,
		})
	}
	return out
}

func keepsBudget(daemons int, steps []step) bool {
	windows := make([]*Window, daemons)
	for i := range windows {
		windows[i] = NewWindow(testWindow)
	}
	now := start
	var requests, retries []time.Time
	for _, s := range steps {
		now = now.Add(s.pause)
		switch {
		case !s.retry:
			windows[s.daemon].AddRequest(now)
			requests = append(requests, now)
		case windows[s.daemon].Take(now, daemons, HighPriority):
			retries = append(retries, now)
		}
		from := now.Add(-testWindow.Length)
		allowed := testWindow.Ratio*float64(len(after(requests, from))) + testWindow.Extra
		if float64(len(after(retries, from))) > allowed {
			return false
		}
	}
	return true
}

func TestLowPriorityRetriesLeaveRoomForHighPriority(t *testing.T) {
	w := NewWindow(testWindow)
	lowPriority := 0
	for w.Take(start, 1, LowPriority) {
		lowPriority++
	}
	if lowPriority == 0 || !w.Take(start, 1, HighPriority) {
		t.Errorf("%d low-priority retries, and no high-priority one after them", lowPriority)
	}
}

func TestWindowExpiresRetries(t *testing.T) {
	w := NewWindow(testWindow)
	for w.Take(start, 1, HighPriority) {
	}
	if !w.Take(start.Add(testWindow.Length+time.Millisecond), 1, HighPriority) {
		t.Error("retries of an earlier window still count")
	}
}

func TestShareDependsOnNumberOfDaemons(t *testing.T) {
	alone, many := NewWindow(testWindow), NewWindow(testWindow)
	count := func(w *Window, daemons int) (n int) {
		for w.Take(start, daemons, HighPriority) {
			n++
		}
		return n
	}
	if a, b := count(alone, 1), count(many, 31); 31*b > a+31 {
		t.Errorf("one daemon alone: %d retries, one of 31: %d", a, b)
	}
}
