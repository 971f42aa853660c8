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
		return e.state(now)
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
	if leaving := r.Draining(at(time.Second), "s"); len(leaving) != 1 || leaving[0].ID != "a" {
		t.Errorf("leaving: %+v", leaving)
	}
}

func TestRemovedInstancesAreGoneAtOnce(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.Replace(at(time.Second), listed("b"))
	if got := ids(r.Candidates(at(time.Second), "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
}

func TestEntriesThatLapsedInAnOutageStayForTheirGrace(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.ListingUnavailable(at(time.Second))
	r.ListingRestored(at(6 * time.Second))
	r.Replace(at(6*time.Second), listed("b"))
	if got := ids(r.Candidates(at(7*time.Second), "s", nil)); got != "ab" {
		t.Errorf("within the grace: %q", got)
	}
	r.Tick(at(6*time.Second + returnGrace))
	if got := ids(r.Candidates(at(6*time.Second+returnGrace), "s", nil)); got != "b" {
		t.Errorf("after the grace: %q", got)
	}
}

func TestLapsedEntriesReturn(t *testing.T) {
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

// A handover between routers that follow the store looks like a short outage;
// an instance that leaves then must not stay in use.
func TestShortOutagesLapseNothing(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.ListingUnavailable(at(time.Second))
	r.ListingRestored(at(time.Second + leastOutage - time.Millisecond))
	r.Replace(at(3*time.Second), listed("b"))
	if got := ids(r.Candidates(at(3*time.Second), "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
}

func TestUnreachableInstancesAreUsedLast(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.Report(start, "a", Unreachable, 0)
	if got := ids(r.Candidates(start, "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
	r.Report(start, "b", Unreachable, 0)
	if got := ids(r.Candidates(start, "s", nil)); got != "ab" {
		t.Errorf("with none better: %q", got)
	}
	if got := ids(r.Candidates(at(firstHold), "s", nil)); got != "ab" {
		t.Errorf("after the hold: %q", got)
	}
	if state := stateOf(r, at(firstHold), "a"); state != Healthy {
		t.Errorf("after the hold: %v", state)
	}
}

// A call may have less time than a sound instance needs.
func TestALateAnswerAloneIsNoSuspicion(t *testing.T) {
	r := New()
	r.Replace(start, listed("a"))
	r.Report(start, "a", Late, 0)
	if state := stateOf(r, start, "a"); state != Healthy {
		t.Errorf("state %v", state)
	}
}

func TestHoldsGrowAndEnd(t *testing.T) {
	r := New()
	r.Replace(start, listed("a"))
	now := start
	for range 10 {
		r.Report(now, "a", Unreachable, 0)
		now = now.Add(maxHold)
	}
	if state := stateOf(r, now.Add(maxHold), "a"); state == Suspect {
		t.Error("a hold outlasts its bound")
	}
	r.Report(now, "a", Succeeded, 0)
	r.Report(now, "a", Unreachable, 0)
	if state := stateOf(r, now.Add(firstHold), "a"); state == Suspect {
		t.Error("a success does not shorten the next hold")
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

func TestAnInstanceThatStartsAgainIsNew(t *testing.T) {
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
	if state := stateOf(r, now.Add(3*memory), "a"); state != Healthy {
		t.Errorf("long after its failures: %v", state)
	}
}

// Whatever is listed, lost and reported in whatever order: an instance that the
// last listing shows as draining, or that was replaced, is no candidate, and
// one that was removed is none once its grace is over.
func TestCandidatesInAnyOrderOfEvents(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("no work for leaving instances", prop.ForAll(candidatesAreSound, gen.SliceOfN(60, gen.UInt8())))
	properties.TestingRun(t)
}

func candidatesAreSound(codes []uint8) bool {
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
			for i, i2 := range listed("a", "b", "c") {
				if code>>(2*i)&3 == 0 {
					if removedAt[i2.ID].IsZero() {
						removedAt[i2.ID] = now
					}
					continue
				}
				delete(removedAt, i2.ID)
				i2.Draining = code>>(2*i)&3 == 1
				listing = append(listing, i2)
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
			if gone, ok := removedAt[c.ID]; ok && now.Sub(gone) > returnGrace+8*200*time.Millisecond+returnGrace {
				r.Tick(now)
				for _, still := range r.Candidates(now, "s", nil) {
					if still.ID == c.ID {
						return false
					}
				}
			}
		}
	}
	return true
}
