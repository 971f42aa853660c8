package telemetry

import (
	"os"
	"runtime"
	rtmetrics "runtime/metrics"
	"strconv"
	"strings"
	"syscall"

	"github.com/rcrowley/go-metrics"
)

// Names of the process gauges.
const (
	// GaugeCPU is the user and system CPU time of the process.
	GaugeCPU = "process.cpu.nanoseconds"
	// GaugeResident is the resident set size; zero if /proc is unavailable.
	GaugeResident = "process.resident.bytes"
	// GaugeHeapLive is the heap memory that the last garbage collection marked as
	// live.
	GaugeHeapLive = "process.heap_live.bytes"
	// GaugeGoroutines is the number of goroutines.
	GaugeGoroutines = "process.running.goroutines"
)

// NewRegistry returns a registry with the process gauges. They are evaluated when
// the registry is read.
func NewRegistry() metrics.Registry {
	registry := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge(GaugeCPU, registry, cpuNanoseconds)
	metrics.NewRegisteredFunctionalGauge(GaugeResident, registry, residentBytes)
	metrics.NewRegisteredFunctionalGauge(GaugeHeapLive, registry, heapLiveBytes)
	metrics.NewRegisteredFunctionalGauge(GaugeGoroutines, registry, func() int64 { return int64(runtime.NumGoroutine()) })
	return registry
}

func cpuNanoseconds() int64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// residentBytes returns the resident set size, the second field of statm, which is
// in pages.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

func heapLiveBytes() int64 {
	sample := []rtmetrics.Sample{{Name: "/gc/heap/live:bytes"}}
	rtmetrics.Read(sample)
	if sample[0].Value.Kind() != rtmetrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
