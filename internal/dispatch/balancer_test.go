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

var start = time.Unix(1_800_000_000, 0)

// testBalancer is a Balancer with a clock that the test sets.
type testBalancer struct {
	*Balancer
	now  time.Time
	news int
}

func newTestBalancer(engines int) *testBalancer {
	t := &testBalancer{now: start}
	t.Balancer = NewBalancer(BalancerOptions{
		Place: locality.Place{FailureDomain: "z"}, RetryBudget: retry.WindowSettings{Ratio: 0.2, Extra: 56, Length: 10 * time.Second},
		Containment: containment.DefaultSettings(), Log: decisionlog.New(io.Discard, logrus.ErrorLevel, metrics.NewRegistry()),
		OnDigestChange: func() { t.news++ }, Now: func() time.Time { return t.now },
	})
	t.SetInstances(listing(engines))
	return t
}

func listing(engines int) []instances.Instance {
	var out []instances.Instance
	for i := range engines {
		out = append(out, instances.Instance{
			ID: fmt.Sprintf("e-%03d", i), Service: "model", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Place: locality.Place{FailureDomain: "z"}, Slots: 8,
		})
	}
	return out
}

func prompt(subject string) *call.Call {
	return &call.Call{ID: "id-" + subject, Prompt: call.Prompt{Model: "m", Parts: []call.Part{
		{ID: "base", Tokens: 2500}, {ID: subject, Tokens: 6000}, {ID: "own", Tokens: 500},
	}}}
}

func (t *testBalancer) mustChoose(tb testing.TB, c *call.Call) *pick {
	tb.Helper()
	p, ok := t.choose(c, "model", nil)
	if !ok {
		tb.Fatal("no instance")
	}
	return p
}

func TestCallsOfOneSubjectFollowTheFirst(t *testing.T) {
	b := newTestBalancer(12)
	first := b.mustChoose(t, prompt("s"))
	if first.unread != 8500 || b.news != 1 {
		t.Errorf("%d tokens to read, %d news", first.unread, b.news)
	}
	second := b.mustChoose(t, prompt("s"))
	if second.instance.ID != first.instance.ID || second.unread != 0 || b.news != 1 {
		t.Errorf("%+v after %+v, %d news", second, first, b.news)
	}
}

func TestWhatWasNotReadIsForgotten(t *testing.T) {
	b := newTestBalancer(12)
	p := b.mustChoose(t, prompt("s"))
	b.notRead(p)
	b.done(p)
	if again := b.mustChoose(t, prompt("s")); again.unread != 8500 {
		t.Errorf("%+v", again)
	}
}

func TestRoutersHearOfEachOthersCalls(t *testing.T) {
	one, other := newTestBalancer(12), newTestBalancer(12)
	p := one.mustChoose(t, prompt("s"))
	digest := &peerpb.Digest{}
	one.FillDigest(digest)
	other.ApplyDigest("one", digest)
	q := other.mustChoose(t, prompt("s"))
	if q.instance.ID != p.instance.ID || q.unread != 0 || q.load != 1 {
		t.Errorf("%+v after %+v", q, p)
	}
	other.ForgetPeer("one")
	if got := other.loads.Load(start, p.instance.ID).Calls; got != 1 {
		t.Errorf("load %d without the other router", got)
	}
}

func TestPartsComeFromLeavingEngines(t *testing.T) {
	b := newTestBalancer(3)
	p := b.mustChoose(t, prompt("s"))
	b.firstByte(p)
	b.done(p)
	list := listing(3)
	for i := range list {
		list[i].Draining = list[i].ID == p.instance.ID
	}
	b.SetInstances(list)
	q := b.mustChoose(t, prompt("s"))
	if q.instance.ID == p.instance.ID || q.fetchFrom != p.instance.Address {
		t.Errorf("%+v after %+v", q, p)
	}
}

func TestEnginesThatStartAgainHoldNothing(t *testing.T) {
	b := newTestBalancer(1)
	b.done(b.mustChoose(t, prompt("s")))
	again := listing(1)
	again[0].StartedAt = start.Add(time.Second)
	b.SetInstances(again)
	if p := b.mustChoose(t, prompt("s")); p.unread != 8500 {
		t.Errorf("%+v", p)
	}
}

func TestSlowEnginesAreFound(t *testing.T) {
	b := newTestBalancer(3)
	route := &routing.Route{Name: "r"}
	for range 20 {
		b.now = b.now.Add(50 * time.Millisecond)
		for i, i2 := range listing(3) {
			took := 20 * time.Millisecond
			if i == 0 {
				took = 200 * time.Millisecond
			}
			b.report(&pick{instance: i2}, route, instances.Succeeded, took)
		}
	}
	for i, want := range []instances.State{instances.Degraded, instances.Healthy, instances.Healthy} {
		if state := b.registry.Candidates(b.now, "model", nil)[i].State; state != want {
			t.Errorf("engine %d: %v, want %v", i, state, want)
		}
	}
}

func TestRepeatsAreSharedByTheRouters(t *testing.T) {
	b := newTestBalancer(1)
	count := func() (n int) {
		for b.takeRepeat("model", retry.HighPriority) {
			n++
		}
		return n
	}
	alone := count()
	b.SetRetryBudget(retry.WindowSettings{Ratio: 0.2, Extra: 56.5, Length: 10 * time.Second})
	b.SetRouterCount(4)
	if shared := count(); shared*4 > alone+4 || shared == 0 {
		t.Errorf("%d repeats alone, %d as one of four", alone, shared)
	}
}

func TestNoInstance(t *testing.T) {
	b := newTestBalancer(0)
	if _, ok := b.choose(prompt("s"), "model", nil); ok {
		t.Error("an instance among none")
	}
	if b.hasOther("model", nil) || b.HasInstances() {
		t.Error("an instance among none")
	}
}

func TestExpectationsSettleLow(t *testing.T) {
	e := newExpectations()
	for range 200 {
		e.slowness("r", 20*time.Millisecond)
		e.slowness("r", 20*time.Millisecond)
		e.slowness("r", 200*time.Millisecond)
	}
	if got := e.slowness("r", 200*time.Millisecond); got < 3 {
		t.Errorf("a slow answer counts as %.1f times the usual", got)
	}
}

// The cost of a choice grows with the engines of a service, not with the
// routers.
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

// What a busy router tells of instances leaves room in a datagram for who it is
// and whom it heard.
func TestDigestsOfABusyRouterAreBounded(t *testing.T) {
	const calls, room = 400, 1040
	b := newTestBalancer(140)
	for i := range calls {
		p := b.mustChoose(t, prompt(fmt.Sprintf("subject-%d", i)))
		b.report(p, &routing.Route{Name: "r"}, instances.Broken, 0)
	}
	d := &peerpb.Digest{}
	b.FillDigest(d)
	if len(d.GetLoads()) != maxDigestLoads || len(d.GetHeld()) != maxDigestHeld || len(d.GetFaults()) != maxDigestFaults {
		t.Errorf("%d loads, %d parts, %d faults", len(d.GetLoads()), len(d.GetHeld()), len(d.GetFaults()))
	}
	if size := proto.Size(d); size > room {
		t.Errorf("%d bytes", size)
	}
}
