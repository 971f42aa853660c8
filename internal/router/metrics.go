package router

import (
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

type serverMetrics struct {
	requests   metrics.Counter
	open       metrics.Gauge
	notRun     metrics.Counter
	unknown    metrics.Counter
	firstToken metrics.Timer
}

func newServerMetrics(registry metrics.Registry) *serverMetrics {
	return &serverMetrics{
		requests:   metrics.NewRegisteredCounter("router.received.requests", registry),
		open:       metrics.NewRegisteredGauge("router.open.requests", registry),
		notRun:     metrics.NewRegisteredCounter("router.refused_not_run.requests", registry),
		unknown:    metrics.NewRegisteredCounter("router.refused_unknown.requests", registry),
		firstToken: metrics.NewRegisteredTimer("router.first_token.nanoseconds", registry),
	}
}

func (m *serverMetrics) countRefusal(r *refusal.Refusal) {
	if r.Outcome == refusal.NotRun {
		m.notRun.Inc(1)
		return
	}
	m.unknown.Inc(1)
}
