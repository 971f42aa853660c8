package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_000_000, 0)

func newMachine() *Machine { return New(DefaultSettings(), 1, start) }

func show(effects []Effect) string { return fmt.Sprintf("%+v", effects) }

func TestStartAsksServiceAfterGrace(t *testing.T) {
	m := newMachine()
	if got := show(m.Step(start, Tick{})); got != "[]" {
		t.Fatal(got)
	}
	if got := show(m.Step(start.Add(time.Second), Tick{})); got != "[{Source:{Peer:} After:0}]" {
		t.Fatal(got)
	}
}

func TestStartDuringOutageTakesNewestOfPeers(t *testing.T) {
	m := newMachine()
	m.Step(start, Announced{Source{"a"}, 7})
	m.Step(start, FetchFailed{Source{"a"}})
	m.Step(start, Announced{Source{"c"}, 6})
	if got := show(m.Step(start, Announced{Source{"b"}, 9})); got != "[{Source:{Peer:b} After:0}]" {
		t.Fatal("a new revision doesn't end the pause", got)
	}
	if got := show(m.Step(start, FullReceived{Source{"b"}, 9})); got != "[{Revision:9}]" {
		t.Fatal(got)
	}
}

func TestGapIsFetchedAndLowerIsIgnored(t *testing.T) {
	m := newMachine()
	m.Step(start, FullReceived{Store, 5})
	if got := show(m.Step(start, ChangesReceived{Source: Store, Revisions: []uint64{7}})); got != "[{Source:{Peer:} After:5}]" {
		t.Fatal(got)
	}
	if got := show(m.Step(start, ChangesReceived{Source: Store, Revisions: []uint64{4, 5, 6, 7}, Requested: true})); got != "[{First:6 Last:7}]" {
		t.Fatal(got)
	}
	if got := show(m.Step(start, FullReceived{Source{"old"}, 6})); got != "[]" {
		t.Fatal(got)
	}
}

func TestFalseAnnouncementIsDropped(t *testing.T) {
	m := newMachine()
	m.Step(start, FullReceived{Store, 5})
	m.Step(start, Announced{Source{"a"}, 1 << 60})
	m.Step(start, ChangesReceived{Source: Source{"a"}, Requested: true})
	if m.Target() != 5 {
		t.Fatal(m.Target())
	}
	if got := show(m.Step(start, Announced{Source{"a"}, 1 << 60})); got != "[]" {
		t.Fatal("asked again without a pause", got)
	}
}

func TestWatchersFollowTheLiveMembers(t *testing.T) {
	var live []Member
	for i := range 40 {
		live = append(live, Member{fmt.Sprintf("r%d", i), fmt.Sprintf("domain-%d", i%4)})
	}
	before := Watchers(live, DefaultWatchers)
	if len(before) != 8 {
		t.Fatal(before)
	}
	var rest []Member
	for _, m := range live {
		if m.Name != before[0] {
			rest = append(rest, m)
		}
	}
	after := Watchers(rest, DefaultWatchers)
	same := 0
	for _, name := range before {
		for _, other := range after {
			if name == other {
				same++
			}
		}
	}
	if len(after) != 8 || same != 7 {
		t.Fatal(before, after)
	}
}

// world is a key-value service and some processes that fetch from it and from
// one another, driven by a seed.
type world struct {
	random   *rand.Rand
	now      time.Time
	head     uint64
	kept     uint64 // lowest revision whose changes the service keeps
	outage   bool
	machines []*Machine
	pending  [][]Fetch
	fault    string
}

const worldSize = 5

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), now: start, head: 1, kept: 1}
	for i := range worldSize {
		w.machines = append(w.machines, New(DefaultSettings(), seed+uint64(i), w.now))
		w.pending = append(w.pending, nil)
	}
	return w
}

func peer(i int) Source { return Source{fmt.Sprint(i)} }

// revision returns what a source can hand out now.
func (w *world) revision(source Source) (uint64, bool) {
	if source == Store {
		return w.head, !w.outage
	}
	for i := range w.machines {
		if peer(i) == source {
			return w.machines[i].Applied()
		}
	}
	return 0, false
}

