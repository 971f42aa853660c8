package dispatch

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/locality"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

var startTime = time.Unix(1_800_000_000, 0)

// testBalancer is a Balancer with a clock that the test sets.
type testBalancer struct {
	*Balancer
	now           time.Time
	digestChanges int
}

func newTestBalancer(engines int) *testBalancer {
	t := &testBalancer{now: startTime}
	t.Balancer = NewBalancer(BalancerOptions{
		Location: locality.Location{FailureDomain: "z"}, RetryBudget: retry.WindowSettings{Ratio: 0.2, Extra: 56, Length: 10 * time.Second},
		Containment: containment.DefaultSettings(), Log: decisionlog.New(io.Discard, logrus.ErrorLevel, metrics.NewRegistry()),
		OnDigestChange: func() { t.digestChanges++ }, Now: func() time.Time { return t.now },
	})
	t.SetInstances(listing(engines))
	return t
}

func listing(engines int) []instances.Instance {
	var out []instances.Instance
	for i := range engines {
		out = append(out, instances.Instance{
			ID: fmt.Sprintf("e-%03d", i), Service: "model", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Location: locality.Location{FailureDomain: "z"}, Slots: 8,
		})
	}
	return out
}

// prompt returns a call of a model. Calls with the same shared part have all but
// their last part in common.
func prompt(sharedPart string) *call.Call {
	return &call.Call{ID: "id-" + sharedPart, Prompt: call.Prompt{Model: "m", Parts: []call.Part{
		{ID: "base", Tokens: 2500}, {ID: sharedPart, Tokens: 6000}, {ID: "own", Tokens: 500},
	}}}
}

func (t *testBalancer) mustChoose(tb testing.TB, c *call.Call) *pick {
	tb.Helper()
	p, rejected := t.choose(c, target{service: "model"}, nil)
	if p == nil {
		tb.Fatalf("no instance: %+v", rejected)
	}
	return p
}

func TestCallsWithSharedPartsGoToOneInstance(t *testing.T) {
	b := newTestBalancer(12)
	first := b.mustChoose(t, prompt("s"))
	if first.prefillTokens != 8500 || b.digestChanges != 1 {
		t.Errorf("%d prefill tokens, %d digest changes", first.prefillTokens, b.digestChanges)
	}
	second := b.mustChoose(t, prompt("s"))
	if second.instance.ID != first.instance.ID || second.prefillTokens != 0 || b.digestChanges != 1 {
		t.Errorf("second choice %+v after %+v, %d digest changes", second, first, b.digestChanges)
	}
}

func TestFailedAttemptDropsExpectedParts(t *testing.T) {
	b := newTestBalancer(12)
	p := b.mustChoose(t, prompt("s"))
	b.cancelPrefill(p)
	b.done(p)
	if again := b.mustChoose(t, prompt("s")); again.prefillTokens != 8500 {
		t.Errorf("%+v after a failed attempt, want 8500 prefill tokens", again)
	}
}

func TestDigestSharesLoadsAndCachedParts(t *testing.T) {
	local, remote := newTestBalancer(12), newTestBalancer(12)
	p := local.mustChoose(t, prompt("s"))
	digest := &peerpb.Digest{}
	local.FillDigest(digest)
	remote.ApplyDigest("one", digest)
	q := remote.mustChoose(t, prompt("s"))
	if q.instance.ID != p.instance.ID || q.prefillTokens != 0 || q.load != 1 {
		t.Errorf("the other router chose %+v after %+v", q, p)
	}
	remote.ForgetPeer("one")
	if got := remote.loads.Load(startTime, p.instance.ID).Calls; got != 1 {
		t.Errorf("load %d after ForgetPeer, want 1", got)
	}
}

func TestPartsAreFetchedFromDrainingInstances(t *testing.T) {
	b := newTestBalancer(3)
	p := b.mustChoose(t, prompt("s"))
	b.recordFirstByte(p)
	b.done(p)
	list := listing(3)
	for i := range list {
		list[i].Draining = list[i].ID == p.instance.ID
	}
	b.SetInstances(list)
	q := b.mustChoose(t, prompt("s"))
	if q.instance.ID == p.instance.ID || q.fetchFrom != p.instance.Address {
		t.Errorf("chose %+v while the instance of %+v drains", q, p)
	}
}

func TestRestartedInstanceHasNoCachedParts(t *testing.T) {
	b := newTestBalancer(1)
	b.done(b.mustChoose(t, prompt("s")))
	again := listing(1)
	again[0].StartedAt = startTime.Add(time.Second)
	b.SetInstances(again)
	if p := b.mustChoose(t, prompt("s")); p.prefillTokens != 8500 {
		t.Errorf("%+v after a restart, want 8500 prefill tokens", p)
	}
}

