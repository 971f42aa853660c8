package placement

// Sticky reports whether a strategy uses session affinity, which sends later
// turns of a chat to the upstreams of earlier ones. The other strategies are
// stateless baselines.
func Sticky(s Strategy) bool {
	_, ok := s.(Rendezvous)
	return ok
}

// Rendezvous ranks by weighted rendezvous hashing: removing a candidate moves
// only the chats that were placed on it.
type Rendezvous struct{}

// Rank implements Strategy.
func (Rendezvous) Rank(r Request, candidates []Candidate, dst []int) []int {
	return rankBy(candidates, dst, func(i int) float64 {
		return rendezvousScore(r.Key, candidates[i].Name, candidates[i].Weight)
	})
}

// Modulo starts at the key modulo the number of candidates and continues in name
// order. Any change to the set of candidates moves nearly all chats.
type Modulo struct{}

// Rank implements Strategy.
func (Modulo) Rank(r Request, candidates []Candidate, dst []int) []int {
	n := len(candidates)
	if n == 0 {
		return dst
	}
	first := int(r.Key % uint64(n))
	for i := range n {
		dst = append(dst, (first+i)%n)
	}
	return dst
}

// Random ranks in a new random order for each request.
type Random struct{}

// Rank implements Strategy.
func (Random) Rank(r Request, candidates []Candidate, dst []int) []int {
	return rankBy(candidates, dst, func(i int) float64 {
		return unit(pairHash(r.Nonce, candidates[i].Name))
	})
}

// LeastLoaded ranks by requests in flight per weight; ties are broken randomly.
type LeastLoaded struct{}

// Rank implements Strategy.
func (LeastLoaded) Rank(r Request, candidates []Candidate, dst []int) []int {
	return rankBy(candidates, dst, func(i int) float64 {
		tieBreak := unit(pairHash(r.Nonce, candidates[i].Name)) * tieBreakScale
		return tieBreak - load(candidates[i])
	})
}

// tieBreakScale keeps the tie breaker below any difference between loads.
const tieBreakScale = 1e-6

// LeastOfTwo implements the power of two choices: it ranks in random order and
// puts the less loaded of the first two in front.
type LeastOfTwo struct{}

// Rank implements Strategy.
func (LeastOfTwo) Rank(r Request, candidates []Candidate, dst []int) []int {
	start := len(dst)
	dst = Random{}.Rank(r, candidates, dst)
	order := dst[start:]
	if len(order) < 2 {
		return dst
	}
	if load(candidates[order[1]]) < load(candidates[order[0]]) {
		order[0], order[1] = order[1], order[0]
	}
	return dst
}

func load(c Candidate) float64 { return float64(c.InFlight) / weightOrDefault(c.Weight) }
