package replay

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// reuse sums prefix tokens of returning chats, and those that were cached.
type reuse struct{ prefix, cached float64 }

func (u *reuse) add(t *TurnRecord) {
	u.prefix += float64(t.PrefixTokens)
	u.cached += math.Min(float64(t.CachedTokens), float64(t.PrefixTokens))
}

func (u *reuse) share() (float64, string) {
	if u.prefix == 0 {
		return 0, "no chat returned"
	}
	return u.cached / u.prefix, ""
}

// measureReuse weighs the turns of returning chats by the length of the chat.
func measureReuse(r *Record) (float64, string) {
	total := reuse{}
	for i := range r.Turns {
		if r.Turns[i].returned() {
			total.add(&r.Turns[i])
		}
	}
	return total.share()
}

func (t *TurnRecord) returned() bool { return t.Returning && t.Whole && t.PrefixTokens > 0 }

// measureReuseOfPossible divides by the turns whose last engine was live and
// below its bound when they came. Turns that reused a cache all the same count
// in both sums.
func measureReuseOfPossible(r *Record) (float64, string) {
	turns := slices.Clone(r.Turns)
	slices.SortFunc(turns, func(a, b TurnRecord) int { return cmp.Compare(a.At, b.At) })
	last := make(map[string]string)
	total := reuse{}
	for i := range turns {
		t := &turns[i]
		if t.returned() && (t.CachedTokens > 0 || r.hadRoom(last[t.Chat], t)) {
			total.add(t)
		}
		last[t.Chat] = t.Upstream
	}
	return total.share()
}

// hadRoom reports whether an engine was live and below the bound of its pool
// in the samples around the arrival of a turn.
func (r *Record) hadRoom(engine string, t *TurnRecord) bool {
	after, _ := slices.BinarySearchFunc(r.Samples, t.At, func(s Sample, at time.Duration) int { return cmp.Compare(s.At, at) })
	if after == 0 || after == len(r.Samples) {
		return false
	}
	return r.Samples[after-1].hasRoom(engine) && r.Samples[after].hasRoom(engine)
}

func (s Sample) hasRoom(engine string) bool {
	loads := poolLoads(s)
	for _, e := range s.Engines {
		if e.Name == engine {
			return e.Live && float64(e.InFlight) < loads[e.Pool].limit()
		}
	}
	return false
}
