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

func TestPromptGoesToEngineWithMostPartsCached(t *testing.T) {
	candidates := engines(4)
	candidates[1].CachedParts, candidates[2].CachedParts = 1, 2
	choice := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates)
	if choice.Index != 2 || choice.Source != -1 || choice.UncachedTokens != 0 {
		t.Errorf("unexpected choice %+v", choice)
	}
}

func TestOverloadedEngineIsFetchSource(t *testing.T) {
	candidates := engines(3)
	candidates[2].CachedParts, candidates[2].Load = 2, 50
	choice := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates)
	if choice.Index == 2 || choice.Source != 2 || choice.UncachedTokens != 8500 {
		t.Errorf("unexpected choice %+v", choice)
	}
}

func TestSourceOnlyEngineIsNotChosen(t *testing.T) {
	candidates := engines(3)
	candidates[0].CachedParts, candidates[0].SourceOnly = 2, true
	choice := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates)
	if choice.Index == 0 || choice.Source != 0 {
		t.Errorf("unexpected choice %+v", choice)
	}
	if got := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates[:1]).Index; got != -1 {
		t.Errorf("only a source-only engine: got index %d, want -1", got)
	}
}

func TestPendingPrefillIsAvoided(t *testing.T) {
	candidates := engines(2)
	first := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates).Index
	candidates[first].PendingPrefillTokens = 9000
	if second := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates).Index; second == first {
		t.Error("a new prompt goes to an engine with 9,000 pending tokens although another one is idle")
	}
}

func TestDegradedEnginesAreAvoided(t *testing.T) {
	candidates := engines(3)
	candidates[0].CachedParts, candidates[0].Degraded = 2, true
	if choice := ChoosePrompt(DefaultPromptSettings(), twoParts, candidates); choice.Index == 0 {
		t.Errorf("unexpected choice %+v", choice)
	}
}

// No engine above its load limit is chosen while another one is below, equal
// arguments give equal choices, and a fetch source always has more parts cached
// than the chosen engine.
func TestChoicesKeepLoadLimit(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	properties.Property("load limit, determinism and fetch sources", prop.ForAll(
		func(loads, cachedParts []int) bool {
			s := DefaultPromptSettings()
			candidates := engines(len(loads))
			for i := range candidates {
				candidates[i].Load, candidates[i].CachedParts = loads[i], cachedParts[i]
			}
			choice := ChoosePrompt(s, twoParts, candidates)
			if again := ChoosePrompt(s, twoParts, candidates); again != choice {
				return false
			}
			chosen := candidates[choice.Index]
			if choice.Source >= 0 && candidates[choice.Source].CachedParts <= chosen.CachedParts {
				return false
			}
			limit := s.CachedLoadFactor*choice.Mean + s.CachedLoadExtra
			if float64(chosen.Load+1) <= limit {
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

func TestPrefixIndex(t *testing.T) {
	index := NewPrefixIndex()
	hashes := PartHashes("m", twoParts)
	if !index.Add(promptStart, "e", hashes[:1]) {
		t.Error("Add returned false for a new part")
	}
	if index.Add(promptStart, "e", hashes[:1]) {
		t.Error("Add returned true for a known part")
	}
	if got := index.CachedParts(promptStart, "e", hashes); got != 1 {
		t.Errorf("%d cached parts, want 1", got)
	}
	index.Add(promptStart, "e", hashes)
	if got := index.CachedParts(promptStart, "e", hashes); got != 2 {
		t.Errorf("%d cached parts, want 2", got)
	}
	if got := index.CachedParts(promptStart, "e", PartHashes("other model", twoParts)); got != 0 {
		t.Errorf("%d cached parts for another model, want 0", got)
	}
	if got := index.CachedParts(promptStart.Add(entryLifetime+time.Second), "e", hashes); got != 0 {
		t.Errorf("%d cached parts after the lifetime, want 0", got)
	}
	index.Remove("e", hashes[1:])
	if got := index.CachedParts(promptStart, "e", hashes); got != 1 {
		t.Errorf("%d cached parts after the removal of a part, want 1", got)
	}
	index.RemoveEngine("e")
	if got := index.CachedParts(promptStart, "e", hashes); got != 0 {
		t.Errorf("%d cached parts at a removed engine, want 0", got)
	}
}

// A cached part cannot be used if a part before it is missing.
func TestPartsAfterGapDoNotCount(t *testing.T) {
	index := NewPrefixIndex()
	hashes := PartHashes("m", twoParts)
	index.Add(promptStart, "e", hashes[1:])
	if got := index.CachedParts(promptStart, "e", hashes); got != 0 {
		t.Errorf("%d cached parts, want 0", got)
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	index := NewPrefixIndex()
	for i := range 3 * maxPartsPerEngine {
		index.Add(promptStart, "e", []uint64{uint64(i)})
	}
	n := 0
	index.Each(promptStart, func(string, uint64) { n++ })
	if n != maxPartsPerEngine {
		t.Errorf("%d parts indexed, want %d", n, maxPartsPerEngine)
	}
}

func TestChooseByLoad(t *testing.T) {
	cases := []struct {
		name       string
		candidates []LoadCandidate
		want       int
	}{
		{"least loaded", []LoadCandidate{{Name: "a", Load: 4}, {Name: "b", Load: 1}}, 1},
		{"same domain before another one", []LoadCandidate{{Name: "a", Distance: locality.SameRegion}, {Name: "b"}}, 1},
		{"another domain if the same one is busy", []LoadCandidate{{Name: "a", Distance: locality.SameRegion}, {Name: "b", Load: 3}}, 0},
		{"same region while it has free slots", []LoadCandidate{{Name: "a", Distance: locality.OtherRegion, Slots: 6}, {Name: "b", Load: 3, Slots: 6}}, 1},
		{"another region if the same one has no free slots", []LoadCandidate{{Name: "a", Distance: locality.OtherRegion, Slots: 6}, {Name: "b", Load: 6, Slots: 6}}, 0},
		{"warm before cold", []LoadCandidate{{Name: "a", Cold: true}, {Name: "b", Load: 1}}, 1},
		{"healthy before degraded", []LoadCandidate{{Name: "a", Slots: 6, Degraded: true}, {Name: "b", Load: 5, Slots: 6}}, 1},
		{"degraded if there is no other", []LoadCandidate{{Name: "a", Slots: 6, Degraded: true}}, 0},
	}
	for _, tc := range cases {
		if got, _ := ChooseByLoad(1, tc.candidates); got != tc.want {
			t.Errorf("%s: got index %d, want %d", tc.name, got, tc.want)
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
