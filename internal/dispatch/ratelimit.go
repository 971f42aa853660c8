package dispatch

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
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
