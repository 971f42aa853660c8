package instances

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func listed(ids ...string) []Instance {
	out := make([]Instance, 0, len(ids))
	for _, id := range ids {
		out = append(out, Instance{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 4})
	}
	return out
}

func stateOf(r *Registry, now time.Time, id string) State {
	if e, ok := r.entries[id]; ok {
		return r.state(now, e)
	}
	return Gone
}

func ids(candidates []Candidate) string {
	out := ""
	for _, c := range candidates {
		out += c.ID
	}
	return out
}

func TestDrainingInstancesTakeNoWork(t *testing.T) {
	r := New()
	list := listed("a", "b")
	r.Replace(start, list)
	list[0].Draining = true
	r.Replace(at(time.Second), list)
	if got := ids(r.Candidates(at(time.Second), "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
	if draining := r.Draining(at(time.Second), "s"); len(draining) != 1 || draining[0].ID != "a" {
		t.Errorf("draining: %+v", draining)
	}
}

func TestRemovedInstancesAreGoneImmediately(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.Replace(at(time.Second), listed("b"))
	if got := ids(r.Candidates(at(time.Second), "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
}

func TestEntriesMissingAfterOutageStayForGracePeriod(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.ListingUnavailable(at(time.Second))
	r.ListingRestored(at(6 * time.Second))
	r.Replace(at(6*time.Second), listed("b"))
	if got := ids(r.Candidates(at(7*time.Second), "s", nil)); got != "ab" {
		t.Errorf("within the grace period: %q", got)
	}
	r.Tick(at(6*time.Second + missingGrace))
	if got := ids(r.Candidates(at(6*time.Second+missingGrace), "s", nil)); got != "b" {
		t.Errorf("after the grace period: %q", got)
	}
}

func TestMissingEntriesReturn(t *testing.T) {
	r := New()
	r.Replace(start, listed("a"))
	r.ListingUnavailable(at(0))
	r.ListingRestored(at(4 * time.Second))
	r.Replace(at(4*time.Second), nil)
	r.Replace(at(5*time.Second), listed("a"))
	r.Tick(at(time.Minute))
	if got := ids(r.Candidates(at(time.Minute), "s", nil)); got != "a" {
		t.Errorf("candidates %q", got)
	}
}

// When another router takes over following the store, the listing is unconfirmed
// for a short time, as in an outage. An instance that is removed then must not
// stay in use.
func TestRemovalsAfterShortOutagesAreImmediate(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.ListingUnavailable(at(time.Second))
	r.ListingRestored(at(time.Second + minOutage - time.Millisecond))
	r.Replace(at(3*time.Second), listed("b"))
	if got := ids(r.Candidates(at(3*time.Second), "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
}

func TestUnreachableInstancesAreLastResort(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.Report(start, "a", Unreachable, 0)
	if got := ids(r.Candidates(start, "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
	r.Report(start, "b", Unreachable, 0)
	if got := ids(r.Candidates(start, "s", nil)); got != "ab" {
		t.Errorf("without a better one: %q", got)
	}
	if got := ids(r.Candidates(at(initialBackoff), "s", nil)); got != "ab" {
		t.Errorf("after the backoff: %q", got)
	}
	if state := stateOf(r, at(initialBackoff), "a"); state != Healthy {
		t.Errorf("after the backoff: %v", state)
	}
}

// A call may have less time left than a healthy instance needs, so a result Late
// alone must not make the instance suspect.
func TestLateResultAloneDoesNotMakeInstanceSuspect(t *testing.T) {
	r := New()
	r.Replace(start, listed("a"))
	r.Report(start, "a", Late, 0)
	if state := stateOf(r, start, "a"); state != Healthy {
		t.Errorf("state %v", state)
	}
}

func TestBackoffGrowsAndIsBounded(t *testing.T) {
	r := New()
	r.Replace(start, listed("a"))
	now := start
	for range 10 {
		r.Report(now, "a", Unreachable, 0)
		now = now.Add(maxBackoff)
	}
	if state := stateOf(r, now.Add(maxBackoff), "a"); state == Suspect {
		t.Error("a backoff exceeds maxBackoff")
	}
	r.Report(now, "a", Succeeded, 0)
	r.Report(now, "a", Unreachable, 0)
	if state := stateOf(r, now.Add(initialBackoff), "a"); state == Suspect {
		t.Error("a success does not reset the backoff")
	}
}

func TestReplacedInstancesAreGone(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.Report(start, "a", Replaced, 0)
	if got := ids(r.Candidates(start, "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
	again := listed("a", "b")
	again[0].Address = "10.0.0.2:80"
	r.Replace(at(time.Second), again)
	if got := ids(r.Candidates(at(time.Second), "s", nil)); got != "ab" {
		t.Errorf("at another address: %q", got)
	}
}

func TestRestartedInstanceIsNew(t *testing.T) {
	r := New()
	list := listed("a")
	list[0].StartedAt = at(0)
	r.Replace(start, list)
	r.Report(start, "a", Unreachable, 0)
	again := listed("a")
	again[0].StartedAt = at(time.Second)
	changes := r.Replace(at(0), again)
	if len(changes) != 1 || changes[0].Reason != ReasonStarted || changes[0].State != Healthy {
		t.Errorf("changes %+v", changes)
	}
}

func TestFailingAndSlowInstancesAreDegraded(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b", "c"))
	for i := range 20 {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		result := Succeeded
		if i%2 == 0 {
			result = Failed
		}
		r.Report(now, "a", result, 1)
		r.Report(now, "b", Succeeded, 8)
		r.Report(now, "c", Succeeded, 1)
	}
	now := at(time.Second)
	for id, want := range map[string]State{"a": Degraded, "b": Degraded, "c": Healthy} {
		if state := stateOf(r, now, id); state != want {
			t.Errorf("%s: %v, want %v", id, state, want)
		}
	}
	if state := stateOf(r, now.Add(3*decayTime), "a"); state != Healthy {
		t.Errorf("after its failures have decayed: %v", state)
	}
}

// For any order of listings, outages and results: an instance that the last
// listing shows as draining is not a candidate, and neither is a removed one after
// its grace period.
func TestCandidatesProperty(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("no work for draining or removed instances", prop.ForAll(candidatesAreValid, gen.SliceOfN(60, gen.UInt8())))
	properties.TestingRun(t)
}

func candidatesAreValid(codes []uint8) bool {
	r := New()
	now := start
	listing := listed("a", "b", "c")
	r.Replace(now, listing)
	removedAt := map[string]time.Time{}
	for _, code := range codes {
		now = now.Add(time.Duration(code%8) * 200 * time.Millisecond)
		switch code % 6 {
		case 0:
			r.ListingUnavailable(now)
		case 1:
			r.ListingRestored(now)
		case 2, 3:
			listing = nil
			for i, instance := range listed("a", "b", "c") {
				if code>>(2*i)&3 == 0 {
					if removedAt[instance.ID].IsZero() {
						removedAt[instance.ID] = now
					}
					continue
				}
				delete(removedAt, instance.ID)
				instance.Draining = code>>(2*i)&3 == 1
				listing = append(listing, instance)
			}
			r.Replace(now, listing)
		default:
			r.Report(now, string(rune('a'+code%3)), Result(code%8), float64(code%9))
			r.Tick(now)
		}
		for _, c := range r.Candidates(now, "s", nil) {
			for _, l := range listing {
				if l.ID == c.ID && l.Draining {
					return false
				}
			}
			if removed, ok := removedAt[c.ID]; ok && now.Sub(removed) > missingGrace+8*200*time.Millisecond+missingGrace {
				r.Tick(now)
				for _, remaining := range r.Candidates(now, "s", nil) {
					if remaining.ID == c.ID {
						return false
					}
				}
			}
		}
	}
	return true
}
