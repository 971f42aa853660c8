package instances

import (
	"testing"
	"time"
)

func TestInstancesThatLeaveTakeNoWork(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	if changes := r.Leaving(start, "a"); len(changes) != 1 || changes[0].State != Draining {
		t.Errorf("%+v", changes)
	}
	r.Replace(at(time.Second), listed("a", "b"))
	if got := ids(r.Candidates(at(time.Second), "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
	// The entry may go missing and return with an older copy of the listing.
	r.Replace(at(2*time.Second), listed("b"))
	r.ListingRestarted(at(3 * time.Second))
	r.Replace(at(3*time.Second), listed("a", "b"))
	if got := ids(r.Candidates(at(3*time.Second), "s", nil)); got != "b" {
		t.Errorf("candidates %q after the entry returned", got)
	}
}

func TestNextRunOfALeavingInstanceTakesWork(t *testing.T) {
	r := New()
	list := listed("a")
	list[0].StartedAt = start
	r.Replace(start, list)
	r.Leaving(start, "a")
	list[0].StartedAt = at(time.Minute)
	r.Replace(at(time.Minute), list)
	if got := ids(r.Candidates(at(time.Minute), "s", nil)); got != "a" {
		t.Errorf("candidates %q", got)
	}
}

func TestLeavingInstancesAreALastResort(t *testing.T) {
	const period = 2 * time.Second
	r := New()
	r.SetLastResortPeriod(period)
	r.Replace(start, listed("a"))
	r.Leaving(start, "a")
	if got := ids(r.Candidates(at(period-time.Millisecond), "s", nil)); got != "a" {
		t.Errorf("candidates %q within the period", got)
	}
	if got := ids(r.Candidates(at(period), "s", nil)); got != "" {
		t.Errorf("candidates %q after the period", got)
	}
	r.Replace(start, listed("a", "b"))
	if got := ids(r.Candidates(start, "s", nil)); got != "b" {
		t.Errorf("candidates %q beside an instance that stays", got)
	}
}

// The last instances of a version drain: the streams that it has begun went on nowhere, or
// at another version.
func TestDrainingInstancesAreALastResortOfTheirVersion(t *testing.T) {
	const period = 2 * time.Second
	r := New()
	r.SetLastResortPeriod(period)
	list := listed("a", "b", "c")
	list[0].Version, list[1].Version, list[2].Version = "v1", "v1", "v2"
	r.Replace(start, list)
	if got := ids(r.CandidatesAt(start, "s", "v1", nil)); got != "ab" {
		t.Errorf("candidates of v1 %q", got)
	}
	list[0].Draining = true
	r.Replace(at(time.Second), list)
	if got := ids(r.CandidatesAt(at(time.Second), "s", "v1", nil)); got != "b" {
		t.Errorf("candidates of v1 %q while one of two drains", got)
	}
	list[1].Draining = true
	r.Replace(at(2*time.Second), list)
	if got := ids(r.CandidatesAt(at(2*time.Second), "s", "v1", nil)); got != "ab" {
		t.Errorf("candidates of v1 %q while both drain", got)
	}
	if got := ids(r.CandidatesAt(at(time.Second+period), "s", "v1", nil)); got != "b" {
		t.Errorf("candidates of v1 %q after the period of the first", got)
	}
	if got := ids(r.Candidates(at(2*time.Second), "s", nil)); got != "c" {
		t.Errorf("candidates of any version %q", got)
	}
	r.Leaving(at(2*time.Second), "b")
	list[1].Draining = false
	r.Replace(at(3*time.Second), list)
	list[1].Draining = true
	r.Replace(at(5*time.Second), list)
	if got := ids(r.CandidatesAt(at(5*time.Second), "s", "v1", nil)); got != "" {
		t.Errorf("candidates of v1 %q, which has said before that it leaves", got)
	}
}

func TestPausedInstancesTakeNoWork(t *testing.T) {
	const pause = 3 * time.Second
	r := New()
	r.Replace(start, listed("a", "b"))
	r.Pause(start, "a", at(pause))
	r.Pause(start, "a", at(time.Second))
	if got := ids(r.Candidates(at(pause-time.Millisecond), "s", nil)); got != "b" {
		t.Errorf("candidates %q during the pause", got)
	}
	r.Pause(start, "b", at(2*time.Second))
	if got := ids(r.Candidates(at(time.Second), "s", nil)); got != "" {
		t.Errorf("candidates %q while both are paused", got)
	}
	if left, ok := r.PauseLeft(at(time.Second), "s"); !ok || left != time.Second {
		t.Errorf("%v left, %v; want 1s", left, ok)
	}
	if changes := r.Tick(at(pause)); len(changes) != 2 || changes[0].State != Healthy {
		t.Errorf("changes at the end: %+v", changes)
	}
	if got := ids(r.Candidates(at(pause), "s", nil)); got != "ab" {
		t.Errorf("candidates %q after the pauses", got)
	}
}

// The entry of a paused instance may go missing and come back before the pause is over.
func TestPausesOutlastEntries(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.Pause(start, "a", at(10*time.Second))
	r.Replace(at(time.Second), listed("b"))
	r.Replace(at(2*time.Second), listed("a", "b"))
	if got := ids(r.Candidates(at(2*time.Second), "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
}

// A pause was asked of one router. Others avoid the instance, but use it rather than
// refuse a call.
func TestPausesOfOtherRoutersAreAvoided(t *testing.T) {
	r := New()
	r.Replace(start, listed("a", "b"))
	r.ApplyNotice(start, Notice{ID: "a", Pause: time.Second})
	if got := ids(r.Candidates(start, "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
	if got := ids(r.Candidates(start, "s", []string{"b"})); got != "a" {
		t.Errorf("candidates %q without another instance", got)
	}
}

func TestNoticesPassOnDepartures(t *testing.T) {
	first, second := New(), New()
	list := listed("a", "b")
	list[0].StartedAt = start
	first.Replace(start, list)
	second.Replace(start, list)
	first.Leaving(start, "a")
	first.Pause(start, "b", at(time.Second))
	notices := first.Notices(at(100 * time.Millisecond))
	if len(notices) != 2 || !notices[0].Leaving || notices[1].Pause != 900*time.Millisecond {
		t.Fatalf("%+v", notices)
	}
	for _, n := range notices {
		second.ApplyNotice(at(100*time.Millisecond), n)
	}
	if got := ids(second.Candidates(at(200*time.Millisecond), "s", nil)); got != "b" {
		t.Errorf("candidates %q", got)
	}
	if left := second.Notices(at(100*time.Millisecond + noticeLifetime)); len(left) != 0 {
		t.Errorf("notices without end: %+v", left)
	}
	other := Notice{ID: "b", StartedAt: at(time.Hour), Leaving: true}
	if changes := second.ApplyNotice(at(time.Second), other); len(changes) != 0 {
		t.Errorf("a notice of another run has an effect: %+v", changes)
	}
}

func TestDeparturesAreForgotten(t *testing.T) {
	r := New()
	r.Replace(start, listed("a"))
	r.Leaving(start, "a")
	r.Tick(at(departureLifetime))
	if len(r.departures) != 0 {
		t.Errorf("%d departures are kept", len(r.departures))
	}
}

// A listing that returns from an older copy lacks new entries and has old ones.
func TestListingRestart(t *testing.T) {
	r := New()
	list := listed("a", "b", "c")
	list[1].Draining = true
	list[2].StartedAt = at(time.Minute)
	r.Replace(start, list)
	restart := at(time.Hour)
	r.ListingRestarted(restart)
	older := listed("b", "c")
	older[1].Address = "10.0.0.9:80"
	r.Replace(restart, older)
	if got := ids(r.Candidates(restart, "s", nil)); got != "ac" {
		t.Errorf("candidates %q", got)
	}
	if got := stateOf(r, restart, "b"); got != Draining {
		t.Errorf("an instance that drains is %v after the restart", got)
	}
	if got := r.entries["c"].instance; got.Address != "10.0.0.1:80" {
		t.Errorf("an earlier run of an instance replaced the current one: %+v", got)
	}
	// A second restart a second later extends the grace period.
	r.ListingRestarted(restart.Add(time.Second))
	r.Tick(restart.Add(missingGrace))
	if got := stateOf(r, restart.Add(missingGrace), "a"); got != Healthy {
		t.Errorf("a missing instance is %v within the grace period of the second restart", got)
	}
	r.Tick(restart.Add(time.Second + missingGrace))
	if got := stateOf(r, restart.Add(time.Second+missingGrace), "a"); got != Gone {
		t.Errorf("a missing instance is %v after the grace period", got)
	}
}
