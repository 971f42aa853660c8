package kvserver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a Server with a manual clock, behind an HTTP test server.
type fixture struct {
	t      *testing.T
	clock  *standin.ManualClock
	server *Server
	client *http.Client
	url    string
}

func newFixture(t *testing.T, change func(*Config)) *fixture {
	clock := standin.NewManualClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	cfg := DefaultConfig()
	cfg.Clock = clock
	if change != nil {
		change(&cfg)
	}
	server := New(cfg)
	httpServer := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		httpServer.Close()
	})
	return &fixture{t: t, clock: clock, server: server, client: httpServer.Client(), url: httpServer.URL}
}

// call posts a request and returns the status code, or 0 if the connection was
// closed without a reply.
func (f *fixture) call(path string, req, resp any) int {
	f.t.Helper()
	body, err := json.Marshal(req)
	if err != nil {
		f.t.Fatal(err)
	}
	httpResp, err := f.client.Post(f.url+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = httpResp.Body.Close() }()
	if err := json.NewDecoder(httpResp.Body).Decode(resp); err != nil {
		f.t.Fatal(err)
	}
	return httpResp.StatusCode
}

func (f *fixture) put(key, value string, lease Int64) int {
	return f.call("/v3/kv/put", map[string]any{
		"key": []byte(key), "value": []byte(value), "lease": lease,
	}, &putResponse{})
}

func (f *fixture) get(key string) *keyValue {
	var resp rangeResponse
	f.call("/v3/kv/range", map[string]any{"key": []byte(key)}, &resp)
	if len(resp.Kvs) == 0 {
		return nil
	}
	return &resp.Kvs[0]
}

func createIfAbsent(key, value string) any {
	return json.RawMessage(`{"compare":[{"key":"` + b64(key) + `","target":"MOD","result":"EQUAL","modRevision":"0"}],
		"success":[{"requestPut":{"key":"` + b64(key) + `","value":"` + b64(value) + `"}}],
		"failure":[{"request_range":{"key":"` + b64(key) + `"}}]}`)
}

func b64(text string) string {
	data, _ := json.Marshal([]byte(text))
	return string(data[1 : len(data)-1])
}

// Of concurrent transactions that create the same key, exactly one may succeed. The
// others must read its value in their failure branch.
func TestConcurrentCreatesOfOneKeySucceedOnce(t *testing.T) {
	f := newFixture(t, nil)
	const callers = 20
	results := make([]txnResponse, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { f.call("/v3/kv/txn", createIfAbsent("k", "v"), &results[i]) })
	}
	wg.Wait()
	succeeded := 0
	for _, r := range results {
		if r.Succeeded {
			succeeded++
		} else if string(r.Responses[0].Range.Kvs[0].Value) != "v" {
			t.Errorf("failure branch of a rejected create returned %+v", r.Responses)
		}
	}
	if succeeded != 1 || f.get("k").Version != 1 {
		t.Fatalf("%d creates succeeded, want 1; entry %+v", succeeded, f.get("k"))
	}
}

func TestTxnAppliesNothingWhenOneWriteIsInvalid(t *testing.T) {
	f := newFixture(t, nil)
	req := json.RawMessage(`{"success":[{"request_put":{"key":"YQ==","value":"YQ=="}},
		{"request_put":{"key":"Yg==","value":"Yg==","lease":"99"}}]}`)
	if status := f.call("/v3/kv/txn", req, &gatewayError{}); status != http.StatusNotFound {
		t.Fatalf("status %d", status)
	}
	if f.get("a") != nil || f.server.State().Revision != 1 {
		t.Fatal("part of the transaction was applied")
	}
}

func TestPrefixRangeIsOrderedAndLimited(t *testing.T) {
	f := newFixture(t, nil)
	for _, key := range []string{"p/b", "q", "p/a", "p/c", "o"} {
		f.put(key, key, 0)
	}
	var resp rangeResponse
	f.call("/v3/kv/range", map[string]any{"key": []byte("p/"), "range_end": []byte("p0"), "limit": 2}, &resp)
	if resp.Count != 3 || !resp.More || string(resp.Kvs[0].Key) != "p/a" || string(resp.Kvs[1].Key) != "p/b" {
		t.Fatalf("got %+v", resp)
	}
}

