package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// recordRateLimit records the rate limit that an instance names in a response, or that it
// names none any more. Only a signed response to the call itself ends a limit, and only
// one that was named before the call was sent: the response may have waited on its way.
func (b *Balancer) recordRateLimit(p *pick, callID string, sentAt time.Time, reply call.Reply) {
	now := b.options.Now()
	statement := instances.RateLimit{ID: p.instance.ID, StartedAt: p.instance.StartedAt, At: now}
	switch {
	case reply.InvalidRateLimit != "":
		b.recordInvalidLimit(p, callID, reply.InvalidRateLimit)
		return
	case reply.RateLimit != nil:
		statement.Rate = max(*reply.RateLimit, instances.MinRateLimit)
	case reply.Signed && reply.CallID == callID:
		statement.At = sentAt
	default:
		return
	}
	b.mu.Lock()
	delete(b.invalidLimits, p.instance.ID)
	previous, changed := b.registry.SetRateLimit(now, statement)
	b.mu.Unlock()
	if changed {
		b.logRateLimit(now, p.instance, statement, previous, decisionlog.Fields{"call": callID})
		b.options.OnDigestChange()
	}
}

// recordInvalidLimit logs a limit that can't be decoded, once for each text.
func (b *Balancer) recordInvalidLimit(p *pick, callID, text string) {
	b.mu.Lock()
	known := b.invalidLimits[p.instance.ID] == text
	b.invalidLimits[p.instance.ID] = text
	applied := b.registry.RateLimit(p.instance)
	b.mu.Unlock()
	if !known {
		b.options.Log.Decision("invalid rate limit of an instance", decisionlog.Fields{
			"call": callID, "instance": p.instance.ID, "value": text, "applied_per_s": applied,
		})
	}
}

// logRateLimit logs a change of an instance's rate limit; source tells how it is known.
func (b *Balancer) logRateLimit(now time.Time, i instances.Instance, s instances.RateLimit, previous float64, source decisionlog.Fields) {
	fields := decisionlog.Fields{
		"instance": i.ID, "service": i.Service, "per_s": s.Rate, "previous_per_s": previous,
		"age_ms": now.Sub(s.At).Milliseconds(),
	}
	for name, value := range source {
		fields[name] = value
	}
	b.options.Log.Decision("rate limit of an instance changed", fields)
}

// validRateLimit reports whether another router's statement has a rate that can be
// applied.
func validRateLimit(l *peerpb.RateLimit) bool {
	rate := l.GetPerSecond()
	return rate >= 0 && !math.IsInf(rate, 0)
}

// statementOf returns another router's statement on a known instance.
func (b *Balancer) statementOf(now time.Time, l *peerpb.RateLimit) (instances.RateLimit, bool) {
	id, ok := b.idByHash[l.GetInstance()]
	return instances.RateLimit{
		ID: id, StartedAt: startTimeOf(l.GetStartedMs()), Rate: l.GetPerSecond(),
		At: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond),
	}, ok && validRateLimit(l)
}

// rateLimitChange is a change of a rate limit that another router has passed on.
type rateLimitChange struct {
	instance  instances.Instance
	statement instances.RateLimit
	previous  float64
}

// setRateLimits applies the statements that another router passes on. The caller holds
// the lock.
func (b *Balancer) setRateLimits(now time.Time, limits []*peerpb.RateLimit) []rateLimitChange {
	var changes []rateLimitChange
	for _, l := range limits {
		s, ok := b.statementOf(now, l)
		if !ok {
			continue
		}
		if previous, changed := b.registry.SetRateLimit(now, s); changed {
			i, _ := b.registry.Instance(s.ID)
			changes = append(changes, rateLimitChange{instance: i, statement: s, previous: previous})
		}
	}
	return changes
}

func (b *Balancer) logRateLimits(now time.Time, changes []rateLimitChange, router string) {
	for _, c := range changes {
		b.logRateLimit(now, c.instance, c.statement, c.previous, decisionlog.Fields{"router": router})
	}
}

// ApplyRateLimits applies the statements that another router passes on, which have waited
// on their way for a time.
func (b *Balancer) ApplyRateLimits(router string, limits []*peerpb.RateLimit, delay time.Duration) {
	if len(limits) == 0 {
		return
	}
	b.mu.Lock()
	now := b.options.Now()
	changes := b.setRateLimits(now.Add(-delay), limits)
	b.mu.Unlock()
	b.logRateLimits(now, changes, router)
}

const (
	// maxRecentLimits is the number of changed rate limits in one message to other routers,
	// maxOtherLimits that of the others, which are repeated in turn.
	maxRecentLimits = 16
	maxOtherLimits  = 2
	// limitNewsTime is how long a change is passed on, beyond the time until each router has
	// been sent a digest: datagrams may be lost.
	limitNewsTime = 2 * time.Second
	// endedLimitTime is how long the end of a limit is repeated.
	endedLimitTime = 30 * time.Second
)

// limitNews is the position in the lists of rate limits from which the next message goes
// on.
type limitNews struct{ recent, others int }

// RateLimitNews returns the rate limits for the next message to other routers: those that
// have changed, and some of the others.
func (b *Balancer) RateLimitNews() []*peerpb.RateLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Now()
	all, recent := b.registry.RateLimits(now.Add(-limitNewsTime - b.coverageTime))
	others := slices.DeleteFunc(slices.Clone(all[recent:]), func(s instances.RateLimit) bool {
		return s.Rate == 0 && now.Sub(s.At) >= endedLimitTime
	})
	out := encodeLimits(now, inTurn(all[:recent], &b.limitNews.recent, maxRecentLimits))
	return append(out, encodeLimits(now, inTurn(others, &b.limitNews.others, maxOtherLimits))...)
}

// inTurn returns up to limit elements of a list, from a position on that it advances.
func inTurn[T any](list []T, position *int, limit int) []T {
	var out []T
	for range min(limit, len(list)) {
		*position = (*position + 1) % len(list)
		out = append(out, list[*position])
	}
	return out
}

func encodeLimits(now time.Time, limits []instances.RateLimit) []*peerpb.RateLimit {
	var out []*peerpb.RateLimit
	for _, s := range limits {
		out = append(out, encodeLimit(now, s))
	}
	return out
}

func encodeLimit(now time.Time, s instances.RateLimit) *peerpb.RateLimit {
	age := min(max(now.Sub(s.At).Milliseconds(), 0), math.MaxUint32)
	return &peerpb.RateLimit{
		Instance: loadshare.Hash(s.ID), StartedMs: startMillis(s.StartedAt), PerSecond: s.Rate, AgeMs: uint32(age),
	}
}
