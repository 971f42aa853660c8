package dispatch

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/memquota"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// limited returns a balancer with engines of which the first has named a limit.
func limited(engines int, perSecond float64) (*testBalancer, *pick) {
	b := newTestBalancer(engines)
	p := &pick{instance: listing(engines)[0]}
	b.now = b.now.Add(time.Second)
	b.recordRateLimit(p, "id", b.now, call.Reply{CallID: "id", Signed: true, RateLimit: &perSecond})
	return b, p
}

func (b *testBalancer) limitOf(p *pick) float64 { return b.registry.RateLimit(p.instance) }

// A limit is ended by a signed response without one to a call that was sent after the
// limit was named, and by nothing else.
func TestWhatEndsARateLimit(t *testing.T) {
	for _, tc := range []struct {
		name  string
		sent  time.Duration
		reply call.Reply
		ends  bool
	}{
		{"signed response to the call", time.Millisecond, call.Reply{CallID: "id", Signed: true}, true},
		{"unsigned response", time.Millisecond, call.Reply{CallID: "id"}, false},
		{"late response to another call", time.Millisecond, call.Reply{CallID: "other", Signed: true}, false},
		{"response to a call from before the limit", -time.Millisecond, call.Reply{CallID: "id", Signed: true}, false},
		{"invalid limit", time.Millisecond, call.Reply{CallID: "id", Signed: true, InvalidRateLimit: `"2,5"`}, false},
	} {
		b, p := limited(2, 3)
		sentAt := b.now.Add(tc.sent)
		b.now = b.now.Add(time.Second)
		b.recordRateLimit(p, "id", sentAt, tc.reply)
		if ended := b.limitOf(p) == 0; ended != tc.ends {
			t.Errorf("%s: limit %g", tc.name, b.limitOf(p))
		}
	}
}

func TestRateLimitsOfOtherRouters(t *testing.T) {
	b, p := limited(2, 3)
	hash := loadshare.Hash(p.instance.ID)
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		b.ApplyRateLimits("other", []*peerpb.RateLimit{{Instance: hash, PerSecond: rate}, {Instance: 7, PerSecond: 1}}, 0)
	}
	if b.limitOf(p) != 3 {
		t.Errorf("an invalid statement was applied: %g", b.limitOf(p))
	}
	b.now = b.now.Add(time.Second)
	b.ApplyRateLimits("other", []*peerpb.RateLimit{{Instance: hash, PerSecond: 5, AgeMs: 900}}, 200*time.Millisecond)
	if b.limitOf(p) != 3 {
		t.Errorf("a statement that has waited on its way was applied: %g", b.limitOf(p))
	}
	b.ApplyRateLimits("other", []*peerpb.RateLimit{{Instance: hash, PerSecond: 5, AgeMs: 900}}, 0)
	if b.limitOf(p) != 5 || b.digestChanges == 0 {
		t.Errorf("a newer statement was not applied: %g", b.limitOf(p))
	}
}

// A change of a limit is passed on again and again, until all routers must have heard of
// it, and in turn afterwards.
func TestRateLimitNews(t *testing.T) {
	b, _ := limited(40, 3)
	if news := b.RateLimitNews(); len(news) != 1 || news[0].GetPerSecond() != 3 {
		t.Errorf("%v", news)
	}
	for i, instance := range listing(40) {
		rate := float64(i + 1)
		b.recordRateLimit(&pick{instance: instance}, "id", b.now, call.Reply{RateLimit: &rate})
	}
	b.now = b.now.Add(time.Millisecond)
	seen := map[uint32]bool{}
	for range 40 {
		news := b.RateLimitNews()
		if len(news) > maxRecentLimits+maxOtherLimits {
			t.Fatalf("%d limits in one message", len(news))
		}
		for _, l := range news {
			seen[l.GetInstance()] = true
		}
	}
	if len(seen) != 40 {
		t.Errorf("%d of 40 limits were passed on", len(seen))
	}
	b.now = b.now.Add(time.Minute)
	if news := b.RateLimitNews(); len(news) != maxOtherLimits {
		t.Errorf("%d limits long after the change, want %d", len(news), maxOtherLimits)
	}
}

