package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	spreadRound     = 500 * time.Millisecond
	spreadDomains   = 5
	spreadFetch     = 5 * time.Millisecond
	spreadMaxRounds = 10_000
)

// spread simulates machines in virtual time. In each round, every machine exchanges a
// datagram and its response with a randomly chosen one.
type spread struct {
	random   *rand.Rand
	machines []*Machine
	now      time.Time
}

func newSpread(size int, seed uint64) *spread {
	s := &spread{random: rand.New(rand.NewPCG(seed, 2)), now: start}
	for i := range size {
		m := New(DefaultSettings(), seed+uint64(i), s.now)
		m.Step(s.now, FullReceived{Store, 1})
		s.machines = append(s.machines, m)
	}
	return s
}

// announce announces the revision of one machine to another, which fetches it if it
// is newer.
func (s *spread) announce(to, from int) {
	revision, _ := s.machines[from].Applied()
	for _, effect := range s.machines[to].Step(s.now, Announced{peer(from), revision}) {
		if f, ok := effect.(Fetch); ok {
			s.machines[to].Step(s.now.Add(spreadFetch), ChangesReceived{f.Source, revisionRange(f.After+1, revision), true})
		}
	}
}

// run returns the time from the delivery of revision 2 to the watchers until it is in
// force on all machines, or until spreadMaxRounds rounds have passed.
func (s *spread) run(watchers int) time.Duration {
	for i := range watchers {
		s.machines[i].Step(s.now, ChangesReceived{Source: Store, Revisions: []uint64{2}})
	}
	for range spreadMaxRounds {
		if s.done() {
			return s.now.Sub(start)
		}
		s.now = s.now.Add(spreadRound)
		for _, i := range s.random.Perm(len(s.machines)) {
			j := s.random.IntN(len(s.machines))
			s.announce(i, j)
			s.announce(j, i)
		}
	}
	return s.now.Sub(start)
}

func (s *spread) done() bool {
	for _, m := range s.machines {
		if revision, _ := m.Applied(); revision < 2 {
			return false
		}
	}
	return true
}

// BenchmarkSpread reports the virtual time until a change is in force on all daemons,
// the maximum and the mean over the runs. The case with a single watcher is the slow
// one.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{4, 32, 128, 410} {
		for _, watchers := range []int{1, min(size, spreadDomains*DefaultWatchers)} {
			b.Run(fmt.Sprintf("daemons=%d/watchers=%d", size, watchers), func(b *testing.B) {
				var worst, total time.Duration
				for round := range b.N {
					took := newSpread(size, uint64(round)).run(watchers)
					worst = max(worst, took)
					total += took
				}
				b.ReportMetric(worst.Seconds(), "worst-s")
				b.ReportMetric(total.Seconds()/float64(b.N), "mean-s")
			})
		}
	}
}
