package origins

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	testService = "model"
	testWindow  = time.Minute
	// testLifetime is how long the callers of the tests wait.
	testLifetime = 15 * time.Second
)

// testClock is a clock that tests move.
type testClock struct{ at time.Time }

func newTestClock() *testClock { return &testClock{at: time.Unix(1000, 0)} }

func (c *testClock) now() time.Time { return c.at }

func (c *testClock) pass(d time.Duration) { c.at = c.at.Add(d) }

// wait moves the clock in place of a pause.
func (c *testClock) wait(ctx context.Context, d time.Duration) error {
	c.pass(max(d, 0))
	return ctx.Err()
}

// testReader returns contents, or an error if they are nil.
type testReader struct {
	clock    *testClock
	contents *Contents
	reads    int
	// onRead, if set, is called before each read.
	onRead func()
}

func (r *testReader) ReadOrigins(context.Context) (Contents, error) {
	r.reads++
	if r.onRead != nil {
		r.onRead()
	}
	if r.contents == nil {
		return Contents{}, errors.New("the store is away")
	}
	contents := *r.contents
	contents.At = r.clock.now()
	return contents, nil
}

func newTestTracker(clock *testClock, reader Reader) *Tracker {
	t := NewTracker(reader, clock.now, metrics.NewRegistry())
	t.wait = clock.wait
	if t.reader != nil {
		t.reader.wait = clock.wait
	}
	return t
}

func confirmed(era int64, versions ...string) *peerpb.ServedVersions {
	record := encodeServed(ServiceVersions{testService: versions})
	record.Confirmed, record.Era = true, era
	return record
}

func stream(id string) Stream { return StreamOf("w", testService, id) }

// A stream of which there is no record was taken for one of any version.
func TestStreamWithoutARecordIsOfTheOnlyVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		contents *Contents
		want     Origin
	}{
		"one version":                   {&Contents{Served: confirmed(3, "v1"), Era: 3}, Origin{Version: "v1", Source: OnlyVersion}},
		"two versions":                  {&Contents{Served: confirmed(3, "v1", "v2"), Era: 3}, Origin{Source: Unrecorded}},
		"no version":                    {&Contents{Served: confirmed(3), Era: 3}, Origin{Source: Unrecorded}},
		"confirmed before a restore":    {&Contents{Served: confirmed(2, "v1"), Era: 3}, Origin{Source: Unconfirmed}},
		"not confirmed":                 {&Contents{Served: encodeServed(ServiceVersions{testService: {"v1"}}), Era: 0}, Origin{Source: Unconfirmed}},
		"no record of versions":         {&Contents{Era: 0}, Origin{Source: Unconfirmed}},
		"version of another service":    {&Contents{Served: encodeServed(ServiceVersions{"other": {"v1"}}), Era: 0}, Origin{Source: Unconfirmed}},
		"store away, nothing is copied": {nil, Origin{Source: Unreachable}},
	} {
		clock := newTestClock()
		tracker := newTestTracker(clock, &testReader{clock: clock, contents: tc.contents})
		got := tracker.Find(context.Background(), stream("a"), testService)
		if got.Version != tc.want.Version || got.Source != tc.want.Source {
			t.Errorf("%s: version %q, %s; want %q, %s", name, got.Version, got.Source, tc.want.Version, tc.want.Source)
		}
	}
}

// While the store is away, the copied record counts only if no other router can have a later
// one.
func TestOnlyVersionOfTheCopyCountsIfItIsCurrent(t *testing.T) {
	clock := newTestClock()
	state := State{Served: ServiceVersions{testService: {"v1"}}, Complete: true, Current: true, At: clock.now(), Window: testWindow}
	for name, change := range map[string]func(*State){
		"as it is":          func(*State) {},
		"two versions":      func(s *State) { s.Served = ServiceVersions{testService: {"v1", "v2"}} },
		"not complete":      func(s *State) { s.Complete = false },
		"behind or a few":   func(s *State) { s.Current = false },
		"of a while before": func(s *State) { s.At = s.At.Add(-2 * maxStateAge) },
	} {
		s := state
		change(&s)
		tracker := newTestTracker(clock, &testReader{})
		tracker.SetState(s)
		got := tracker.Find(context.Background(), stream("a"), testService)
		if (got.Version == "v1") != (name == "as it is") {
			t.Errorf("%s: version %q, %s", name, got.Version, got.Source)
		}
	}
}

// A stream that another router has just begun may not be on record yet.
func TestStreamIsLookedUpAgainWhileItIsAboutToBeRecorded(t *testing.T) {
	clock := newTestClock()
	reader := &testReader{clock: clock, contents: &Contents{Served: confirmed(0, "v1", "v2")}}
	reader.onRead = func() {
		if reader.reads == 2 {
			reader.contents.Streams = []*peerpb.StreamOrigins{{Streams: []*peerpb.VersionStreams{
				{Service: testService, Version: "v2", Streams: []uint64{uint64(stream("a"))}},
			}}}
		}
	}
	tracker := newTestTracker(clock, reader)
	if got := tracker.Find(context.Background(), stream("a"), testService); got.Version != "v2" || got.Source != Recorded {
		t.Errorf("version %q, %s after %d reads", got.Version, got.Source, reader.reads)
	}
	if got := tracker.Find(context.Background(), stream("a"), testService); got.Version != "v2" || reader.reads != 2 {
		t.Errorf("version %q after %d reads, want no further read", got.Version, reader.reads)
	}
}