// permitFor lets a balancer decide on the permit of a call.
func (b *testBalancer) permitFor(t *testing.T, c *call.Call) *pick {
	t.Helper()
	p, _ := b.choose(c, target{service: "model", objective: time.Second, deadline: b.now.Add(10 * time.Second)}, nil)
	if p == nil || p.permitRequest == nil {
		t.Fatalf("%+v needs no permit", p)
	}
	return b.usePermit(c, "model", p, b.DecidePermit("self", p.permitRequest))
}

// The only engine has a limit: the first call waits for its permit, and those that would
// wait too long are denied.
func TestCallsWaitForAPermitOrAreRejected(t *testing.T) {
	b, _ := limited(1, 10)
	granted, denied := 0, 0
	for range 10 {
		if b.permitFor(t, prompt("p")) == nil {
			denied++
			continue
		}
		granted++
	}
	// A quarter of the objective has room for two permits.
	if granted != 2 || denied != 8 {
		t.Errorf("%d granted, %d denied", granted, denied)
	}
	if load := b.loads.Load(b.now, listing(1)[0].ID).Calls; load != granted {
		t.Errorf("load %d with %d permits", load, granted)
	}
}

// The router that decides knows that the limit has ended: the call is sent at once, and
// the router that asked learns of it.
func TestDeciderKnowsThatALimitHasEnded(t *testing.T) {
	asking, p := limited(1, 2)
	deciding, _ := limited(1, 2)
	deciding.now = asking.now.Add(time.Second)
	deciding.recordRateLimit(p, "id", deciding.now, call.Reply{CallID: "id", Signed: true})
	asking.now = asking.now.Add(2 * time.Second)
	deciding.now = asking.now
	chosen, _ := asking.choose(prompt("p"), target{service: "model"}, nil)
	response := deciding.DecidePermit("asking", chosen.permitRequest)
	if asking.usePermit(prompt("p"), "model", chosen, response) == nil || response.GetWaitUs() != 0 || asking.limitOf(p) != 0 {
		t.Errorf("%v, limit %g", response, asking.limitOf(p))
	}
}

// An engine without a limit takes what exceeds the limit of the other, up to its slots.
func TestSurplusGoesToEnginesWithFreeSlots(t *testing.T) {
	b, _ := limited(2, 1)
	slots := listing(1)[0].Slots
	placed := 0
	for range 3 * slots {
		p, rejected := b.choose(prompt("p"), target{service: "model", avoidLimited: true}, nil)
		if rejected != nil || p.permitRequest != nil {
			break
		}
		placed++
	}
	if placed != slots {
		t.Errorf("%d calls at the engine without a limit, want its %d slots", placed, slots)
	}
}

// pausedPermits grants a permit each time; the process is paused for a time while the
// first response is on its way.
type pausedPermits struct {
	pause time.Duration
	asked int
}

func (p *pausedPermits) Acquire(_ context.Context, r *peerpb.PermitRequest) *peerpb.PermitResponse {
	if p.asked++; p.asked == 1 {
		time.Sleep(p.pause)
	}
	return &peerpb.PermitResponse{Granted: true, Instance: r.GetPreferred()[0].GetInstance()}
}

