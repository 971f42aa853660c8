package daemon

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/router"
)

const (
	maxLatencyMicros = 10_000_000
	latencyDigits    = 3
	benchChat        = "bench"
)

// BenchmarkAddedLatency measures the time to receive a complete one-token answer:
// directly from the engine, through the router that owns the engine, and through
// another router, which forwards the request. Run it with:
// go test ./internal/daemon -run XXX -bench AddedLatency -benchtime 3000x
func BenchmarkAddedLatency(b *testing.B) {
	f := startFleet(b, fleetSize{routers: 2, engines: 1, instances: 1})
	for _, e := range f.engines {
		defer e.Close()
	}
	owner, _ := placement.Owner("engine-1", f.routers["router-1"].router.cluster.View().Owners)
	other := "router-1"
	if owner == other {
		other = "router-2"
	}
	engineAddress := f.routers[owner].router.cluster.View().Upstreams["engine-1"].Address
	b.Run("direct", func(b *testing.B) { benchmarkChat(b, engineAddress, engineapi.PathChat) })
	b.Run("owner", func(b *testing.B) { benchmarkChat(b, f.routers[owner].address, router.PathChat) })
	b.Run("forwarded", func(b *testing.B) { benchmarkChat(b, f.routers[other].address, router.PathChat) })
}

func benchmarkChat(b *testing.B, address, path string) {
	histogram := hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	body := []byte(`{"model":"assistant","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"x"}]}`)
	client := &http.Client{}
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set(router.HeaderWorkspace, "quotes")
		request.Header.Set(router.HeaderChat, benchChat)
		start := time.Now()
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		_ = histogram.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-us")
}