// Two callers name the same ID, or a record is out of date: the stream is of no version that
// could be trusted.
func TestStreamOnRecordAtTwoVersionsIsOfNone(t *testing.T) {
	var records []*peerpb.StreamOrigins
	for _, version := range []string{"v1", "v2"} {
		records = append(records, &peerpb.StreamOrigins{Streams: []*peerpb.VersionStreams{
			{Service: testService, Version: version, Streams: []uint64{uint64(stream("a"))}},
		}})
	}
	clock := newTestClock()
	tracker := newTestTracker(clock, &testReader{clock: clock, contents: &Contents{Served: confirmed(0, "v1", "v2"), Streams: records}})
	if got := tracker.Find(context.Background(), stream("a"), testService); got.Version != "" || got.Source != Differing {
		t.Errorf("version %q, %s", got.Version, got.Source)
	}
}

// recorded returns the streams of the record that is due, by version.
func recorded(t *Tracker) map[string]int {
	record, number := t.Record()
	t.Written(number)
	counts := map[string]int{}
	for _, group := range record.GetStreams() {
		counts[group.GetVersion()] += len(group.GetStreams())
	}
	return counts
}

func isDue(t *Tracker) bool {
	select {
	case <-t.Due():
		return true
	default:
		return false
	}
}

// With one version nothing has to be written. When a second one is listed, the streams that
// are in progress are recorded, too.
func TestStreamsAreRecordedOnceAnotherVersionServes(t *testing.T) {
	clock := newTestClock()
	tracker := newTestTracker(clock, nil)
	state := State{Served: ServiceVersions{testService: {"v1"}}, Complete: true, Window: testWindow}
	tracker.SetState(state)
	tracker.Begin(stream("a"), testService, "v1", testLifetime)
	if isDue(tracker) {
		t.Error("a record is due with one version in service")
	}
	state.Several = map[string]bool{testService: true}
	tracker.SetState(state)
	tracker.Begin(stream("b"), testService, "v2", testLifetime)
	if !isDue(tracker) {
		t.Error("no record is due with two versions in service")
	}
	if got := recorded(tracker); got["v1"] != 1 || got["v2"] != 1 {
		t.Errorf("recorded: %v", got)
	}
	tracker.SetState(state)
	if isDue(tracker) {
		t.Error("a record is due without a new stream")
	}
	clock.pass(testLifetime + lifetimeMargin)
	tracker.Begin(stream("c"), testService, "v2", testLifetime)
	if got := recorded(tracker); got["v1"] != 0 || got["v2"] != 1 {
		t.Errorf("recorded after the streams' lifetime: %v", got)
	}
}

