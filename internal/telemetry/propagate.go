package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	tracerName        = "github.com/verbenatrail/verbenatrail"
	headerTraceparent = "traceparent"
)

// StartSpan starts a span for one hop of a request.
func StartSpan(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithAttributes(attributes...))
}

// EndSpan ends a span and records err if it isn't nil.
func EndSpan(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// Traceparent returns the W3C traceparent header of the context's span, or an empty
// string if there is no trace.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return carrier.Get(headerTraceparent)
}

// WithTraceparent returns a context that continues the trace of a W3C traceparent
// header.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	carrier := propagation.MapCarrier{headerTraceparent: traceparent}
	return otel.GetTextMapPropagator().Extract(ctx, carrier)
}

// InjectHTTP adds the trace context to the headers of a request to an upstream.
func InjectHTTP(ctx context.Context, header http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
}

// ExtractHTTP returns a context that continues the trace of a caller's headers.
func ExtractHTTP(ctx context.Context, header http.Header) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(header))
}
