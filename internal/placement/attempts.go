package placement

import "time"

// Attempt is one planned request for admission, sent to the owner of an upstream.
type Attempt struct {
	Upstream string
	// Flexible asks for a slot below the mean load, see admission.Request.
	Flexible bool
	// Wait is the maximum queueing time; zero means that the request may not
	// queue.
	Wait time.Duration
	// LastResort lets the request queue until its own deadline. Upstream is
	// empty: the attempt goes to the upstream that reported the lowest load with
	// its refusal. It carries the mean of the reported loads, so that this
	// upstream is below its limit even if its averages are outdated.
	LastResort bool
	// PoolFull is set if all engines of the pool have been tried before.
	PoolFull bool
}

// AttemptOptions are the options of PlanAttempts for one request.
type AttemptOptions struct {
	// Cached is the number of upstreams at the front of the ranking that are
	// likely to have part of the prompt cached, the largest part first.
	Cached int
	// CacheWait is the maximum queueing time at the first of these.
	CacheWait time.Duration
	// MaxUpstreams is the maximum number of upstreams to try.
	MaxUpstreams int
}

// PlanAttempts returns the attempts for a request in order, given the ranked
// upstreams. Where part of its prompt is cached, a request may use any slot up
// to the limit, and it may queue for a short time at the first choice, because
// that costs less than computing the prefix again. Elsewhere it first asks for a
// slot below the mean, to leave the other slots to chats with a prefix cached
// there. If all upstreams refuse, the last attempt goes to the least loaded one.
// The caller skips upstreams that have failed or reported to be at their limit.
func PlanAttempts(ranked []string, o AttemptOptions) []Attempt {
	if len(ranked) == 0 {
		return nil
	}
	tried := ranked[:min(max(o.MaxUpstreams, 1), len(ranked))]
	cached := min(max(o.Cached, 0), len(tried))
	attempts := make([]Attempt, 0, 2*len(tried)+1)
	for _, upstream := range tried[:cached] {
		attempts = append(attempts, Attempt{Upstream: upstream})
	}
	if cached > 0 {
		attempts[0].Wait = o.CacheWait
	}
	for _, upstream := range tried[cached:] {
		attempts = append(attempts, Attempt{Upstream: upstream, Flexible: true})
	}
	for _, upstream := range tried {
		attempts = append(attempts, Attempt{Upstream: upstream})
	}
	all := len(tried) == len(ranked)
	return append(attempts, Attempt{LastResort: true, PoolFull: all})
}

// CacheWait returns how long a request should queue for an upstream that has its
// prefix cached: the time to compute the prefix again, times a factor.
func CacheWait(prefixTokens int, tokensPerSecond, factor float64) time.Duration {
	if tokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(factor * float64(prefixTokens) / tokensPerSecond * float64(time.Second))
}