func TestLeaseExpiryRemovesKeys(t *testing.T) {
	f := newFixture(t, nil)
	var granted, renewed leaseResponse
	f.call("/v3/lease/grant", map[string]any{"TTL": 10}, &granted)
	f.put("k", "v", granted.ID)
	f.clock.Advance(9 * time.Second)
	var stream leaseStreamMessage
	f.call("/v3/lease/keepalive", map[string]any{"ID": granted.ID}, &stream)
	f.clock.Advance(9 * time.Second)
	if stream.Result.TTL != 10 || f.get("k") == nil {
		t.Fatalf("renewal failed: %+v", stream)
	}
	f.clock.Advance(time.Second)
	f.call("/v3/lease/timetolive", map[string]any{"ID": granted.ID}, &renewed)
	if f.get("k") != nil || renewed.TTL != unknownLeaseTTL {
		t.Fatalf("lease still exists after its TTL: %+v", renewed)
	}
	var late leaseStreamMessage
	f.call("/v3/lease/keepalive", map[string]any{"ID": granted.ID}, &late)
	if late.Result.TTL != 0 {
		t.Fatalf("renewed an expired lease: %+v", late)
	}
}

// A key that was rewritten without a lease must survive the expiry of the lease it
// was attached to before.
func TestRewrittenKeyIsDetachedFromItsLease(t *testing.T) {
	f := newFixture(t, nil)
	var granted leaseResponse
	f.call("/v3/lease/grant", map[string]any{"TTL": 10}, &granted)
	f.put("kept", "v", granted.ID)
	f.put("kept", "v", 0)
	f.put("gone", "v", granted.ID)
	f.server.Act(Action{ExpireAllLeases: true})
	if f.get("kept") == nil || f.get("gone") != nil || f.server.State().LeasesExpired != 1 {
		t.Fatalf("kept %v, gone %v", f.get("kept"), f.get("gone"))
	}
}

func TestCallsAboveRateLimitAreRejected(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.WritesPerSecond, c.ReadsPerSecond = 3, 2 })
	for range 3 {
		if status := f.put("k", "v", 0); status != http.StatusOK {
			t.Fatalf("status %d within the rate limit", status)
		}
	}
	var failure gatewayError
	status := f.call("/v3/kv/put", map[string]any{"key": []byte("k")}, &failure)
	if status != http.StatusTooManyRequests || failure.Code != codeResourceExhausted {
		t.Fatalf("status %d, body %+v", status, failure)
	}
	f.clock.Advance(time.Second)
	if status := f.put("k", "v", 0); status != http.StatusOK {
		t.Fatalf("status %d one second later", status)
	}
	state := f.server.State()
	if state.Writes != 4 || state.RateLimited != 1 || state.Calls.Put != 4 {
		t.Fatalf("state %+v", state)
	}
}

func TestValueAboveMaximumSizeIsRejected(t *testing.T) {
	f := newFixture(t, nil)
	if status := f.put("k", string(make([]byte, MaxValueBytes+1)), 0); status != http.StatusBadRequest {
		t.Fatalf("status %d", status)
	}
	if status := f.put("k", string(make([]byte, MaxValueBytes)), 0); status != http.StatusOK {
		t.Fatalf("status %d for a value of the maximum size", status)
	}
}

func TestWriteWithLostReplyIsApplied(t *testing.T) {
	f := newFixture(t, nil)
	f.server.Faults.Update(func(v *Faults) { v.LoseWriteReplies, v.LoseWritePrefix = 1, "a/" })
	if status := f.put("b/1", "v", 0); status != http.StatusOK {
		t.Fatalf("status %d outside the prefix", status)
	}
	if status := f.put("a/1", "v", 0); status != 0 {
		t.Fatalf("status %d, want a closed connection", status)
	}
	if f.get("a/1") == nil || f.put("a/2", "v", 0) != http.StatusOK {
		t.Fatal("write with lost reply was not applied, or the next write was not answered")
	}
}

