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

func (plainCodec) EncodeRequest(c *call.Call, _ call.Send) http.Header {
	return http.Header{"Call": {c.ID}}
}

func (plainCodec) DecodeReply(_ int, header http.Header) call.Reply {
	return call.Reply{CallID: header.Get("Call"), Signed: true}
}

// leavingCaller leaves as soon as its answer comes.
type leavingCaller struct {
	leave  context.CancelFunc
	status int
}

func (c *leavingCaller) WriteResponse(status int, _ http.Header, _ []byte) {
	c.status = status
	c.leave()
}
func (c *leavingCaller) StartStream(int, http.Header)  {}
func (c *leavingCaller) WriteEvent([]byte, bool) error { return nil }
func (c *leavingCaller) EndStream()                    {}
func (c *leavingCaller) Abort()                        {}
func (c *leavingCaller) Refuse(r *refusal.Refusal)     { c.status = r.HTTPStatus() }

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
			ID: "id", Method: http.MethodPost, Host: "h", Target: "/", Path: "/", Header: http.Header{}, ReceivedAt: time.Now(),
		}, caller)
		if caller.status != http.StatusOK {
			t.Fatalf("status %d", caller.status)
		}
	}
	if opened := metrics.GetOrRegisterCounter("upstream.connections.opened", registry).Count(); opened != 1 {
		t.Errorf("%d connections for %d calls in a row", opened, calls)
	}
}

// What one call had to read is taken off once: calls that are still reading at
// the engine keep their tokens.
func TestReadTokensAreTakenOffOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call", r.Header.Get("Call"))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
	}))
	defer server.Close()
	b := newTestBalancer(0)
	b.now = time.Now()
	b.SetInstances([]instances.Instance{{ID: "a", Service: "model", Address: strings.TrimPrefix(server.URL, "http://")}})
	reading := b.mustChoose(t, prompt("still reading"))
	registry := metrics.NewRegistry()
	table := routing.NewTable(routing.Options{Routes: []*routing.Route{
		{Host: "h", Prefix: "/", Kind: routing.Streaming, MaxAttempts: 1, Targets: []routing.Target{{Service: "model"}}},
	}})
	d := New(Options{
		Balancer: b.Balancer, Pool: upstream.NewPool(registry), Codec: streamCodec{}, Registry: registry, Log: b.options.Log,
		Table: func() *routing.Table { return table }, Outage: func() bool { return false },
	})
	c := prompt("read")
	c.Method, c.Host, c.Target, c.Path, c.Header, c.ReceivedAt = http.MethodPost, "h", "/", "/", http.Header{}, time.Now()
	d.Serve(context.Background(), c, &leavingCaller{leave: func() {}})
	if got := b.loads.Load(b.now, "a").PendingPrefillTokens; got != reading.unread {
		t.Errorf("%d tokens are still to be read, want %d", got, reading.unread)
	}
}

// streamCodec answers all calls with streams.
type streamCodec struct{ plainCodec }

func (c streamCodec) DecodeReply(status int, header http.Header) call.Reply {
	reply := c.plainCodec.DecodeReply(status, header)
	reply.EventStream = true
	return reply
}
