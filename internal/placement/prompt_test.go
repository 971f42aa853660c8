package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/verbenatrail/verbenatrail/internal/locality"
)

var (
	promptStart = time.Unix(1_800_000_000, 0)
	twoParts    = []PromptPart{{ID: "base", Tokens: 2500}, {ID: "subject", Tokens: 6000}}
)

func engines(n int) []PromptCandidate {
	out := make([]PromptCandidate, n)
	for i := range out {
		out[i].Name = fmt.Sprintf("engine-%02d", i)
	}
	return out
}

func TestAPromptGoesWhereMostOfItIsHeld(t *testing.T) {
	candidates := engines(4)
	candidates[1].CachedParts, candidates[2].CachedParts = 1, 2
	choice := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates)
	if choice.Index != 2 || choice.Source != -1 || choice.UncachedTokens != 0 {
		t.Errorf("%+v", choice)
	}
}

func TestAFullHolderIsASource(t *testing.T) {
	candidates := engines(3)
	candidates[2].CachedParts, candidates[2].Load = 2, 50
	choice := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates)
	if choice.Index == 2 || choice.Source != 2 || choice.UncachedTokens != 8500 {
		t.Errorf("%+v", choice)
	}
}

func TestLeavingEnginesAreSourcesOnly(t *testing.T) {
	candidates := engines(3)
	candidates[0].CachedParts, candidates[0].SourceOnly = 2, true
	choice := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates)
	if choice.Index == 0 || choice.Source != 0 {
		t.Errorf("%+v", choice)
	}
	if got := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates[:1]).Index; got != -1 {
		t.Errorf("with nothing else: %d", got)
	}
}

func TestWhatIsBeingReadCounts(t *testing.T) {
	candidates := engines(2)
	first := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates).Index
	candidates[first].PendingPrefillTokens = 9000
	if second := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates).Index; second == first {
		t.Error("a new prompt goes behind 9,000 tokens although another engine is idle")
	}
}

func TestDegradedEnginesAreAvoided(t *testing.T) {
	candidates := engines(3)
	candidates[0].CachedParts, candidates[0].Degraded = 2, true
	if choice := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates); choice.Index == 0 {
		t.Errorf("%+v", choice)
	}
}

// No engine over its bound is chosen while another one is under it, the same
// state gives the same choice, and a source always holds more than the choice.
func TestChoicesHoldTheBound(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	properties.Property("bound, agreement and sources", prop.ForAll(
		func(loads, depths []int) bool {
			s := DefaultPromptSettings()
			candidates := engines(len(loads))
			for i := range candidates {
				candidates[i].Load, candidates[i].CachedParts = loads[i], depths[i]
			}
			choice := ChoosePrompt(s, twoParts, candidates)
			if again := ChoosePrompt(s, twoParts, candidates); again != choice {
				return false
			}
			chosen := candidates[choice.Index]
			if choice.Source >= 0 && candidates[choice.Source].CachedParts <= chosen.CachedParts {
				return false
			}
			widest := s.CachedLoadFactor*choice.Mean + s.CachedLoadExtra
			if float64(chosen.Load+1) <= widest {
				return true
			}
			for _, c := range candidates {
				if float64(c.Load+1) <= s.UncachedLoadFactor*choice.Mean+s.UncachedLoadExtra {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(12, gen.IntRange(0, 40)), gen.SliceOfN(12, gen.IntRange(0, 2)),
	))
	properties.TestingRun(t)
}

func TestHoldings(t *testing.T) {
	h := NewPrefixIndex()
	hashes := PartHashes("m", twoParts)
	if !h.Add(promptStart, "e", hashes[:1]) {
		t.Error("a new part is no news")
	}
	if h.Add(promptStart, "e", hashes[:1]) {
		t.Error("a known part is news")
	}
	if got := h.CachedParts(promptStart, "e", hashes); got != 1 {
		t.Errorf("depth %d, want 1", got)
	}
	h.Add(promptStart, "e", hashes)
	if got := h.CachedParts(promptStart, "e", hashes); got != 2 {
		t.Errorf("depth %d, want 2", got)
	}
	if got := h.CachedParts(promptStart, "e", PartHashes("other model", twoParts)); got != 0 {
		t.Errorf("depth for another model %d", got)
	}
	if got := h.CachedParts(promptStart.Add(holdLifetime+time.Second), "e", hashes); got != 0 {
		t.Errorf("depth after the lifetime %d", got)
	}
	h.Remove("e", hashes[1:])
	if got := h.CachedParts(promptStart, "e", hashes); got != 1 {
		t.Errorf("depth after a drop %d", got)
	}
	h.RemoveEngine("e")
	if got := h.CachedParts(promptStart, "e", hashes); got != 0 {
		t.Errorf("depth of a forgotten engine %d", got)
	}
}

// A part whose predecessor is missing helps nobody.
func TestPartsAfterAGapDoNotCount(t *testing.T) {
	h := NewPrefixIndex()
	hashes := PartHashes("m", twoParts)
	h.Add(promptStart, "e", hashes[1:])
	if got := h.CachedParts(promptStart, "e", hashes); got != 0 {
		t.Errorf("depth %d", got)
	}
}

func TestHoldingsAreBounded(t *testing.T) {
	h := NewPrefixIndex()
	for i := range 3 * maxHeld {
		h.Add(promptStart, "e", []uint64{uint64(i)})
	}
	n := 0
	h.Each(promptStart, func(string, uint64) { n++ })
	if n != maxHeld {
		t.Errorf("%d parts in memory, want %d", n, maxHeld)
	}
}

func TestChooseByLoad(t *testing.T) {
	cases := []struct {
		name       string
		candidates []LoadCandidate
		want       int
	}{
		{"least loaded", []LoadCandidate{{Name: "a", Load: 4}, {Name: "b", Load: 1}}, 1},
		{"near before far", []LoadCandidate{{Name: "a", Distance: locality.SameRegion}, {Name: "b"}}, 1},
		{"far when near is busy", []LoadCandidate{{Name: "a", Distance: locality.SameRegion}, {Name: "b", Load: 3}}, 0},
		{"the region while it has room", []LoadCandidate{{Name: "a", Distance: locality.OtherRegion, Slots: 6}, {Name: "b", Load: 3, Slots: 6}}, 1},
		{"another region when it has none", []LoadCandidate{{Name: "a", Distance: locality.OtherRegion, Slots: 6}, {Name: "b", Load: 6, Slots: 6}}, 0},
		{"cold later", []LoadCandidate{{Name: "a", Cold: true}, {Name: "b", Load: 1}}, 1},
		{"degraded last", []LoadCandidate{{Name: "a", Slots: 6, Degraded: true}, {Name: "b", Load: 5, Slots: 6}}, 1},
		{"degraded alone", []LoadCandidate{{Name: "a", Slots: 6, Degraded: true}}, 0},
	}
	for _, tc := range cases {
		if got, _ := ChooseByLoad(1, tc.candidates); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}

func BenchmarkChoosePrompt(b *testing.B) {
	for _, n := range []int{12, 140, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			candidates := engines(n)
			for i := range candidates {
				candidates[i].Load, candidates[i].CachedParts = i%7, i%3
			}
			for b.Loop() {
				ChoosePrompt(DefaultPromptSettings(), twoParts, candidates)
			}
		})
	}
}