// A delayed write must be applied once its delay has passed, even if its caller
// cancelled the request before that.
func TestDelayedWriteIsAppliedAfterCallerCancels(t *testing.T) {
	f := newFixture(t, nil)
	f.server.Faults.Update(func(v *Faults) { v.DelayMS = 1_000 })
	ctx, cancel := context.WithCancel(context.Background())
	body := strings.NewReader(`{"key":"` + b64("k") + `"}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v3/kv/put", body)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() {
		resp, err := f.client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		done <- err
	}()
	for f.clock.Pending() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-done; err == nil {
		t.Fatal("request was answered before the delay had passed")
	}
	f.server.Faults.Update(func(v *Faults) { v.DelayMS = 0 })
	if f.get("k") != nil {
		t.Fatal("write was applied before the delay had passed")
	}
	f.clock.Advance(time.Second)
	for f.server.State().Calls.Put == 0 {
		time.Sleep(time.Millisecond)
	}
	if f.get("k") == nil {
		t.Fatal("write was not applied after the delay")
	}
}

func TestOutageAppliesNothing(t *testing.T) {
	f := newFixture(t, nil)
	for outage, want := range map[standin.Outage]int{
		standin.OutageCut: 0, standin.OutageRefuse: http.StatusServiceUnavailable,
	} {
		f.server.Faults.Update(func(v *Faults) { v.Outage = outage })
		if status := f.put("k", "v", 0); status != want {
			t.Errorf("outage %q: status %d", outage, status)
		}
	}
	f.server.Faults.Update(func(v *Faults) { v.Outage = standin.OutageNone })
	if f.get("k") != nil {
		t.Fatal("a write was applied during the outage")
	}
}

// watch opens a watch of all keys, starting at revision from. If from is 0, the
// watch starts at the next change.
func (f *fixture) watch(from int64) *json.Decoder {
	f.t.Helper()
	body, _ := json.Marshal(map[string]any{"createRequest": map[string]any{
		"key": []byte{0}, "rangeEnd": []byte{0}, "startRevision": from,
	}})
	resp, err := f.client.Post(f.url+"/v3/watch", "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	decoder := json.NewDecoder(bufio.NewReader(resp.Body))
	if first := f.next(decoder); !first.Created {
		f.t.Fatalf("first message %+v", first)
	}
	return decoder
}

func (f *fixture) next(decoder *json.Decoder) watchResponse {
	f.t.Helper()
	var message watchMessage
	if err := decoder.Decode(&message); err != nil {
		f.t.Fatal(err)
	}
	return message.Result
}

func TestWatchSendsPastAndNewChanges(t *testing.T) {
	f := newFixture(t, nil)
	f.put("a", "1", 0)
	stream := f.watch(2)
	if past := f.next(stream).Events; len(past) != 1 || string(past[0].Kv.Key) != "a" {
		t.Fatalf("past events %+v", past)
	}
	f.call("/v3/kv/deleterange", map[string]any{"key": []byte("a")}, &deleteResponse{})
	removed := f.next(stream).Events[0]
	if removed.Type != "DELETE" || removed.Kv.ModRevision != 3 || removed.Kv.Value != nil {
		t.Fatalf("delete event %+v", removed)
	}
}

func TestWatchDropsEventsAndIsClosedOnRequest(t *testing.T) {
	f := newFixture(t, nil)
	stream := f.watch(0)
	f.server.Act(Action{DropWatchEvents: 1})
	f.put("lost", "1", 0)
	f.put("seen", "1", 0)
	if events := f.next(stream).Events; string(events[0].Kv.Key) != "seen" {
		t.Fatalf("events %+v", events)
	}
	f.server.Act(Action{EndWatches: true})
	if err := stream.Decode(&watchMessage{}); err == nil {
		t.Fatal("watch was not closed")
	}
}

func TestWatchOfCompactedRevision(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HistoryLimit = 4 })
	for range 6 {
		f.put("k", "v", 0)
	}
	resp := f.next(f.watch(2))
	if !resp.Canceled || resp.CompactRevision <= 2 {
		t.Fatalf("got %+v", resp)
	}
	if events := f.next(f.watch(int64(resp.CompactRevision))).Events; len(events) == 0 {
		t.Fatal("no events from the reported compact revision on")
	}
}
