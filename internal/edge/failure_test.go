package edge

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

// A part of the router fails, which ends its control. The router must stop, too: it would
// serve callers with stale routes, and not heed the signal to stop (review/1).
func TestRouterStopsIfAPartOfItFails(t *testing.T) {
	registry := telemetry.NewRegistry()
	e, err := New(Options{
		Settings: Settings{Name: "r", PeerAddress: "127.0.0.1:0", GracePeriod: 5 * time.Second},
		Log:      decisionlog.New(&strings.Builder{}, logrus.InfoLevel, registry), Registry: registry,
	})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- e.callers.Serve(listener) }()
	running, fail := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		e.awaitEnd(t.Context(), running)
		ended <- nil
	}()
	fail()
	for _, done := range []chan error{served, ended} {
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the router still serves callers")
		}
	}
	if e.Ready() {
		t.Error("the router says that it is ready")
	}
	if response, err := http.Get("http://" + listener.Addr().String()); err == nil {
		_ = response.Body.Close()
		t.Errorf("a call is answered with status %d", response.StatusCode)
	}
}
