package etcdjson

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newStore(t *testing.T, endpoints ...string) *Store {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	s, err := New(Options{Endpoints: endpoints, Transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serve starts a server that responds to each request with a fixed status and
// body.
func serve(t *testing.T, status int, body string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return server
}

// refusedAddress returns an address on which nothing listens.
func refusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return "http://" + listener.Addr().String()
}

func TestGetDecodesEntry(t *testing.T) {
	server := serve(t, 200, `{"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","create_revision":"3","mod_revision":"7","lease":"5"}]}`)
	entry, err := newStore(t, server.URL).Get(context.Background(), "a")
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprintf("%s=%s %d %d %d", entry.Key, entry.Value, entry.CreateRevision, entry.ModRevision, entry.Lease)
	if got != "a=b 3 7 5" {
		t.Fatal(got)
	}
}

func TestTxnEncoding(t *testing.T) {
	var body atomic.Value
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		body.Store(string(data))
		_, _ = io.WriteString(w, `{"header":{"revision":"12"},"succeeded":true}`)
	}))
	t.Cleanup(server.Close)
	result, err := newStore(t, server.URL).Commit(context.Background(), kv.Txn{
		If:   []kv.Compare{{Key: "a", ModRevision: 4}},
		Then: []kv.Op{{Key: "a", Value: []byte("b"), Lease: 6}, kv.Delete("c")},
	})
	if err != nil || !result.Succeeded || result.Revision != 12 {
		t.Fatal(result, err)
	}
	want := `{"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"4"}],` +
		`"success":[{"request_put":{"key":"YQ==","value":"Yg==","lease":"6"}},{"request_delete_range":{"key":"Yw=="}}]}` + "\n"
	if body.Load() != want {
		t.Fatal(body.Load())
	}
}

func TestErrorResponses(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"rate limit by status", 429, `slow down`, kv.ErrRateLimited},
		{"rate limit by code", 400, `{"code":8,"message":"etcdserver: too many requests"}`, kv.ErrRateLimited},
		{"no leader", 503, `{"code":14,"message":"etcdserver: no leader"}`, kv.ErrUnavailable},
		{"timed out", 503, `{"code":14,"message":"etcdserver: request timed out"}`, kv.ErrResultUnknown},
		{"any 500", 500, `oops`, kv.ErrResultUnknown},
		{"lease not found", 404, `{"code":5,"message":"etcdserver: requested lease not found"}`, kv.ErrLeaseExpired},
		{"truncated body", 200, `{"header":{"revi`, kv.ErrResultUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := newStore(t, serve(t, c.status, c.body).URL)
			if _, err := store.Commit(context.Background(), kv.Txn{}); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestUnavailableOnlyWhenNothingWasSent(t *testing.T) {
	down := newStore(t, refusedAddress(t))
	if _, err := down.Commit(context.Background(), kv.Txn{}); !errors.Is(err, kv.ErrUnavailable) {
		t.Fatal(err)
	}
	var calls atomic.Int64
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(aborting.Close)
	store := newStore(t, aborting.URL, aborting.URL)
	if _, err := store.Commit(context.Background(), kv.Txn{}); !errors.Is(err, kv.ErrResultUnknown) {
		t.Fatal(err)
	}
	if calls.Load() != 1 {
		t.Fatalf("a write whose response was lost was sent %d times", calls.Load())
	}
	if _, err := store.Get(context.Background(), "a"); !errors.Is(err, kv.ErrUnavailable) {
		t.Fatal(err)
	}
}

func TestNextEndpointAfterRefusedConnection(t *testing.T) {
	server := serve(t, 200, `{"header":{"revision":"2"},"succeeded":true}`)
	store := newStore(t, refusedAddress(t), server.URL)
	for range 2 {
		if result, err := store.Commit(context.Background(), kv.Txn{}); err != nil || !result.Succeeded {
			t.Fatal(result, err)
		}
	}
	if store.current.Load() != 1 {
		t.Fatal("the store does not stay with the endpoint that responded")
	}
}

func TestLeases(t *testing.T) {
	granted := newStore(t, serve(t, 200, `{"ID":"77","TTL":"3"}`).URL)
	if id, err := granted.Grant(context.Background(), 2500*time.Millisecond); err != nil || id != 77 {
		t.Fatal(id, err)
	}
	renewed := newStore(t, serve(t, 200, `{"result":{"ID":"77","TTL":"3"}}`).URL)
	if ttl, err := renewed.KeepAlive(context.Background(), 77); err != nil || ttl != 3*time.Second {
		t.Fatal(ttl, err)
	}
	expired := newStore(t, serve(t, 200, `{"result":{"ID":"77"}}`).URL)
	if _, err := expired.KeepAlive(context.Background(), 77); !errors.Is(err, kv.ErrLeaseExpired) {
		t.Fatal(err)
	}
}

func TestWatchEventsAndErrors(t *testing.T) {
	events := `{"result":{"header":{"revision":"4"},"created":true}}` + "\n" +
		`{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"YQ==","value":"Yg==","mod_revision":"5"}},{"type":"DELETE","kv":{"key":"Yw=="}}]}}` + "\n"
	cases := []struct {
		tail string
		want error
	}{
		{"", kv.ErrUnavailable},
		{`{"result":{"canceled":true,"compact_revision":"6"}}`, kv.ErrCompacted},
		{`{"error":{"grpc_code":14,"message":"etcdserver: no leader"}}`, kv.ErrUnavailable},
	}
	for _, c := range cases {
		store := newStore(t, serve(t, 200, events+c.tail).URL)
		out, err := store.Watch(context.Background(), "", 4)
		if err != nil {
			t.Fatal(err)
		}
		batch := <-out
		if batch.Revision != 5 || len(batch.Events) != 2 || !batch.Events[1].Deleted {
			t.Fatalf("%+v", batch)
		}
		if last := <-out; !errors.Is(last.Err, c.want) {
			t.Fatalf("got %v, want %v", last.Err, c.want)
		}
		if _, open := <-out; open {
			t.Fatal("channel still open after the last batch")
		}
	}
}

func TestPrefixEnd(t *testing.T) {
	if got := string(prefixEnd("a/")); got != "a0" {
		t.Fatal(got)
	}
	if got := string(prefixEnd("a\xff")); got != "b" {
		t.Fatal(got)
	}
}

// FuzzResponses checks with arbitrary response bodies that no call panics, and that
// a write whose response can't be decoded is never reported as not applied.
func FuzzResponses(f *testing.F) {
	f.Add(`{"header":{"revision":"9"},"kvs":[{"key":"YQ=="}],"succeeded":true}`)
	f.Add(`{"result":{"ID":"1","TTL":"x"}}`)
	f.Fuzz(func(t *testing.T, body string) {
		store, err := New(Options{Endpoints: []string{"http://service"}, Transport: cannedTransport(body)})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = store.Get(context.Background(), "a")
		_, _ = store.KeepAlive(context.Background(), 1)
		if _, err := store.Commit(context.Background(), kv.Txn{}); err != nil && !errors.Is(err, kv.ErrResultUnknown) {
			t.Fatal(err)
		}
	})
}

// cannedTransport responds to each request with the same body.
type cannedTransport string

func (c cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(c))), Request: r}, nil
}
