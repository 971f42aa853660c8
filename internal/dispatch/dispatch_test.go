package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// plainCodec marks calls with one header.
type plainCodec struct{}

func (plainCodec) EncodeSend(c *call.Call, _ call.Send) http.Header {
	return http.Header{"Call": {c.ID}}
}

func (plainCodec) DecodeReply(_ int, header http.Header) call.Reply {
	return call.Reply{CallID: header.Get("Call"), Genuine: true}
}

// leavingCaller leaves as soon as its answer comes.
type leavingCaller struct {
	leave  context.CancelFunc
	status int
}

func (c *leavingCaller) Whole(status int, _ http.Header, _ []byte) {
	c.status = status
	c.leave()
}
func (c *leavingCaller) Begin(int, http.Header)    {}
func (c *leavingCaller) Event([]byte, bool) error  { return nil }
func (c *leavingCaller) End()                      {}
func (c *leavingCaller) Break()                    {}
func (c *leavingCaller) Refuse(r *refusal.Refusal) { c.status = r.HTTPStatus() }

// A caller that leaves while its answer is written must not take along the
// engine's connection, which another call may use already.
func TestACallerThatLeavesClosesNoReleasedConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call", r.Header.Get("Call"))
	}))
	defer server.Close()
	b := newTestBalancer(0)
	b.now = time.Now()
	b.SetInstances([]instances.Instance{{ID: "a", Service: "app", Address: strings.TrimPrefix(server.URL, "http://")}})
	registry := metrics.NewRegistry()
	table := routing.NewTable(routing.Options{Routes: []*routing.Route{
		{Host: "h", Prefix: "/", Kind: routing.NonIdempotent, MaxAttempts: 1, Targets: []routing.Target{{Service: "app"}}},
	}})
	d := New(Options{
		Balancer: b.Balancer, Pool: upstream.NewPool(registry), Codec: plainCodec{}, Registry: registry, Log: b.options.Log,
		Table: func() *routing.Table { return table }, Outage: func() bool { return false },
	})
	const calls = 100
	for range calls {
		ctx, leave := context.WithCancel(context.Background())
		caller := &leavingCaller{leave: leave}
		d.Serve(ctx, &call.Call{
			ID: "id", Method: http.MethodPost, Host: "h", Target: "/", Path: "/", Header: http.Header{}, Arrived: time.Now(),
		}, caller)
		if caller.status != http.StatusOK {
			t.Fatalf("status %d", caller.status)
		}
	}
	if opened := metrics.GetOrRegisterCounter("upstream.connections.opened", registry).Count(); opened != 1 {
		t.Errorf("%d connections for %d calls in a row", opened, calls)
	}
}
