package retry

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// Without a budget, each request would be sent MaxAttempts times while its pool
// fails, here 4,000 attempts instead of 1,000.
func TestRetriesFadeOutWhileAPoolFails(t *testing.T) {
	p := New(DefaultSettings(), 1)
	key := Key{Workspace: "w", Pool: "p"}
	const requests = 1000
	attempts := 0
	for i := range requests {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for attempt := 1; ; attempt++ {
			attempts++
			if !p.Failed(now, Failure{Key: key, Attempt: attempt, Idempotent: true}).Retry() {
				break
			}
		}
	}
	t.Logf("%d attempts for %d requests", attempts, requests)
	if limit := requests + defaultBurst + 1; attempts > limit {
		t.Errorf("%d attempts for %d requests, want at most %d", attempts, requests, limit)
	}
	other := Failure{Key: Key{Workspace: "quiet", Pool: "p"}, Attempt: 1, Idempotent: true}
	if !p.Failed(start, other).Retry() {
		t.Error("one workspace used the budget of another")
	}
	for range 10 * requests {
		p.Succeeded(start.Add(time.Second), key)
	}
	if v := p.Failed(start.Add(time.Second), Failure{Key: key, Attempt: 1, Idempotent: true}); !v.Retry() {
		t.Errorf("no retry after successes: %+v", v)
	}
}

func TestVerdicts(t *testing.T) {
	p := New(DefaultSettings(), 1)
	cases := []struct {
		failure Failure
		want    Reason
	}{
		{Failure{Attempt: 1}, NotIdempotent},
		{Failure{Attempt: defaultMaxAttempts, Idempotent: true}, AttemptsUsed},
		{Failure{Attempt: 1, Idempotent: true, Deadline: start}, DeadlineNear},
		{Failure{Attempt: 1, Idempotent: true}, Allowed},
	}
	for _, tc := range cases {
		if got := p.Failed(start, tc.failure); got.Reason != tc.want {
			t.Errorf("%+v: got %+v, want reason %d", tc.failure, got, tc.want)
		}
	}
}

func TestDelaysAreJitteredAndBounded(t *testing.T) {
	a, b := New(DefaultSettings(), 1), New(DefaultSettings(), 2)
	different := 0
	for attempt := 1; attempt < 40; attempt++ {
		bound := min(defaultBaseDelay<<min(attempt-1, 20), defaultMaxDelay)
		x, y := a.delay(attempt), b.delay(attempt)
		if x > bound || y > bound {
			t.Errorf("attempt %d: delays %v and %v above %v", attempt, x, y, bound)
		}
		if x != y {
			different++
		}
	}
	if different == 0 {
		t.Error("two daemons with different seeds have the same delays")
	}
}

func TestBudgetsAreBounded(t *testing.T) {
	s := DefaultSettings()
	s.MaxBudgets = 3
	p := New(s, 1)
	for i := range 100 {
		p.Succeeded(start, Key{Workspace: string(rune('a' + i))})
	}
	if got := len(p.budgets.byKey); got != s.MaxBudgets {
		t.Errorf("%d budgets in memory, want %d", got, s.MaxBudgets)
	}
}