// A call that is sent to another version after the store may have the first on record waits
// until that one is taken out; otherwise other routers would go on with its stream there.
func TestChangeOfVersionWaitsForTheRecord(t *testing.T) {
	tracker := newTestTracker(newTestClock(), nil)
	if !tracker.Begin(stream("a"), testService, "v1", testLifetime) || !tracker.Begin(stream("a"), testService, "v2", testLifetime) {
		t.Error("a version that was never written can't be replaced")
	}
	if got := recorded(tracker); got["v2"] != 1 || got["v1"] != 0 {
		t.Errorf("recorded: %v", got)
	}
	if tracker.Begin(stream("a"), testService, "v1", testLifetime) {
		t.Error("a version that was written is replaced without a word")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if tracker.Change(ctx, stream("a"), testService, "v1", testLifetime) {
		t.Error("changed before the record was written")
	}
	changed := make(chan bool, 1)
	go func() { changed <- tracker.Change(context.Background(), stream("a"), testService, "v1", testLifetime) }()
	var got map[string]int
	for done := false; !done; {
		select {
		case <-tracker.Due():
			got = recorded(tracker)
		case done = <-changed:
		}
	}
	if got["v1"] != 0 || got["v2"] != 0 {
		t.Errorf("recorded after the change: %v; want none", got)
	}
	if origin, ok := tracker.lookUp(stream("a")); !ok || origin.Version != "v1" {
		t.Errorf("origin %+v after the change", origin)
	}
}

// A failed write, or a restore of the store, makes all streams due again.
func TestRecordIsWrittenAgainAfterAFailure(t *testing.T) {
	tracker := newTestTracker(newTestClock(), nil)
	tracker.Begin(stream("a"), testService, "v1", testLifetime)
	if !isDue(tracker) || recorded(tracker)["v1"] != 1 {
		t.Fatal("not recorded")
	}
	tracker.Rewrite()
	if !isDue(tracker) || recorded(tracker)["v1"] != 1 {
		t.Error("not recorded again")
	}
}

// versionsOf returns the versions of the next record.
func versionsOf(v *Versions, now time.Time) (versions []string, confirmed, differs bool) {
	next, differs := v.Next(now)
	return decodeServed(next)[testService], next.GetConfirmed(), differs
}

func TestVersionsAreRecordedWhenListedAndKeptForTheWindow(t *testing.T) {
	clock := newTestClock()
	v := NewVersions(true)
	v.Update(clock.now(), 0, nil, ServiceVersions{testService: {"v1"}}, testWindow)
	if versions, ok, differs := versionsOf(v, clock.now()); !differs || !ok || !slices.Equal(versions, []string{"v1"}) {
		t.Errorf("at the first start: %v, confirmed %t, differs %t", versions, ok, differs)
	}
	v.Update(clock.now(), 0, confirmed(0, "v1"), ServiceVersions{testService: {"v1", "v2"}}, testWindow)
	if versions, _, differs := versionsOf(v, clock.now()); !differs || len(versions) != 2 || !v.Several(testService) {
		t.Errorf("with a new version: %v, differs %t", versions, differs)
	}
	for range 5 {
		clock.pass(testWindow / 6)
		v.Update(clock.now(), 0, confirmed(0, "v1", "v2"), ServiceVersions{testService: {"v2"}}, testWindow)
		if _, _, differs := versionsOf(v, clock.now()); differs {
			t.Error("a version is dropped within the window after it has left")
		}
	}
	clock.pass(testWindow / 6)
	v.Update(clock.now(), 0, confirmed(0, "v1", "v2"), ServiceVersions{testService: {"v2"}}, testWindow)
	if versions, _, differs := versionsOf(v, clock.now()); !differs || !slices.Equal(versions, []string{"v2"}) || v.Several(testService) {
		t.Errorf("after the window: %v, differs %t", versions, differs)
	}
}

// After a restore from an older copy, routers that outlast it confirm the versions. One that
// has started since doesn't know what has been lost.
func TestVersionsAreConfirmedAfterARestore(t *testing.T) {
	clock := newTestClock()
	outlasting, started := NewVersions(false), NewVersions(false)
	outlasting.Update(clock.now(), 1, confirmed(1, "v1", "v2"), ServiceVersions{testService: {"v1", "v2"}}, testWindow)
	update := func() {
		for _, v := range []*Versions{outlasting, started} {
			v.Update(clock.now(), 2, confirmed(1, "v1"), ServiceVersions{testService: {"v1"}}, testWindow)
		}
	}
	update()
	if outlasting.Complete() || !outlasting.Several(testService) {
		t.Error("a record of an earlier era counts")
	}
	clock.pass(restoreSettleTime)
	update()
	if versions, ok, _ := versionsOf(outlasting, clock.now()); !ok || len(versions) != 2 {
		t.Errorf("the router that outlasts the restore writes %v, confirmed %t", versions, ok)
	}
	if next, _ := started.Next(clock.now()); next.GetEra() != 1 {
		t.Errorf("the router that has started since confirms era %d", next.GetEra())
	}
	clock.pass(testWindow)
	update()
	if next, differs := started.Next(clock.now()); next.GetEra() != 2 || !differs {
		t.Errorf("after the window era %d, differs %t", next.GetEra(), differs)
	}
}

func TestMergeKeepsWhatOtherRoutersHaveAdded(t *testing.T) {
	merged := MergeServed(confirmed(0, "v1", "v3"), confirmed(0, "v0", "v1"), confirmed(0, "v1", "v2"))
	if got := decodeServed(merged)[testService]; !slices.Equal(got, []string{"v1", "v2", "v3"}) || !merged.GetConfirmed() {
		t.Errorf("merged: %v", merged)
	}
}

// Another router tells of streams; what this one has begun itself counts more, and a stream
// that is told of at two versions is of none.
func TestStreamsThatAnotherRouterTellsOf(t *testing.T) {
	tracker := newTestTracker(newTestClock(), &testReader{})
	tracker.Begin(stream("own"), testService, "v1", testLifetime)
	tell := func(version string, ids ...string) {
		group := &peerpb.VersionStreams{Service: testService, Version: version}
		for _, id := range ids {
			group.Streams = append(group.Streams, uint64(stream(id)))
		}
		tracker.LearnFromPeer(&peerpb.StreamOrigins{Streams: []*peerpb.VersionStreams{group}})
	}
	tell("v2", "own", "other", "both")
	tell("v1", "both")
	for id, want := range map[string]Origin{
		"own": {Version: "v1", Source: Own}, "other": {Version: "v2", Source: Peer}, "both": {Source: Differing}, "none": {Source: Unreachable},
	} {
		if got := tracker.Find(context.Background(), stream(id), testService); got.Version != want.Version || got.Source != want.Source {
			t.Errorf("%s: version %q, %s; want %q, %s", id, got.Version, got.Source, want.Version, want.Source)
		}
	}
}
