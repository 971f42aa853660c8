package relay

import "github.com/rcrowley/go-metrics"

// Metrics counts retries and failures of calls at the router that received them
// from their callers.
type Metrics struct {
	Spilled          metrics.Counter
	Retries          metrics.Counter
	RetriesExhausted metrics.Counter
	OwnerUnreachable metrics.Counter
	LinkFailures     metrics.Counter
}

// NewMetrics creates the counters and registers them.
func NewMetrics(registry metrics.Registry) *Metrics {
	return &Metrics{
		Spilled:          metrics.NewRegisteredCounter("relay.spilled.requests", registry),
		Retries:          metrics.NewRegisteredCounter("relay.retries.requests", registry),
		RetriesExhausted: metrics.NewRegisteredCounter("relay.retries_exhausted.requests", registry),
		OwnerUnreachable: metrics.NewRegisteredCounter("relay.owner_unreachable.attempts", registry),
		LinkFailures:     metrics.NewRegisteredCounter("relay.link_failures.attempts", registry),
	}
}
