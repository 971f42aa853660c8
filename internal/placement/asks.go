package placement

import "time"

// Attempt is one question to the owner of an engine: does it take the request now?
type Attempt struct {
	Upstream string
	// Flexible asks for a place below the mean, see admission.Request.
	Flexible bool
	// Wait is how long the request may wait for a place; zero for not at all.
	Wait time.Duration
	// LastResort lets the request wait up to its own deadline. Upstream is empty:
	// it goes to the upstream that named the lowest load when it refused, with
	// the mean of the named loads, by which that upstream is below its bound
	// whatever averages it has.
	LastResort bool
	// PoolFull says that all engines of the pool have been asked before.
	PoolFull bool
}

// AttemptOptions describe a request to Asks.
type AttemptOptions struct {
	// Cached is the number of upstreams at the front of the rank that are likely
	// to hold part of the prompt in their cache, the one with the most first.
	Cached int
	// CacheWait is how long the request waits at the first of these.
	CacheWait time.Duration
	// MaxUpstreams is the most upstreams that are asked.
	MaxUpstreams int
}

// PlanAttempts returns the questions for a request in order, given the upstreams in
// rank. Where part of its prompt is cached, a request may use the whole bound,
// and waits a little at the first choice, as that costs less than computing
// the prefix again. Elsewhere it first looks for a place below the mean, so as
// not to take the places of chats that return there. When all have refused, it
// goes to the least loaded. The caller leaves out upstreams that have failed, and
// those that answered to be at their bound.
func PlanAttempts(ranked []string, o AttemptOptions) []Attempt {
	if len(ranked) == 0 {
		return nil
	}
	probed := ranked[:min(max(o.MaxUpstreams, 1), len(ranked))]
	cached := min(max(o.Cached, 0), len(probed))
	asks := make([]Attempt, 0, 2*len(probed)+1)
	for _, upstream := range probed[:cached] {
		asks = append(asks, Attempt{Upstream: upstream})
	}
	if cached > 0 {
		asks[0].Wait = o.CacheWait
	}
	for _, upstream := range probed[cached:] {
		asks = append(asks, Attempt{Upstream: upstream, Flexible: true})
	}
	for _, upstream := range probed {
		asks = append(asks, Attempt{Upstream: upstream})
	}
	whole := len(probed) == len(ranked)
	return append(asks, Attempt{LastResort: true, PoolFull: whole})
}

// CacheWait returns how long waiting for a cached prefix is worth: the time to
// compute its tokens again, times a factor.
func CacheWait(prefixTokens int, tokensPerSecond, factor float64) time.Duration {
	if tokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(factor * float64(prefixTokens) / tokensPerSecond * float64(time.Second))
}
