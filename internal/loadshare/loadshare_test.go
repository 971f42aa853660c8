package loadshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_800_000_000, 0)

func TestLoadIsTheSumOfAllRouters(t *testing.T) {
	table := New()
	table.Begin("e", 100)
	table.Begin("e", 50)
	table.UpdatePeer(start, "r1", map[uint32]Load{Hash("e"): {Calls: 3, PendingPrefillTokens: 10}, Hash("f"): {Calls: 9}})
	table.UpdatePeer(start, "r2", map[uint32]Load{Hash("e"): {Calls: 1}})
	if got, want := table.Load(start, "e"), (Load{Calls: 6, PendingPrefillTokens: 160}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	table.Prefilled("e", 150)
	table.End("e")
	if got, want := table.Load(start, "e"), (Load{Calls: 5, PendingPrefillTokens: 10}); got != want {
		t.Errorf("after a call's end: got %+v, want %+v", got, want)
	}
}

func TestReportsExpire(t *testing.T) {
	table := New()
	table.UpdatePeer(start, "r1", map[uint32]Load{Hash("e"): {Calls: 3}})
	table.UpdateInstance(start, "e", 7)
	if got := table.Load(start, "e").Calls; got != 7 {
		t.Errorf("with the instance's report: %d, want 7", got)
	}
	if got := table.Load(start.Add(reportLifetime), "e").Calls; got != 3 {
		t.Errorf("after the instance's report has expired: %d, want 3", got)
	}
	table.Tick(start.Add(peerLifetime - 1))
	if got := table.Load(start.Add(reportLifetime), "e").Calls; got != 3 {
		t.Errorf("within the lifetime of the router's report: %d, want 3", got)
	}
	table.Tick(start.Add(peerLifetime))
	if got := table.Load(start.Add(peerLifetime), "e").Calls; got != 0 {
		t.Errorf("after the router's report has expired: %d, want 0", got)
	}
	table.UpdatePeer(start, "r1", map[uint32]Load{Hash("e"): {Calls: 3}})
	table.ForgetPeer("r1")
	if got := table.Load(start, "e").Calls; got != 7 {
		t.Errorf("after ForgetPeer: %d, want 7", got)
	}
}

func TestLocalChangesAreAddedToInstanceReport(t *testing.T) {
	table := New()
	table.Begin("e", 0)
	table.UpdateInstance(start, "e", 5)
	table.Begin("e", 0)
	if got := table.Load(start, "e").Calls; got != 6 {
		t.Errorf("got %d, want 6", got)
	}
	table.End("e")
	table.End("e")
	if got := table.Load(start, "e").Calls; got != 4 {
		t.Errorf("got %d, want 4", got)
	}
}

func TestIdleInstancesAreNotReported(t *testing.T) {
	table := New()
	table.Begin("e", 10)
	table.End("e")
	if local := table.Local(); len(local) != 0 {
		t.Errorf("idle instances are reported: %v", local)
	}
}

// The sums over routers stay those of their last reports, in any order of events.
func TestTotalsProperty(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(6)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("totals", prop.ForAll(func(codes []uint16) bool {
		table, reports := New(), map[string]map[uint32]Load{}
		for i, code := range codes {
			name := string(rune('a' + code%4))
			if code>>2%3 == 0 {
				table.ForgetPeer(name)
				delete(reports, name)
				continue
			}
			loads := map[uint32]Load{Hash("e"): {Calls: int(code >> 4 % 8), PendingPrefillTokens: i}, Hash("f"): {Calls: int(code >> 7 % 8)}}
			table.UpdatePeer(start, name, loads)
			reports[name] = loads
		}
		for _, instance := range []string{"e", "f"} {
			want := Load{}
			for _, loads := range reports {
				want.Calls += loads[Hash(instance)].Calls
				want.PendingPrefillTokens += loads[Hash(instance)].PendingPrefillTokens
			}
			if table.Load(start, instance) != want {
				return false
			}
		}
		return true
	}, gen.SliceOfN(60, gen.UInt16())))
	properties.TestingRun(t)
}

func BenchmarkLoad(b *testing.B) {
	for _, routers := range []int{4, 31, 413} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			table := New()
			for r := range routers {
				loads := map[uint32]Load{}
				for e := range 15 {
					loads[Hash(fmt.Sprint((r*15+e)%600))] = Load{Calls: 1}
				}
				table.UpdatePeer(start, fmt.Sprint(r), loads)
			}
			for b.Loop() {
				table.Load(start, "7")
			}
		})
	}
}
