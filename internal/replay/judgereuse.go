package replay

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// reuseTotals holds the number of prefix tokens of continued chats, and how many of
// them were cached.
type reuseTotals struct{ prefix, cached float64 }

func (u *reuseTotals) add(t *TurnRecord) {
	u.prefix += float64(t.PrefixTokens)
	u.cached += math.Min(float64(t.CachedTokens), float64(t.PrefixTokens))
}

func (u *reuseTotals) share() (float64, string) {
	if u.prefix == 0 {
		return 0, "no chat was continued"
	}
	return u.cached / u.prefix, ""
}

// measureReuse returns the fraction of prefix tokens that were cached, over the turns
// that continued a chat. It thus weights the turns by the length of the chat.
func measureReuse(r *Record) (float64, string) {
	total := reuseTotals{}
	for i := range r.Turns {
		if r.Turns[i].countsForReuse() {
			total.add(&r.Turns[i])
		}
	}
	return total.share()
}

func (t *TurnRecord) countsForReuse() bool { return t.Returning && t.Whole && t.PrefixTokens > 0 }

// measureReuseOfPossible is like measureReuse, over the turns that could have reused
// a cache: those whose chat's last engine was live and below its bound when they
// arrived. Other turns count too if they did reuse a cache.
func measureReuseOfPossible(r *Record) (float64, string) {
	turns := slices.Clone(r.Turns)
	slices.SortFunc(turns, func(a, b TurnRecord) int { return cmp.Compare(a.At, b.At) })
	last := make(map[string]string)
	total := reuseTotals{}
	for i := range turns {
		t := &turns[i]
		if t.countsForReuse() && (t.CachedTokens > 0 || r.hadCapacity(last[t.Chat], t)) {
			total.add(t)
		}
		last[t.Chat] = t.Upstream
	}
	return total.share()
}

// hadCapacity reports whether an engine was live and below the bound of its pool
// in the samples before and after the arrival of a turn.
func (r *Record) hadCapacity(engine string, t *TurnRecord) bool {
	after, _ := slices.BinarySearchFunc(r.Samples, t.At, func(s Sample, at time.Duration) int { return cmp.Compare(s.At, at) })
	if after == 0 || after == len(r.Samples) {
		return false
	}
	return r.Samples[after-1].hasCapacity(engine) && r.Samples[after].hasCapacity(engine)
}

func (s Sample) hasCapacity(engine string) bool {
	loads := poolLoads(s)
	for _, e := range s.Engines {
		if e.Name == engine {
			return e.Live && float64(e.InFlight) < loads[e.Pool].limit()
		}
	}
	return false
}
