package owner

import "github.com/rcrowley/go-metrics"

// Metrics holds the counters and timers of an Owner.
type Metrics struct {
	Admitted       metrics.Counter
	Queued         metrics.Counter
	Refused        metrics.Counter
	StreamsBroken  metrics.Counter
	StreamsResumed metrics.Counter
	Crashes        metrics.Counter
	PromptTokens   metrics.Counter
	CachedTokens   metrics.Counter
	QueueWait      metrics.Timer
	LoadReports    metrics.Counter
	Probes         metrics.Counter
}

// NewMetrics registers the metrics in registry.
func NewMetrics(registry metrics.Registry) *Metrics {
	return &Metrics{
		Admitted:       metrics.NewRegisteredCounter("owner.admitted.requests", registry),
		Queued:         metrics.NewRegisteredCounter("owner.queued.requests", registry),
		Refused:        metrics.NewRegisteredCounter("owner.refused.requests", registry),
		StreamsBroken:  metrics.NewRegisteredCounter("owner.streams_broken.streams", registry),
		StreamsResumed: metrics.NewRegisteredCounter("owner.streams_resumed.streams", registry),
		Crashes:        metrics.NewRegisteredCounter("owner.upstream_crashes.events", registry),
		PromptTokens:   metrics.NewRegisteredCounter("owner.prompt.tokens", registry),
		CachedTokens:   metrics.NewRegisteredCounter("owner.cached_prompt.tokens", registry),
		LoadReports:    metrics.NewRegisteredCounter("owner.load_reports.requests", registry),
		Probes:         metrics.NewRegisteredCounter("owner.probes.requests", registry),
		QueueWait:      metrics.NewRegisteredTimer("owner.queue_wait.nanoseconds", registry),
	}
}
