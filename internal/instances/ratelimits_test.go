package instances

import (
	"testing"
	"time"
)

// statement returns what instance "a" of the first run says at a time.
func statement(rate float64, saidAt time.Duration) RateLimit {
	return RateLimit{ID: "a", StartedAt: start, Rate: rate, At: at(saidAt)}
}

func registryOf(startedAt time.Time) *Registry {
	r := New()
	r.Replace(start, []Instance{{ID: "a", Service: "s", StartedAt: startedAt}})
	return r
}

func rateOf(r *Registry, startedAt time.Time) float64 {
	return r.RateLimit(Instance{ID: "a", StartedAt: startedAt})
}

// Statements arrive in any order, over several routers: the newest at its origin wins.
func TestNewestRateLimitWins(t *testing.T) {
	r := registryOf(start)
	if _, changed := r.SetRateLimit(at(4*time.Second), statement(2, 3*time.Second)); !changed {
		t.Error("the first limit is no change")
	}
	if _, changed := r.SetRateLimit(at(5*time.Second), statement(7, 2*time.Second)); changed || rateOf(r, start) != 2 {
		t.Errorf("an older statement was applied: %g", rateOf(r, start))
	}
	if previous, changed := r.SetRateLimit(at(6*time.Second), statement(0, 5*time.Second)); !changed || previous != 2 || rateOf(r, start) != 0 {
		t.Errorf("the limit has not ended: %g", rateOf(r, start))
	}
	if _, changed := r.SetRateLimit(at(7*time.Second), statement(2, 4*time.Second)); changed || rateOf(r, start) != 0 {
		t.Errorf("a limit from before the end was applied: %g", rateOf(r, start))
	}
}

func TestNextRunHasNoRateLimit(t *testing.T) {
	r := registryOf(start)
	r.SetRateLimit(start, statement(2, time.Second))
	next := at(time.Minute)
	r.Replace(next, []Instance{{ID: "a", Service: "s", StartedAt: next}})
	if got := rateOf(r, next); got != 0 {
		t.Errorf("the next run has a limit of %g", got)
	}
	if _, changed := r.SetRateLimit(at(2*time.Minute), statement(3, 2*time.Minute)); changed {
		t.Error("a statement of the run before was applied")
	}
	r.Tick(at(2 * time.Minute))
	if all, _ := r.RateLimits(start); len(all) != 0 {
		t.Errorf("%+v are still passed on", all)
	}
}

// An entry may be missing from the listing for a while; its instance still has the limit
// that it named.
func TestRateLimitOutlastsAMissingEntry(t *testing.T) {
	r := registryOf(start)
	r.SetRateLimit(start, statement(2, time.Second))
	r.Replace(at(2*time.Second), nil)
	r.Tick(at(3 * time.Second))
	r.Replace(at(4*time.Second), []Instance{{ID: "a", Service: "s", StartedAt: start}})
	if got := rateOf(r, start); got != 2 {
		t.Errorf("limit %g, want 2", got)
	}
}

// An instance that takes next to nothing still gets a call now and then: only its
// responses tell when the limit ends.
func TestLowestRateLimit(t *testing.T) {
	r := registryOf(start)
	r.SetRateLimit(start, statement(0.001, time.Second))
	if got := rateOf(r, start); got != MinRateLimit {
		t.Errorf("limit %g, want %g", got, MinRateLimit)
	}
}

func TestRecentRateLimitsComeFirst(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.SetRateLimit(at(time.Second), RateLimit{ID: "a", Rate: 1, At: at(time.Second)})
	r.SetRateLimit(at(3*time.Second), RateLimit{ID: "b", Rate: 1, At: at(3 * time.Second)})
	// A repeated statement is no change.
	r.SetRateLimit(at(5*time.Second), RateLimit{ID: "a", Rate: 1, At: at(5 * time.Second)})
	all, recent := r.RateLimits(at(2 * time.Second))
	if len(all) != 2 || recent != 1 || all[0].ID != "b" || !all[1].At.Equal(at(5*time.Second)) {
		t.Errorf("%+v, recent %d", all, recent)
	}
}
