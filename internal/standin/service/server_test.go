package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a service behind a test HTTP server.
type fixture struct {
	t      *testing.T
	server *Server
	client *http.Client
	url    string
}

func newFixture(t *testing.T, change func(*Config)) *fixture {
	cfg := DefaultConfig()
	cfg.ExecutionTime = 0
	if change != nil {
		change(&cfg)
	}
	server := New(cfg)
	web := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		web.Close()
	})
	return &fixture{t: t, server: server, client: web.Client(), url: web.URL}
}

// confirm sends one action and returns the status, or 0 when the connection
// failed or timed out.
func (f *fixture) confirm(key string, body string) int {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.url+"/v1/hires/confirm", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set(HeaderIdempotencyKey, key)
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

func TestExecutionsAreCountedByKeyAndPath(t *testing.T) {
	f := newFixture(t, nil)
	for _, key := range []string{"k1", "k1", "k2"} {
		f.confirm(key, "{}")
	}
	resp, err := f.client.Get(f.url + PathExecutions + "?key=k1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var got Executions
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	want := Execution{Key: "k1", Method: http.MethodPost, Path: "/v1/hires/confirm", Count: 2}
	if got.Total != 2 || len(got.Executions) != 1 || got.Executions[0] != want {
		t.Fatalf("got %+v", got)
	}
	if all := f.server.AllExecutions(); all.Total != 3 || len(all.Executions) != 2 {
		t.Fatalf("all %+v", all)
	}
}

func TestCountedFaults(t *testing.T) {
	for _, tc := range []struct {
		name     string
		set      func(*Faults)
		status   int
		executed int64
	}{
		{"refuse before", func(v *Faults) { v.RefuseBefore = 1 }, 0, 0},
		{"lose reply", func(v *Faults) { v.LoseReplies = 1 }, 0, 1},
		{"hang", func(v *Faults) { v.Hang = 1 }, 0, 0},
		{"hang after", func(v *Faults) { v.HangAfter = 1 }, 0, 1},
		{"error", func(v *Faults) { v.Errors, v.ErrorStatus = 1, 502 }, 502, 0},
		{"error after", func(v *Faults) { v.ErrorsAfter = 1 }, 500, 1},
		{"outage", func(v *Faults) { v.Outage = standin.OutageRefuse }, 503, 0},
		{"other path", func(v *Faults) { v.Errors, v.PathPrefix = 1, "/other" }, 200, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.client.Timeout = 200 * time.Millisecond
			f.server.Faults.Update(tc.set)
			if status := f.confirm("k", "{}"); status != tc.status {
				t.Errorf("status %d", status)
			}
			if got := f.server.Executions("k").Total; got != tc.executed {
				t.Errorf("%d executions", got)
			}
			f.server.Faults.Update(func(v *Faults) { v.Outage = standin.OutageNone })
			if status := f.confirm("k2", "{}"); status != http.StatusOK {
				t.Errorf("status %d after the fault", status)
			}
		})
	}
}

func TestCrashStopsTheService(t *testing.T) {
	f := newFixture(t, nil)
	f.server.Faults.Update(func(v *Faults) { v.CrashWord = "poison" })
	if f.confirm("k", "poison") != 0 || f.confirm("k", "{}") != 0 {
		t.Fatal("a crashed service responded")
	}
	if state := f.server.State(); state.Executions != 0 || state.Crashes != 1 {
		t.Fatalf("state %+v", state)
	}
}

func TestLoadIsReportedWithLagAndLeavingServiceRefusesAfterGrace(t *testing.T) {
	clock := standin.NewManualClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	f := newFixture(t, func(c *Config) { c.Clock, c.ExecutionTime = clock, 10*time.Second })
	status := make(chan int)
	go func() { status <- f.confirm("k", "{}") }()
	for f.server.State().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	f.server.Leave()
	clock.Advance(DefaultLeaveGrace)
	if f.server.Drained() || f.confirm("late", "{}") != http.StatusServiceUnavailable {
		t.Fatal("want new requests refused while the old one runs")
	}
	if visible := f.server.load.Visible(clock.Now()); visible != 1 {
		t.Fatalf("reported load %d, want 1", visible)
	}
	clock.Advance(5 * time.Second)
	if got := <-status; got != http.StatusOK {
		t.Fatalf("the running request got %d", got)
	}
	if !f.server.Drained() {
		t.Fatal("not drained after the last request ended")
	}
}
