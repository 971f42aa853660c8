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

func format(effects []Effect) string { return fmt.Sprintf("%+v", effects) }

func TestStartFetchesFromServiceAfterGrace(t *testing.T) {
	m := newMachine()
	if got := format(m.Step(start, Tick{})); got != "[]" {
		t.Fatal(got)
	}
	if got := format(m.Step(start.Add(time.Second), Tick{})); got != "[{Source:{Peer:} After:0}]" {
		t.Fatal(got)
	}
}

func TestStartDuringOutageFetchesNewestOfPeers(t *testing.T) {
	m := newMachine()
	m.Step(start, Announced{Source{"a"}, 7})
	m.Step(start, FetchFailed{Source{"a"}})
	m.Step(start, Announced{Source{"c"}, 6})
	if got := format(m.Step(start, Announced{Source{"b"}, 9})); got != "[{Source:{Peer:b} After:0}]" {
		t.Fatal("a new revision doesn't end the back-off", got)
	}
	if got := format(m.Step(start, FullReceived{Source{"b"}, 9})); got != "[{Revision:9}]" {
		t.Fatal(got)
	}
}

func TestGapIsFetchedAndLowerRevisionIsIgnored(t *testing.T) {
	m := newMachine()
	m.Step(start, FullReceived{Store, 5})
	if got := format(m.Step(start, ChangesReceived{Source: Store, Revisions: []uint64{7}})); got != "[{Source:{Peer:} After:5}]" {
		t.Fatal(got)
	}
	if got := format(m.Step(start, ChangesReceived{Source: Store, Revisions: []uint64{4, 5, 6, 7}, Requested: true})); got != "[{First:6 Last:7}]" {
		t.Fatal(got)
	}
	if got := format(m.Step(start, FullReceived{Source{"old"}, 6})); got != "[]" {
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
	if got := format(m.Step(start, Announced{Source{"a"}, 1 << 60})); got != "[]" {
		t.Fatal("fetched again without a back-off", got)
	}
}

func TestWatchersChangeMinimallyWithLiveMembers(t *testing.T) {
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

// simulation is a key-value service and processes that fetch from it and from each
// other, with random faults determined by a seed.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	head      uint64
	retained  uint64 // lowest revision whose changes the service retains
	outage    bool
	machines  []*Machine
	pending   [][]Fetch
	violation string
}

const processCount = 5

func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: start, head: 1, retained: 1}
	for i := range processCount {
		s.machines = append(s.machines, New(DefaultSettings(), seed+uint64(i), s.now))
		s.pending = append(s.pending, nil)
	}
	return s
}

func peer(i int) Source { return Source{fmt.Sprint(i)} }

// revision returns the revision that a source currently serves, and whether it serves
// one.
func (s *simulation) revision(source Source) (uint64, bool) {
	if source == Store {
		return s.head, !s.outage
	}
	for i := range s.machines {
		if peer(i) == source {
			return s.machines[i].Applied()
		}
	}
	return 0, false
}

// step sends an event to a machine and checks each effect.
func (s *simulation) step(i int, e Event) {
	before, loaded := s.machines[i].Applied()
	for _, effect := range s.machines[i].Step(s.now, e) {
		switch effect := effect.(type) {
		case Fetch:
			s.pending[i] = append(s.pending[i], effect)
		case ApplyChanges:
			s.check(loaded && effect.First == before+1 && effect.Last >= effect.First, "changes don't continue the revision in force")
			s.check(effect.Last <= s.head, "applied a revision that was never committed")
		case ApplyFull:
			s.check(!loaded || effect.Revision > before, "full copy isn't newer")
		}
	}
	after, _ := s.machines[i].Applied()
	s.check(after >= before, "revision decreased")
}

func (s *simulation) check(ok bool, what string) {
	if !ok && s.violation == "" {
		s.violation = what
	}
}

// resolveFetch completes, fails or, if lossy, may lose a random pending fetch of a
// machine.
func (s *simulation) resolveFetch(i int, lossy bool) {
	if len(s.pending[i]) == 0 {
		return
	}
	index := s.random.IntN(len(s.pending[i]))
	f := s.pending[i][index]
	s.pending[i] = append(s.pending[i][:index:index], s.pending[i][index+1:]...)
	revision, up := s.revision(f.Source)
	switch {
	case lossy && s.random.IntN(4) == 0:
		return
	case !up:
		s.step(i, FetchFailed{f.Source})
	case f.After == 0 || f.After+1 < s.retained:
		s.step(i, FullReceived{f.Source, revision})
	default:
		s.step(i, ChangesReceived{f.Source, revisionRange(f.After+1, revision), true})
	}
}

func revisionRange(first, last uint64) []uint64 {
	var out []uint64
	for r := first; r <= last; r++ {
		out = append(out, r)
	}
	return out
}

// randomStep advances the time and triggers a random event or fault.
func (s *simulation) randomStep() {
	i, j := s.random.IntN(processCount), s.random.IntN(processCount)
	s.now = s.now.Add(time.Duration(s.random.IntN(2000)) * time.Millisecond)
	switch s.random.IntN(10) {
	case 0, 1:
		s.head++
		s.retained = max(s.retained, s.head-min(s.head-1, 6))
	case 2:
		s.outage = !s.outage
	case 3: // a watch delivers a record late or out of order
		s.step(i, ChangesReceived{Source: Store, Revisions: []uint64{1 + s.random.Uint64N(s.head)}})
	case 4: // a false or outdated announcement
		s.step(i, Announced{peer(j), s.random.Uint64N(2 * s.head)})
	case 5, 6:
		if revision, ok := s.revision(peer(j)); ok && i != j {
			s.step(i, Announced{peer(j), revision})
		}
	case 7: // restart
		s.machines[i] = New(DefaultSettings(), s.random.Uint64(), s.now)
		s.pending[i] = nil
	default:
		s.resolveFetch(i, true)
	}
	s.step(j, Tick{})
}

// converge ends all faults, with machine 0 as the only watcher, and checks that the
// newest revision reaches all machines.
func (s *simulation) converge() {
	s.outage = false
	for range 200 {
		s.now = s.now.Add(time.Second)
		s.step(0, Announced{Store, s.head})
		for i := range s.machines {
			if revision, ok := s.machines[i].Applied(); ok {
				s.step((i+1)%processCount, Announced{peer(i), revision})
			}
			s.step(i, Tick{})
			for len(s.pending[i]) > 0 {
				s.resolveFetch(i, false)
			}
		}
	}
	for i := range s.machines {
		revision, _ := s.machines[i].Applied()
		s.check(revision == s.head, fmt.Sprintf("machine %d ends at revision %d, want %d", i, revision, s.head))
	}
}

// TestRevisionNeverDecreasesAndConverges guards against a revision in force that
// decreases, is applied with a gap or was never committed, and against processes that
// don't reach the newest revision after random faults.
func TestRevisionNeverDecreasesAndConverges(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("revisions only increase and the newest one is finally applied", prop.ForAll(
		func(seed uint64, steps int) string {
			s := newSimulation(seed)
			for range steps {
				s.randomStep()
			}
			s.converge()
			return s.violation
		}, gen.UInt64(), gen.IntRange(10, 400)))
	properties.TestingRun(t)
}
