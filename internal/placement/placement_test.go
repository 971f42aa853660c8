package placement

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Name: fmt.Sprintf("engine-%03d", i), Weight: 1}
	}
	return out
}

func hostNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("router-%03d", i)
	}
	return out
}

func first(s Strategy, r Request, cs []Candidate) string {
	return cs[s.Rank(r, cs, nil)[0]].Name
}

func TestEveryStrategyRanksEachCandidateOnce(t *testing.T) {
	for _, name := range []string{NameRendezvous, NameModulo, NameRandom, NameLeastLoaded, NameLeastOfTwo} {
		s, err := ByName(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range []int{0, 1, 2, 12, 600} {
			order := s.Rank(Request{Key: 7, Nonce: 9}, candidates(n), nil)
			slices.Sort(order)
			for i, index := range order {
				if index != i {
					t.Fatalf("%s ranks %d candidates as %v", name, n, order)
				}
			}
			if len(order) != n {
				t.Fatalf("%s ranks %d of %d", name, len(order), n)
			}
		}
	}
	if _, err := ByName("best"); !errors.Is(err, ErrUnknownStrategy) {
		t.Fatalf("unknown name: got %v, want ErrUnknownStrategy", err)
	}
}

func TestRemovalMovesOnlyChatsOfRemovedCandidate(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the order of the other candidates is unchanged", prop.ForAll(
		func(key uint64, n, removed int) bool {
			all := candidates(n)
			removedName := all[removed%n].Name
			left := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Name == removedName })
			var want, got []string
			for _, i := range (Rendezvous{}).Rank(Request{Key: key}, all, nil) {
				if all[i].Name != removedName {
					want = append(want, all[i].Name)
				}
			}
			for _, i := range (Rendezvous{}).Rank(Request{Key: key}, left, nil) {
				got = append(got, left[i].Name)
			}
			return slices.Equal(want, got)
		},
		gen.UInt64(), gen.IntRange(2, 80), gen.IntRange(0, 79),
	))
	properties.TestingRun(t)
}

func TestRendezvousFollowsWeights(t *testing.T) {
	cs := candidates(4)
	cs[0].Weight = 3
	count := 0
	const keys = 60000
	for k := range keys {
		if first(Rendezvous{}, Request{Key: Key(fmt.Sprint("chat-", k))}, cs) == cs[0].Name {
			count++
		}
	}
	if share := float64(count) / keys; share < 0.49 || share > 0.51 {
		t.Fatalf("weight 3 of 6 got a share of %.3f, want 0.5", share)
	}
}

func TestLeastLoadedPicksTheLowestLoadPerWeight(t *testing.T) {
	cs := []Candidate{{Name: "a", Weight: 1, InFlight: 3}, {Name: "b", Weight: 4, InFlight: 8}, {Name: "c", InFlight: 4}}
	for nonce := range uint64(100) {
		if got := first(LeastLoaded{}, Request{Nonce: nonce}, cs); got != "b" {
			t.Fatalf("got %s, want b", got)
		}
	}
}

func TestOwnerDependsOnlyOnSetOfHosts(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	properties.Property("owner does not depend on the order of hosts", prop.ForAll(
		func(name string, n int) bool {
			hosts := hostNames(n)
			owner, ok := Owner(name, hosts)
			random.Shuffle(n, func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
			again, _ := Owner(name, hosts)
			order := OwnersInOrder(name, hosts, 3)
			next, _ := Owner(name, slices.DeleteFunc(hosts, func(h string) bool { return h == owner }))
			return ok && owner == again && order[0] == owner && (n == 1 || order[1] == next)
		},
		gen.AlphaString(), gen.IntRange(1, 410),
	))
	properties.TestingRun(t)
	if _, ok := Owner("engine", nil); ok {
		t.Fatal("owner returned without hosts")
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{12, 600} {
		cs := candidates(n)
		dst := make([]int, 0, n)
		b.Run(fmt.Sprint(n, "engines"), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				dst = Rendezvous{}.Rank(Request{Key: uint64(i)}, cs, dst[:0])
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{4, 64, 410} {
		hosts := hostNames(n)
		b.Run(fmt.Sprint(n, "routers"), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				Owner("engine-001", hosts)
			}
		})
	}
}
