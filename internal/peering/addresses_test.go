package peering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// routersIn returns n accepting routers of a region with distinct addresses.
func routersIn(region string, n int) []Router {
	out := make([]Router, n)
	for i := range out {
		out[i] = Router{CallerAddress: fmt.Sprintf("%s:%d", region, i), Region: region, Accepting: true}
	}
	return out
}

func shuffler(seed uint64) func(int, func(i, j int)) {
	return rand.New(rand.NewPCG(seed, 0)).Shuffle
}

func TestCallersGetRoutersOfTheirRegion(t *testing.T) {
	routers := append(routersIn("east", 2), routersIn("west", 1)...)
	cases := []struct {
		name, region string
		want         int
	}{
		{"enough in the region", "east", 2},
		{"one in the region", "west", 3},
		{"a region without routers", "north", 3},
		{"no region given", "", 3},
	}
	for _, tc := range cases {
		if got := CallerAddresses(routers, tc.region, 64, shuffler(1)); len(got) != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
	routers[0].Leaving = true
	if got := CallerAddresses(routers, "east", 64, shuffler(1)); len(got) != 2 || slices.Contains(got, "east:0") {
		t.Errorf("with one leaving: %v", got)
	}
}

// When a region has more routers than the limit, random subsets still give every
// router its share of callers.
func TestAllRoutersGetCallers(t *testing.T) {
	const limit, queries = 64, 400
	routers := routersIn("east", 413)
	shuffle := shuffler(2)
	counts := map[string]int{}
	for range queries {
		got := CallerAddresses(routers, "east", limit, shuffle)
		if len(got) != limit {
			t.Fatalf("%d addresses", len(got))
		}
		for _, address := range got {
			counts[address]++
		}
	}
	// Each router is expected 62 times; half of that is four standard deviations
	// away.
	for _, r := range routers {
		if counts[r.CallerAddress] < limit*queries/len(routers)/2 {
			t.Errorf("%s was returned %d times", r.CallerAddress, counts[r.CallerAddress])
		}
	}
}