// step sends an event to a machine and checks each effect.
func (w *world) step(i int, e Event) {
	before, loaded := w.machines[i].Applied()
	for _, effect := range w.machines[i].Step(w.now, e) {
		switch effect := effect.(type) {
		case Fetch:
			w.pending[i] = append(w.pending[i], effect)
		case ApplyChanges:
			w.check(loaded && effect.First == before+1 && effect.Last >= effect.First, "changes don't continue")
			w.check(effect.Last <= w.head, "applied what was never committed")
		case ApplyFull:
			w.check(!loaded || effect.Revision > before, "whole copy isn't newer")
		}
	}
	after, _ := w.machines[i].Applied()
	w.check(after >= before, "revision fell")
}

func (w *world) check(ok bool, what string) {
	if !ok && w.fault == "" {
		w.fault = what
	}
}

// answer answers or loses one pending fetch of a machine, in any order.
func (w *world) answer(i int, lossy bool) {
	if len(w.pending[i]) == 0 {
		return
	}
	index := w.random.IntN(len(w.pending[i]))
	f := w.pending[i][index]
	w.pending[i] = append(w.pending[i][:index:index], w.pending[i][index+1:]...)
	revision, up := w.revision(f.Source)
	switch {
	case lossy && w.random.IntN(4) == 0:
		return
	case !up:
		w.step(i, FetchFailed{f.Source})
	case f.After == 0 || f.After+1 < w.kept:
		w.step(i, FullReceived{f.Source, revision})
	default:
		w.step(i, ChangesReceived{f.Source, span(f.After+1, revision), true})
	}
}

func span(first, last uint64) []uint64 {
	var out []uint64
	for r := first; r <= last; r++ {
		out = append(out, r)
	}
	return out
}

// disturb makes one random thing happen.
func (w *world) disturb() {
	i, j := w.random.IntN(worldSize), w.random.IntN(worldSize)
	w.now = w.now.Add(time.Duration(w.random.IntN(2000)) * time.Millisecond)
	switch w.random.IntN(10) {
	case 0, 1:
		w.head++
		w.kept = max(w.kept, w.head-min(w.head-1, 6))
	case 2:
		w.outage = !w.outage
	case 3: // a watch brings a record late or out of order
		w.step(i, ChangesReceived{Source: Store, Revisions: []uint64{1 + w.random.Uint64N(w.head)}})
	case 4: // a false or old announcement
		w.step(i, Announced{peer(j), w.random.Uint64N(2 * w.head)})
	case 5, 6:
		if revision, ok := w.revision(peer(j)); ok && i != j {
			w.step(i, Announced{peer(j), revision})
		}
	case 7: // restart
		w.machines[i] = New(DefaultSettings(), w.random.Uint64(), w.now)
		w.pending[i] = nil
	default:
		w.answer(i, true)
	}
	w.step(j, Tick{})
}

// settle ends all faults but leaves machine 0 as the only watcher.
func (w *world) settle() {
	w.outage = false
	for range 200 {
		w.now = w.now.Add(time.Second)
		w.step(0, Announced{Store, w.head})
		for i := range w.machines {
			if revision, ok := w.machines[i].Applied(); ok {
				w.step((i+1)%worldSize, Announced{peer(i), revision})
			}
			w.step(i, Tick{})
			for len(w.pending[i]) > 0 {
				w.answer(i, false)
			}
		}
	}
	for i := range w.machines {
		revision, _ := w.machines[i].Applied()
		w.check(revision == w.head, fmt.Sprintf("machine %d ends at %d of %d", i, revision, w.head))
	}
}

func TestRevisionNeverFallsAndAllArrives(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("revisions only rise and the newest is in force in the end", prop.ForAll(
		func(seed uint64, steps int) string {
			w := newWorld(seed)
			for range steps {
				w.disturb()
			}
			w.settle()
			return w.fault
		}, gen.UInt64(), gen.IntRange(10, 400)))
	properties.TestingRun(t)
}