func TestSlowInstanceIsDegraded(t *testing.T) {
	b := newTestBalancer(3)
	route := &routing.Route{Name: "r"}
	for range 20 {
		b.now = b.now.Add(50 * time.Millisecond)
		for i, instance := range listing(3) {
			took := 20 * time.Millisecond
			if i == 0 {
				took = 200 * time.Millisecond
			}
			b.report(&pick{instance: instance}, route, instances.Succeeded, took)
		}
	}
	for i, want := range []instances.State{instances.Degraded, instances.Healthy, instances.Healthy} {
		if state := b.registry.Candidates(b.now, "model", nil)[i].State; state != want {
			t.Errorf("instance %d is %v, want %v", i, state, want)
		}
	}
}

func TestRetryBudgetIsSharedByRouters(t *testing.T) {
	b := newTestBalancer(1)
	count := func() (n int) {
		for b.takeRetry("model", retry.HighPriority) {
			n++
		}
		return n
	}
	alone := count()
	b.SetRetryBudget(retry.WindowSettings{Ratio: 0.2, Extra: 56.5, Length: 10 * time.Second})
	b.SetFleet(0, 4, 0)
	if shared := count(); shared*4 > alone+4 || shared == 0 {
		t.Errorf("%d retries as the only router, %d as one of four", alone, shared)
	}
}

func TestNoInstance(t *testing.T) {
	b := newTestBalancer(0)
	if p, _ := b.choose(prompt("s"), target{service: "model"}, nil); p != nil {
		t.Error("chose an instance without any listed")
	}
	if b.hasHealthyAlternative("model", "", nil) || b.HasInstances() {
		t.Error("reports an instance without any listed")
	}
}

func TestLatencyBaselineSettlesLow(t *testing.T) {
	baselines := newLatencyBaselines()
	for range 200 {
		baselines.observe("r", 20*time.Millisecond)
		baselines.observe("r", 20*time.Millisecond)
		baselines.observe("r", 200*time.Millisecond)
	}
	if got := baselines.observe("r", 200*time.Millisecond); got < 3 {
		t.Errorf("a slow response is %.1f times the baseline, want at least 3", got)
	}
}

// The cost of a choice must grow only with the number of a service's engines, not
// with the number of routers.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ engines, routers int }{{12, 4}, {140, 31}, {600, 413}} {
		b.Run(fmt.Sprintf("%d-engines-%d-routers", size.engines, size.routers), func(b *testing.B) {
			t := newTestBalancer(size.engines)
			for r := range size.routers {
				d := &peerpb.Digest{}
				for e := range 10 {
					id := fmt.Sprintf("e-%03d", (r*7+e)%size.engines)
					d.Loads = append(d.Loads, &peerpb.InstanceLoad{Instance: loadshare.Hash(id), InFlight: 1})
				}
				t.ApplyDigest(fmt.Sprint(r), d)
			}
			c := prompt("s")
			for b.Loop() {
				t.done(t.mustChoose(b, c))
			}
		})
	}
}

// The instance data in the digest of a busy router must leave room in the datagram
// for the router's own identity and for the peers that it has heard from.
func TestDigestOfBusyRouterIsBounded(t *testing.T) {
	const calls, room = 400, 1040
	b := newTestBalancer(140)
	for i := range calls {
		p := b.mustChoose(t, prompt(fmt.Sprintf("subject-%d", i)))
		b.report(p, &routing.Route{Name: "r"}, instances.Broken, 0)
	}
	d := &peerpb.Digest{}
	b.FillDigest(d)
	if len(d.GetLoads()) != maxDigestLoads || len(d.GetHeld()) != maxDigestParts || len(d.GetFaults()) != maxDigestFaults {
		t.Errorf("%d loads, %d parts, %d faults", len(d.GetLoads()), len(d.GetHeld()), len(d.GetFaults()))
	}
	if size := proto.Size(d); size > room {
		t.Errorf("digest takes %d bytes", size)
	}
}

// In a large fleet each router is sent a digest once in many rounds. A new part is
// repeated until all have been sent it.
func TestNewPartsAreRepeatedUntilAllRoutersHaveThem(t *testing.T) {
	const coverage = 6 * time.Second
	b := newTestBalancer(12)
	b.SetFleet(0, 413, coverage)
	b.mustChoose(t, prompt("s"))
	for _, tc := range []struct {
		after time.Duration
		told  bool
	}{{0, true}, {coverage, true}, {coverage + time.Second, false}} {
		b.now = startTime.Add(tc.after)
		d := &peerpb.Digest{}
		b.FillDigest(d)
		if told := len(d.GetHeld()) > 0; told != tc.told {
			t.Errorf("after %v: told %v, want %v", tc.after, told, tc.told)
		}
	}
}
