package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	spreadRound    = 500 * time.Millisecond
	spreadDomains  = 5
	spreadFetch    = 5 * time.Millisecond
	spreadMaxTicks = 10_000
)

// spread is a number of machines in virtual time that exchange one datagram and
// its answer with a random other in each round.
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

// hear announces the revision of one machine to another, which fetches it.
func (s *spread) hear(to, from int) {
	revision, _ := s.machines[from].Applied()
	for _, effect := range s.machines[to].Step(s.now, Announced{peer(from), revision}) {
		if f, ok := effect.(Fetch); ok {
			s.machines[to].Step(s.now.Add(spreadFetch), ChangesReceived{f.Source, span(f.After+1, revision), true})
		}
	}
}

// run returns the time until revision 2 is in force everywhere, after it was
// delivered to a number of watchers.
func (s *spread) run(watchers int) time.Duration {
	for i := range watchers {
		s.machines[i].Step(s.now, ChangesReceived{Source: Store, Revisions: []uint64{2}})
	}
	for range spreadMaxTicks {
		if s.done() {
			return s.now.Sub(start)
		}
		s.now = s.now.Add(spreadRound)
		for _, i := range s.random.Perm(len(s.machines)) {
			j := s.random.IntN(len(s.machines))
			s.hear(i, j)
			s.hear(j, i)
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

// BenchmarkSpread reports the virtual time until a change is in force on all
// daemons, at its worst over the runs. The slow case has a single watcher.
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
