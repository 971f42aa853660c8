package claims

import (
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// counters are the metrics of the package.
type counters struct {
	requests   metrics.Counter
	dispatched metrics.Counter
	// recorded counts the requests answered with a recorded outcome.
	recorded metrics.Counter
	notRun   metrics.Counter
	unknown  metrics.Counter
	// slotsHeld is the number of slots held now; slotsLost counts the slots that
	// other daemons took over.
	slotsHeld metrics.Counter
	slotsLost metrics.Counter

	loads         metrics.Counter
	loadFailures  metrics.Counter
	appends       metrics.Counter
	appendBytes   metrics.Counter
	appendTime    metrics.Timer
	rateLimited   metrics.Counter
	notApplied    metrics.Counter
	resultUnknown metrics.Counter
	readBacks     metrics.Counter
	headChecks    metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("claims."+name, r)
	}
	return counters{
		requests: counter("requests"), dispatched: counter("dispatched"),
		recorded: counter("answered_recorded"), notRun: counter("refused_not_run"),
		unknown:   counter("refused_unknown"),
		slotsHeld: counter("slots_held"), slotsLost: counter("slots_lost"),
		loads: counter("loads"), loadFailures: counter("load_failures"),
		appends: counter("appends"), appendBytes: counter("append_bytes"),
		appendTime:  metrics.GetOrRegisterTimer("claims.append_time", r),
		rateLimited: counter("appends_rate_limited"), notApplied: counter("appends_not_applied"),
		resultUnknown: counter("appends_result_unknown"), readBacks: counter("read_backs"),
		headChecks: counter("head_checks"),
	}
}

// countOutcome counts a finished request by its outcome.
func (c *counters) countOutcome(result Result, r *refusal.Refusal) {
	switch {
	case r == nil && result.Recorded:
		c.recorded.Inc(1)
	case r == nil:
	case r.Outcome == refusal.NotRun:
		c.notRun.Inc(1)
	default:
		c.unknown.Inc(1)
	}
}
