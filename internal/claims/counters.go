package claims

import (
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// counters are the package's metrics.
type counters struct {
	requests   metrics.Counter
	dispatched metrics.Counter
	// recorded counts requests answered from the journal.
	recorded metrics.Counter
	notRun   metrics.Counter
	unknown  metrics.Counter
	// held is the number of slots held, lost counts those taken by others.
	held metrics.Counter
	lost metrics.Counter

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
		unknown: counter("refused_unknown"),
		held:    counter("slots_held"), lost: counter("slots_lost"),
		loads: counter("loads"), loadFailures: counter("load_failures"),
		appends: counter("appends"), appendBytes: counter("append_bytes"),
		appendTime:  metrics.GetOrRegisterTimer("claims.append_time", r),
		rateLimited: counter("appends_rate_limited"), notApplied: counter("appends_not_applied"),
		resultUnknown: counter("appends_result_unknown"), readBacks: counter("read_backs"),
		headChecks: counter("head_checks"),
	}
}

// count notes the end of a request.
func (c *counters) count(result Result, r *refusal.Refusal) {
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
