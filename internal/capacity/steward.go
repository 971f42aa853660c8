package capacity

import (
	"context"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

// Steward measures a steward that holds the lease.
func (e *Experiment) Steward(ctx context.Context, length time.Duration) error {
	before, err := e.stewardPage(ctx)
	if err != nil {
		return err
	}
	begun := time.Now()
	_ = pause.For(ctx, length)
	after, err := e.stewardPage(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(begun).Seconds()
	rate := func(name string) float64 { return (after.counter(name) - before.counter(name)) / seconds }
	e.record("steward: processor", "core", (after.cpuSeconds()-before.cpuSeconds())/seconds)
	e.record("steward: resident", "B", after.gauge(telemetry.GaugeResident))
	e.record("steward: live heap", "B", after.gauge(telemetry.GaugeHeapLive))
	e.record("steward: reads of engines", "calls/s", rate("steward.state_reads.calls"))
	e.record("steward: orders to engines", "calls/s", rate("steward.orders.calls"))
	return nil
}

func (e *Experiment) stewardPage(ctx context.Context) (page, error) {
	var p page
	return p, e.sampler.get(ctx, e.layout.Steward, "/metrics", &p.metrics)
}
