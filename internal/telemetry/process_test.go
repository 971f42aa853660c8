package telemetry

import (
	"testing"

	"github.com/rcrowley/go-metrics"
)

func TestProcessGauges(t *testing.T) {
	registry := NewRegistry()
	for _, name := range []string{GaugeCPU, GaugeResident, GaugeGoroutines} {
		gauge, ok := registry.Get(name).(metrics.Gauge)
		if !ok || gauge.Value() <= 0 {
			t.Errorf("%s: registered = %v, want a positive value", name, ok)
		}
	}
	if gauge, ok := registry.Get(GaugeHeapLive).(metrics.Gauge); !ok || gauge.Value() < 0 {
		t.Errorf("%s: registered = %v", GaugeHeapLive, ok)
	}
}
