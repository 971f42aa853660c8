package daemon

import (
	"net/http"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace/noop"
)

// Trace context of the caller's requests.
const (
	callerTraceID     = "0af7651916cd43dd8448eb211c80319c"
	callerTraceparent = "00-" + callerTraceID + "-b7ad6b7169203331-01"
)

// Every hop of a forwarded request adds a span to the caller's trace.
func TestEachHopHasASpan(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	defer otel.SetTracerProvider(noop.NewTracerProvider())
	f := startFleet(t, smallFleet)
	for name := range f.routers {
		f.chatWithTrace(name)
		f.callActionWithTrace(name)
	}
	f.eventually("all spans have ended", func() bool {
		spans := spanCounts(recorder)
		return spans["router.receive"] == 6 && spans["owner.serve"] >= 3 && spans["engine.stream"] == 3 &&
			spans["holder.action"] == 3 && spans["service.call"] == 3
	})
}

func (f *testFleet) chatWithTrace(routerName string) {
	body := []byte(`{"model":"assistant","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`)
	request := f.newRequest(routerName, http.MethodPost, "/v1/chat/completions", body)
	request.Header.Set("traceparent", callerTraceparent)
	readEvents(f.do(request), 0)
}

func (f *testFleet) callActionWithTrace(routerName string) {
	request := f.newRequest(routerName, http.MethodPost, "/v1/services/booking/hires", []byte("{}"))
	request.Header.Set("Idempotency-Key", newActionKey(f.t))
	request.Header.Set("traceparent", callerTraceparent)
	wantStatus(f.t, f.do(request), http.StatusOK)
}

// spanCounts counts the ended spans of the caller's trace by name.
func spanCounts(recorder *tracetest.SpanRecorder) map[string]int {
	counts := make(map[string]int)
	for _, span := range recorder.Ended() {
		if span.SpanContext().TraceID().String() == callerTraceID {
			counts[span.Name()]++
		}
	}
	return counts
}
