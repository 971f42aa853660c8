package daemon

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const metricsPage = repositoryRoot + "docs/METRICS.md"

// TestMetricsPageNamesEveryMetric compares docs/METRICS.md with the registry of
// a router. To print the rows of all registered metrics, run:
// go test ./internal/daemon -run MetricsPage -v
func TestMetricsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	described := describedMetrics(string(page))
	registered := registeredMetrics(t)
	for name, kind := range registered {
		if described[name] != kind {
			t.Errorf("%s of kind %s is missing from %s or has another kind there", name, kind, metricsPage)
		}
	}
	for name := range described {
		if registered[name] == "" {
			t.Errorf("%s is described in %s but isn't registered", name, metricsPage)
		}
	}
}

// describedMetrics returns the rows "| `name` | kind | meaning |" of the page.
func describedMetrics(page string) map[string]string {
	described := make(map[string]string)
	for line := range strings.Lines(page) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			continue
		}
		name := strings.Trim(strings.TrimSpace(cells[1]), "`")
		described[name] = strings.TrimSpace(cells[2])
	}
	return described
}

func registeredMetrics(t *testing.T) map[string]string {
	t.Helper()
	f := &testFleet{t: t}
	s := f.routerSettings("router-1")
	s.Platform = Platform{KeyValue: []string{"http://127.0.0.1:1"}, HostList: "http://127.0.0.1:1"}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r, err := NewRouter(s, logger)
	if err != nil {
		t.Fatal(err)
	}
	kinds := make(map[string]string)
	r.registry.Each(func(name string, metric any) { kinds[name] = metricKind(metric) })
	logNames(t, kinds)
	return kinds
}

func logNames(t *testing.T, kinds map[string]string) {
	t.Helper()
	rows := make([]string, 0, len(kinds))
	for name, kind := range kinds {
		rows = append(rows, fmt.Sprintf("| `%s` | %s |  |", name, kind))
	}
	sort.Strings(rows)
	t.Log("\n" + strings.Join(rows, "\n"))
}

func metricKind(metric any) string {
	switch metric.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Gauge, metrics.GaugeFloat64:
		return "gauge"
	case metrics.Timer:
		return "timer"
	case metrics.Histogram:
		return "histogram"
	default:
		return "meter"
	}
}
