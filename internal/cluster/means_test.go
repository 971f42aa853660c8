package cluster

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/averaging"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
)

// An unreachable router is suspect for seconds before it is declared failed, and
// other routers already run its requests. If its last reported load still counted,
// these requests would count twice and the bound on the load would be too high by
// one router's share.
func TestSuspectRouterCountsAsIdle(t *testing.T) {
	const pool, load = 7, 6
	now := time.Unix(1_700_000_000, 0)
	hosts := []hostlist.Host{routerHost(0), routerHost(1), routerHost(2)}
	l := newLoop(&Manager{options: Options{
		Self: hosts[0], Settings: DefaultSettings(), Seed: 1, Registry: metrics.NewRegistry(),
		Now: func() time.Time { return now },
	}})
	l.members.ApplyHostList(now, hosts)
	l.average.SetLocal([]averaging.PoolLoad{{Pool: pool, InFlight: load}})
	for _, host := range hosts[1:] {
		l.members.RecordHeartbeat(now, host.Name, 1)
		other := averaging.New()
		other.SetLocal([]averaging.PoolLoad{{Pool: pool, InFlight: load}})
		l.average.Receive(host.Name, other.BeginRound(len(hosts)))
	}
	total := func() float64 {
		v := &View{Self: hosts[0].Name, Routers: routerViews(l.members.Routers(now))}
		if len(v.Routers) != len(hosts) {
			t.Fatalf("%d routers in use, want %d", len(v.Routers), len(hosts))
		}
		v.PoolMeans = l.poolMeans(now, v)
		return v.PoolLoad(pool)
	}
	if got := total(); got != 3*load {
		t.Errorf("load of the pool = %v, want %v", got, 3*load)
	}
	l.members.ApplyUpdate(now, membership.Update{Host: hosts[2].Name, Incarnation: 1, Condition: membership.Suspect})
	if got := total(); got != 2*load {
		t.Errorf("load with a suspect router = %v, want %v", got, 2*load)
	}
}
