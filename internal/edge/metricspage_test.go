package edge

import (
	"os"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/sirupsen/logrus"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

const metricsPage = "../../docs/METRICS-EDGE.md"

// The page must list every metric that a started router has, and no other.
func TestMetricsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	registry := telemetry.NewRegistry()
	log := decisionlog.New(&strings.Builder{}, logrus.InfoLevel, registry)
	e, err := New(Options{
		Settings: Settings{Name: "r", PeerAddress: "127.0.0.1:0"}, Log: log, Registry: registry,
	})
	if err != nil {
		t.Fatal(err)
	}
	e.post(leaveAnnounced{})
	described := describedMetrics(string(page))
	registry.Each(func(name string, metric any) {
		if kind := described[name]; kind != kindOf(metric) {
			t.Errorf("%s, a %s, is listed in the page as %q", name, kindOf(metric), kind)
		}
		delete(described, name)
	})
	for name := range described {
		// Counters by result or kind are registered at their first event, and the
		// store's by the platform's client, whose tests check them.
		if !strings.HasSuffix(name, ".*") && name != "edge.commands.dropped" && !strings.HasPrefix(name, "store.") {
			t.Errorf("%s is listed in the page but doesn't exist", name)
		}
	}
}

// describedMetrics returns the kinds of metrics by name, from rows of the form
// "| `name` | kind | meaning |".
func describedMetrics(page string) map[string]string {
	described := make(map[string]string)
	for line := range strings.Lines(page) {
		cells := strings.Split(line, "|")
		if len(cells) >= 4 && strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			described[strings.Trim(strings.TrimSpace(cells[1]), "`")] = strings.TrimSpace(cells[2])
		}
	}
	return described
}

func kindOf(metric any) string {
	switch metric.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Gauge:
		return "gauge"
	case metrics.Histogram:
		return "histogram"
	default:
		return "unknown"
	}
}
