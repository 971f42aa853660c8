package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestManualClockRunsTimersInOrder(t *testing.T) {
	clock := NewManualClock(start)
	var ran []string
	clock.AfterFunc(2*time.Second, func() { ran = append(ran, "second") })
	clock.AfterFunc(time.Second, func() {
		ran = append(ran, "first")
		clock.AfterFunc(500*time.Millisecond, func() { ran = append(ran, "nested") })
	})
	stopped := clock.AfterFunc(time.Second, func() { ran = append(ran, "stopped") })
	if !stopped.Stop() || stopped.Stop() {
		t.Fatal("Stop must report true only on the first call")
	}
	clock.Advance(2 * time.Second)
	if got := strings.Join(ran, " "); got != "first nested second" {
		t.Fatalf("order of timers %q", got)
	}
	if clock.Pending() != 0 || !clock.Now().Equal(start.Add(2*time.Second)) {
		t.Fatalf("%d timers pending at %s", clock.Pending(), clock.Now())
	}
}

func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	clock := NewManualClock(start)
	if err := Sleep(ctx, clock, time.Hour); err == nil || clock.Pending() != 0 {
		t.Fatalf("error %v, %d timers pending", err, clock.Pending())
	}
}

func TestLaggedShowsOldVersion(t *testing.T) {
	value := NewLagged(2*time.Second, "a")
	value.Set(start, "b")
	value.Set(start.Add(time.Second), "c")
	for _, want := range []struct {
		after time.Duration
		value string
	}{{time.Second, "a"}, {2 * time.Second, "b"}, {3 * time.Second, "c"}} {
		if got := value.Visible(start.Add(want.after)); got != want.value {
			t.Errorf("after %s: got %q, want %q", want.after, got, want.value)
		}
	}
}

type testFaults struct {
	Outage Outage   `json:"outage"`
	Names  []string `json:"names"`
	Count  int      `json:"count"`
}

func TestPostChangesOnlyGivenFaults(t *testing.T) {
	var faults FaultConfig[testFaults]
	faults.Update(func(f *testFaults) { f.Names, f.Count = []string{"a", "b"}, 3 })
	before := faults.Get()
	if status := post(&faults, `{"names":["c"]}`); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	after := faults.Get()
	if before.Names[0] != "a" || after.Names[0] != "c" || after.Count != 3 {
		t.Fatalf("before %+v, after %+v", before, after)
	}
	if status := post(&faults, `{"nmaes":[]}`); status != http.StatusBadRequest {
		t.Fatalf("unknown field: status %d", status)
	}
}

func post(handler http.Handler, body string) int {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, PathFaults, strings.NewReader(body)))
	return recorder.Code
}
