package placement

import "github.com/verbenatrail/verbenatrail/internal/locality"

// PromptPart is one part of a prompt. A cached part can be used only if all parts
// before it are cached too.
type PromptPart struct {
	ID     string
	Tokens int
}

// PromptCandidate is an engine that may receive a prompt, with the properties that
// ChoosePrompt uses.
type PromptCandidate struct {
	Name string
	// Load is the number of calls in flight.
	Load int
	// CachedParts is the number of leading parts of the prompt in its cache.
	CachedParts int
	// PendingPrefillTokens is the number of prompt tokens of earlier calls that
	// the engine has yet to process.
	PendingPrefillTokens int
	// Degraded engines are chosen only if no other is below its load limit.
	Degraded bool
	// SourceOnly engines accept no calls, but cached parts can be fetched from
	// them.
	SourceOnly bool
	Distance   locality.Distance
}

// PromptSettings holds the weights of cached parts against load. Costs are
// expressed in prompt tokens to process.
type PromptSettings struct {
	// CachedLoadFactor and CachedLoadExtra define the load limit of an engine
	// that has all shared parts cached: the factor times the mean load, plus the
	// extra calls.
	CachedLoadFactor float64
	CachedLoadExtra  float64
	// UncachedLoadFactor and UncachedLoadExtra define the load limit of any other
	// engine: parts that are not cached can be processed wherever there is room.
	UncachedLoadFactor float64
	UncachedLoadExtra  float64
	// ExcessCallTokens is the cost of each call of an engine's load above the
	// mean.
	ExcessCallTokens float64
	// PendingPrefillWeight is the cost of a token pending for other calls,
	// relative to an uncached token of this call. A pending token may belong to a
	// part that this call shares.
	PendingPrefillWeight float64
	// OtherRegionTokens is the cost of the network distance to another region.
	OtherRegionTokens float64
}

// DefaultPromptSettings returns the weights used by the daemons.
func DefaultPromptSettings() PromptSettings {
	return PromptSettings{
		CachedLoadFactor: 1.8, CachedLoadExtra: 2.5, UncachedLoadFactor: 1.4, UncachedLoadExtra: 2,
		ExcessCallTokens: 60, PendingPrefillWeight: 0.7, OtherRegionTokens: 1500,
	}
}

// PromptChoice is the result of ChoosePrompt.
type PromptChoice struct {
	// Index is the chosen candidate, -1 if there is none.
	Index int
	// Source is the candidate to fetch cached parts from, -1 if there is none.
	Source int
	// Mean is the mean load from which the load limits were computed.
	Mean float64
	// UncachedTokens is the number of tokens in the shared parts that the chosen
	// engine does not have cached.
	UncachedTokens int
}

// ChoosePrompt chooses the engine for a prompt with shared parts: the one with the
// lowest cost among those below their load limits. Engines of nearly equal cost
// are ordered by rendezvous hashing of the last shared part, so that all routers
// agree on the engine for a new prefix.
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
	choice.UncachedTokens = uncachedTokens(parts, candidates[best.index].CachedParts)
	choice.Source = fetchSource(parts, candidates, best.index)
	return choice
}

// meanLoad returns the mean load of the engines that accept calls, including the
// call to be placed.
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

// uncachedTokens returns the number of tokens in all parts but the first cached
// ones.
func uncachedTokens(parts []PromptPart, cached int) int {
	tokens := 0
	for _, part := range parts[min(cached, len(parts)):] {
		tokens += part.Tokens
	}
	return tokens
}

// scoredEngine holds the sort keys of a candidate: engines below their load limit
// come first, then those that are not degraded, then the lowest cost, then the
// rendezvous order.
type scoredEngine struct {
	index     int
	degraded  bool
	overLimit bool
	cost      float64
	affinity  float64
}

func score(s PromptSettings, parts []PromptPart, c PromptCandidate, mean float64, key uint64) scoredEngine {
	factor, extra := s.UncachedLoadFactor, s.UncachedLoadExtra
	if c.CachedParts > 0 && c.CachedParts == len(parts) {
		factor, extra = s.CachedLoadFactor, s.CachedLoadExtra
	}
	limit := factor*mean + extra
	over := float64(c.Load+1) > limit
	cost := float64(uncachedTokens(parts, c.CachedParts)) + s.PendingPrefillWeight*float64(c.PendingPrefillTokens) + s.ExcessCallTokens*max(0, float64(c.Load)-mean)
	if c.Distance == locality.OtherRegion {
		cost += s.OtherRegionTokens
	}
	if over {
		// Above the limit, only the load counts, to spread the excess evenly.
		cost = float64(c.Load)
	}
	return scoredEngine{degraded: c.Degraded, overLimit: over, cost: cost, affinity: rendezvousScore(key, c.Name, 1)}
}

// costStepTokens is the size of the steps, in tokens, to which costs are rounded
// down. Engines of the same step are ordered by rendezvous hashing.
const costStepTokens = 256

// better reports whether e is preferred to other.
func (e scoredEngine) better(other scoredEngine) bool {
	if e.overLimit != other.overLimit {
		return !e.overLimit
	}
	if e.degraded != other.degraded {
		return !e.degraded
	}
	if e.overLimit {
		return e.cost < other.cost || e.cost == other.cost && e.affinity > other.affinity
	}
	a, b := int(e.cost)/costStepTokens, int(other.cost)/costStepTokens
	return a < b || a == b && e.affinity > other.affinity
}

// fetchSource returns the candidate with the most cached parts if it has more than
// the chosen one, or -1. Of equal ones, it returns the least loaded.
func fetchSource(parts []PromptPart, candidates []PromptCandidate, chosen int) int {
	found, cached := -1, candidates[chosen].CachedParts
	for i, c := range candidates {
		if i == chosen || c.CachedParts <= cached {
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
