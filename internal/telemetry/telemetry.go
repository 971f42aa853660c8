// Package telemetry sets up logs, metrics and traces for a binary.
package telemetry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.40.0"
)

// Settings configure the logs and traces of a binary.
type Settings struct {
	// LogFormat is "text" or "json".
	LogFormat string `yaml:"log_format" validate:"oneof=text json"`
	// LogLevel is the minimum severity that is logged.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warning error"`
	// TraceFile is the file that spans are written to as JSON lines; empty disables
	// tracing.
	TraceFile string `yaml:"trace_file"`
	// TraceRatio is the fraction of new traces that are sampled, 0 to 1.
	TraceRatio float64 `yaml:"trace_ratio" validate:"gte=0,lte=1"`
}

// DefaultSettings returns settings for text logs at level info without tracing.
func DefaultSettings() Settings {
	return Settings{LogFormat: "text", LogLevel: "info", TraceRatio: 1}
}

// NewLogger returns a logger that writes to standard error.
func NewLogger(s Settings) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	logger := logrus.New()
	logger.SetLevel(level)
	if s.LogFormat == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger, nil
}

// StartTracing installs the global tracer provider and propagator. The returned
// function flushes the spans and closes the trace file.
func StartTracing(s Settings, service string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if s.TraceFile == "" {
		return func(context.Context) error { return nil }, nil
	}
	file, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "trace_file can't be opened: check the path, or leave it empty to disable tracing")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Wrap(err, "trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(semconv.ServiceName(service))),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error { return closeTracing(ctx, provider, file) }, nil
}

func closeTracing(ctx context.Context, provider *sdktrace.TracerProvider, file io.Closer) error {
	if err := provider.Shutdown(ctx); err != nil {
		return err
	}
	return file.Close()
}

// MetricsHandler serves a registry as JSON.
func MetricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(registry.GetAll())
	})
}

// quantiles are the histogram quantiles that TextHandler reports.
var quantiles = []float64{0.5, 0.95, 0.99}

// TextHandler serves a registry as text, one "name value" line per metric. A
// histogram has a line for its count and one for each quantile.
func TextHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		var lines []string
		registry.Each(func(name string, metric any) { lines = append(lines, textLines(name, metric)...) })
		slices.Sort(lines)
		// The error is ignored: it means that the client disconnected.
		_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
	})
}

func textLines(name string, metric any) []string {
	name = strings.NewReplacer(".", "_", "-", "_").Replace(name)
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Histogram:
		sample := m.Snapshot()
		lines := []string{fmt.Sprintf("%s_count %d", name, sample.Count())}
		for i, value := range sample.Percentiles(quantiles) {
			lines = append(lines, fmt.Sprintf("%s{quantile=%q} %.0f", name, fmt.Sprint(quantiles[i]), value))
		}
		return lines
	default:
		return nil
	}
}
