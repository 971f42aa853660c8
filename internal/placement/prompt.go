package placement

import "github.com/verbenatrail/verbenatrail/internal/locality"

// PromptPart is one piece of a prompt. A cached piece counts only if all pieces
// before it are cached too.
type PromptPart struct {
	ID     string
	Tokens int
}

// PromptCandidate is an engine with what decides about it.
type PromptCandidate struct {
	Name string
	// Load is the number of calls that it holds.
	Load int
	// CachedParts is the number of leading parts that it holds.
	CachedParts int
	// PendingPrefillTokens is the number of tokens that it was given to read and has not read.
	PendingPrefillTokens int
	// Degraded engines are taken when no other has room.
	Degraded bool
	// SourceOnly engines take no calls, but parts can be fetched from them.
	SourceOnly bool
	Distance   locality.Distance
}

// PromptSettings weigh cached parts against load.
type PromptSettings struct {
	// CachedLoadFactor and BoundExtra are the most load that an engine may have,
	// relative to the mean of all, and besides.
	CachedLoadFactor float64
	CachedLoadExtra  float64
	// UncachedLoadFactor and HomeExtra are the same for an engine that holds nothing of
	// the prompt: what is read anew can be read where there is room.
	UncachedLoadFactor float64
	UncachedLoadExtra  float64
	// ExcessCallTokens is the number of tokens to read that one more call at an engine
	// outweighs.
	ExcessCallTokens float64
	// PendingPrefillWeight is what a token that is to be read for other calls first
	// counts, against one of this call: it may be one of its own parts.
	PendingPrefillWeight float64
	// OtherRegionTokens is the number of tokens to read that the way to another region
	// outweighs.
	OtherRegionTokens float64
}

// DefaultPromptSettings returns the weights that daemons use.
func DefaultPromptSettings() PromptSettings {
	return PromptSettings{
		CachedLoadFactor: 1.8, CachedLoadExtra: 2.5, UncachedLoadFactor: 1.4, UncachedLoadExtra: 2, ExcessCallTokens: 60, PendingPrefillWeight: 0.7,
		OtherRegionTokens: 1500,
	}
}

// PromptChoice is the decision about one prompt.
type PromptChoice struct {
	// Index is the chosen candidate, -1 when there is none.
	Index int
	// Source is the candidate to fetch cached parts from, -1 for none.
	Source int
	// Mean is the mean load that the bound was taken from.
	Mean float64
	// UncachedTokens is the number of shared tokens that the chosen engine has to read.
	UncachedTokens int
}

// ChoosePrompt picks the engine for a prompt with shared parts: the one with
// the least left to read among those under the bound. Engines that hold
// equally much are tried in the rendezvous order of the last shared part, so
// that all routers agree on where a new prefix goes.
func ChoosePrompt(s PromptSettings, parts []PromptPart, candidates []PromptCandidate) PromptChoice {
	choice := PromptChoice{Index: -1, Source: -1}
	choice.Mean = meanLoad(candidates)
	var key uint64
	if len(parts) > 0 {
		key = Key(parts[len(parts)-1].ID)
	}
	best := scoredEngine{index: -1}
	for i, c := range candidates {
		if c.SourceOnly {
			continue
		}
		e := score(s, parts, c, choice.Mean, key)
		e.index = i
		if best.index < 0 || e.better(best) {
			best = e
		}
	}
	if best.index < 0 {
		return choice
	}
	choice.Index = best.index
	choice.UncachedTokens = unread(parts, candidates[best.index].CachedParts)
	choice.Source = source(parts, candidates, best.index)
	return choice
}

// meanLoad is the mean over the engines that take calls, with the call that is
// to be placed.
func meanLoad(candidates []PromptCandidate) float64 {
	total, engines := 1, 0
	for _, c := range candidates {
		if !c.SourceOnly {
			total += c.Load
			engines++
		}
	}
	return float64(total) / float64(max(engines, 1))
}

// unread is the number of tokens in the parts after a depth.
func unread(parts []PromptPart, depth int) int {
	tokens := 0
	for _, part := range parts[min(depth, len(parts)):] {
		tokens += part.Tokens
	}
	return tokens
}

// scoredEngine orders candidates: those under their bound first, then the least
// cost, then the rendezvous order.
type scoredEngine struct {
	index    int
	degraded bool
	over     bool
	cost     float64
	affinity float64
}

func score(s PromptSettings, parts []PromptPart, c PromptCandidate, mean float64, key uint64) scoredEngine {
	factor, extra := s.UncachedLoadFactor, s.UncachedLoadExtra
	if c.CachedParts > 0 && c.CachedParts == len(parts) {
		factor, extra = s.CachedLoadFactor, s.CachedLoadExtra
	}
	bound := factor*mean + extra
	over := float64(c.Load+1) > bound
	cost := float64(unread(parts, c.CachedParts)) + s.PendingPrefillWeight*float64(c.PendingPrefillTokens) + s.ExcessCallTokens*max(0, float64(c.Load)-mean)
	if c.Distance == locality.OtherRegion {
		cost += s.OtherRegionTokens
	}
	if over {
		// Beyond the bound, evenness alone counts.
		cost = float64(c.Load)
	}
	return scoredEngine{degraded: c.Degraded, over: over, cost: cost, affinity: rendezvousScore(key, c.Name, 1)}
}

// costStep is the difference in cost, in tokens, below which the rendezvous
// order decides.
const costStep = 256

func (e scoredEngine) better(other scoredEngine) bool {
	if e.over != other.over {
		return !e.over
	}
	if e.degraded != other.degraded {
		return !e.degraded
	}
	if e.over {
		return e.cost < other.cost || e.cost == other.cost && e.affinity > other.affinity
	}
	a, b := int(e.cost)/costStep, int(other.cost)/costStep
	return a < b || a == b && e.affinity > other.affinity
}

// source returns the candidate that holds the most of the parts beyond the
// chosen one, -1 for none. Of equals, the least loaded one is taken.
func source(parts []PromptPart, candidates []PromptCandidate, chosen int) int {
	found, depth := -1, candidates[chosen].CachedParts
	for i, c := range candidates {
		if i == chosen || c.CachedParts <= depth {
			continue
		}
		if found >= 0 && c.CachedParts == candidates[found].CachedParts && c.Load >= candidates[found].Load {
			continue
		}
		if found < 0 || c.CachedParts >= candidates[found].CachedParts {
			found = i
		}
	}
	return found
}
