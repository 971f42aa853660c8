package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/dispatch"
	"github.com/verbenatrail/verbenatrail/internal/memquota"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// plainCodec writes refusals as plain text.
type plainCodec struct{}

func (plainCodec) DecodeCall(r *http.Request) *call.Call {
	return &call.Call{ID: "id", Method: r.Method}
}

func (plainCodec) WriteRefusal(w http.ResponseWriter, _ string, r *refusal.Refusal) {
	w.WriteHeader(r.HTTPStatus())
	_, _ = io.WriteString(w, "refused")
}

// scriptedDispatcher serves each call with a function.
type scriptedDispatcher func(ctx context.Context, out dispatch.Responder)

func (d scriptedDispatcher) Serve(ctx context.Context, _ *call.Call, out dispatch.Responder) {
	d(ctx, out)
}

// serve starts a server whose calls are served by a dispatcher, and returns its address.
func serve(t *testing.T, d scriptedDispatcher) string {
	t.Helper()
	registry := metrics.NewRegistry()
	s := New(Options{
		Codec: plainCodec{}, Dispatcher: d, Buffers: memquota.New(1 << 20), Table: func() *routing.Table { return nil },
		Log: decisionlog.New(io.Discard, logrus.InfoLevel, registry), Registry: registry,
	})
	server := httptest.NewUnstartedServer(s)
	server.Listener = trackedListener{Listener: server.Listener, tracker: s.tracker}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// A second response to a call, whatever its kind, must not become a part of the first one.
func TestNothingIsWrittenIntoAResponseThatHasBegun(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for name, second := range map[string]func(out dispatch.Responder){
		"response": func(out dispatch.Responder) {
			out.WriteResponse(http.StatusTooManyRequests, http.Header{}, []byte("foreign"))
		},
		"refusal": func(out dispatch.Responder) { out.Refuse(refusal.New(refusal.Overloaded, "foreign")) },
		"stream":  func(out dispatch.Responder) { out.StartStream(http.StatusOK, http.Header{}) },
	} {
		address := serve(t, func(_ context.Context, out dispatch.Responder) {
			out.StartStream(http.StatusOK, http.Header{})
			if err := out.WriteEvent([]byte(event), true); err != nil {
				t.Error(err)
			}
			second(out)
			out.EndStream()
		})
		response, err := http.Get("http://" + address)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil || string(body) != event {
			t.Errorf("%s: error %v, body %q; want an incomplete stream of one event", name, err, body)
		}
	}
}