// A process that was paused does not use the permit that it got before: others have got
// the next ones meanwhile.
func TestPausedProcessAsksForAnotherPermit(t *testing.T) {
	sends := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sends++
		w.Header().Set("Call", r.Header.Get("Call"))
	}))
	defer server.Close()
	b := newTestBalancer(0)
	b.SetInstances([]instances.Instance{{ID: "a", Service: "app", Address: strings.TrimPrefix(server.URL, "http://")}})
	rate := 2.0
	b.now = b.now.Add(time.Second)
	b.recordRateLimit(&pick{instance: instances.Instance{ID: "a"}}, "id", b.now, call.Reply{RateLimit: &rate})
	registry := metrics.NewRegistry()
	table := routing.NewTable(routing.Options{Routes: []*routing.Route{
		{Host: "h", Prefix: "/", Kind: routing.NonIdempotent, MaxAttempts: 1, Targets: []routing.Target{{Service: "app"}}},
	}})
	permits := &pausedPermits{pause: permitLifetime + 50*time.Millisecond}
	d := New(Options{
		Balancer: b.Balancer, Pool: upstream.NewPool(registry), Codec: plainCodec{}, Registry: registry, Log: b.options.Log, Buffers: memquota.New(1 << 20),
		Table: func() *routing.Table { return table }, Outage: func() bool { return false }, Permits: permits,
	})
	caller := &disconnectingCaller{disconnect: func() {}}
	d.Serve(context.Background(), &call.Call{
		ID: "id", Method: http.MethodPost, Host: "h", Target: "/", Path: "/", Header: http.Header{}, ReceivedAt: time.Now(),
	}, caller)
	if permits.asked != 2 || sends != 1 || caller.status != http.StatusOK {
		t.Errorf("asked for %d permits, %d sends, status %d; want 2 permits for one send", permits.asked, sends, caller.status)
	}
}

// Whatever another router sends, a request is decided, and a response makes no call wait
// beyond twice its time and keeps no engine out of use for longer than maxExhausted.
func FuzzPermitMessages(f *testing.F) {
	request := &peerpb.PermitRequest{Service: "model", Last: true, MaxWaitUs: 1000, Preferred: []*peerpb.RateLimit{{PerSecond: 1}}}
	encodedRequest, err := proto.Marshal(request)
	if err != nil {
		f.Fatal(err)
	}
	encodedResponse, err := proto.Marshal(&peerpb.PermitResponse{Granted: true, Instance: loadshare.Hash("e-000"), WaitUs: math.MaxUint32, NextUs: math.MaxUint32})
	if err != nil {
		f.Fatal(err)
	}
	denied, err := proto.Marshal(&peerpb.PermitResponse{NextUs: math.MaxUint32})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encodedRequest, encodedResponse)
	f.Add(encodedRequest, denied)
	f.Fuzz(func(t *testing.T, asked, answered []byte) {
		b, _ := limited(2, 3)
		request, response := &peerpb.PermitRequest{}, &peerpb.PermitResponse{}
		if proto.Unmarshal(asked, request) != nil || proto.Unmarshal(answered, response) != nil {
			return
		}
		b.DecidePermit("other", request)
		p, _ := b.choose(prompt("p"), target{service: "model", objective: time.Second, deadline: b.now.Add(time.Minute)}, []string{"e-001"})
		if p == nil || p.permitRequest == nil {
			return
		}
		longest := maxWaitFactor * micros(p.permitRequest.GetMaxWaitUs())
		if granted := b.usePermit(prompt("p"), "model", p, response); granted != nil && micros(response.GetWaitUs()) > longest {
			t.Errorf("a call waits for %v, its longest wait is %v", micros(response.GetWaitUs()), longest)
		}
		for id, until := range b.exhausted {
			if until.After(b.now.Add(maxExhausted)) {
				t.Errorf("%s is not used for %v", id, until.Sub(b.now))
			}
		}
	})
}

// One decision on a permit that any of a service's engines will do for.
func BenchmarkDecidePermit(b *testing.B) {
	for _, engines := range []int{12, 140, 600} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			balancer := newTestBalancer(engines)
			rate := 1.3
			for _, i := range listing(engines) {
				balancer.recordRateLimit(&pick{instance: i}, "id", balancer.now, call.Reply{RateLimit: &rate})
			}
			p, _ := balancer.choose(prompt("p"), target{service: "model", objective: time.Second, deadline: balancer.now.Add(time.Minute)}, nil)
			for b.Loop() {
				balancer.now = balancer.now.Add(time.Millisecond)
				balancer.DecidePermit("other", p.permitRequest)
			}
		})
	}
}
