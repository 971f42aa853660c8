package cluster

import (
	"context"
	"fmt"
	"math"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	measuredPools  = 12
	measureWarmUp  = 10 * time.Second
	measuredWindow = 20 * time.Second
	stormWindow    = 20 * time.Second
	failureWindow  = 60 * time.Second
)

// measuredDaemon runs a Manager with default settings and reports a load that tests
// can change.
type measuredDaemon struct {
	manager  *Manager
	registry metrics.Registry
	load     atomic.Int64
	stop     context.CancelFunc
}

func (d *measuredDaemon) loads() map[uint32]int {
	out := make(map[uint32]int, measuredPools)
	for pool := range uint32(measuredPools) {
		out[pool+1] = int(d.load.Load())
	}
	return out
}

func (d *measuredDaemon) bytes(name string) int64 {
	return metrics.GetOrRegisterCounter("cluster."+name, d.registry).Count()
}

func (d *measuredDaemon) total() int64 { return d.bytes("sent.bytes") + d.bytes("received.bytes") }

// startMeasured runs n routers with a host list that also contains engines.
func startMeasured(ctx context.Context, t *testing.T, group *errgroup.Group, n int) []*measuredDaemon {
	p := newPlatform(t)
	for i := range 12 {
		p.add(hostlist.Host{Name: fmt.Sprint("engine-", i), Kind: hostlist.KindEngine, Address: "127.0.0.1:2", State: hostlist.StateLive})
	}
	logger := logrus.New()
	logger.SetLevel(logrus.ErrorLevel)
	var hosts []hostlist.Host
	for i := range n {
		hosts = append(hosts, hostlist.Host{
			Name: fmt.Sprintf("router-%03d", i), Kind: hostlist.KindRouter, State: hostlist.StateLive,
			Address: "127.0.0.1:1", PeerAddress: freeAddress(t), Region: "bagmati", FailureDomain: "balaju",
		})
		p.add(hosts[i])
	}
	var daemons []*measuredDaemon
	for i, self := range hosts {
		d := &measuredDaemon{registry: metrics.NewRegistry()}
		d.load.Store(int64(i % 20))
		manager, err := New(Options{
			Self: self, HostListURL: p.server.URL, Settings: DefaultSettings(), Seed: uint64(i + 1),
			LoadSource: d.loads, Registry: d.registry, Logger: logger,
		})
		if err != nil {
			t.Fatal(err)
		}
		d.manager = manager
		daemons = append(daemons, d)
		daemonCtx, stop := context.WithCancel(ctx)
		d.stop = stop
		group.Go(func() error { return manager.Run(daemonCtx) })
	}
	return daemons
}

// TestMeasureControlBytes prints the control traffic of Managers on the loopback
// interface. Set VERBENATRAIL_MEASURE=1 to run it.
func TestMeasureControlBytes(t *testing.T) {
	if os.Getenv("VERBENATRAIL_MEASURE") == "" {
		t.Skip("set VERBENATRAIL_MEASURE=1 to measure")
	}
	fmt.Println("routers  B/s mean  B/s highest  ping+ack  relay  list  false-failures  error mean  error highest  drop: first  all  storm B/s  failures-seen")
	for _, n := range []int{4, 16, 64} {
		measureFleet(t, n)
	}
}

func measureFleet(t *testing.T, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	daemons := startMeasured(ctx, t, group, n)
	time.Sleep(measureWarmUp)
	before := make([]int64, n)
	for i, d := range daemons {
		before[i] = d.total()
	}
	time.Sleep(measuredWindow)
	line := summarise(daemons, before)
	line += failureTimes(daemons)
	daemons = daemons[:n-1]
	line += stormRate(daemons)
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	fmt.Println(line)
}

// stormRate makes all daemons report crashes and failures at the same time. It
// returns the highest byte rate of a daemon while the reports spread.
func stormRate(daemons []*measuredDaemon) string {
	before := make([]int64, len(daemons))
	for i, d := range daemons {
		before[i] = d.total()
		for crash := range uint64(50) {
			d.manager.PublishStrike(&peerpb.Strike{Fingerprint: crash, Upstream: "engine-1", CrashId: uint64(i)<<16 | crash})
		}
		for engine := range 12 {
			d.manager.ReportUpstream(fmt.Sprint("engine-", engine), ConnRefused)
		}
	}
	time.Sleep(stormWindow)
	highest := 0.0
	for i, d := range daemons {
		highest = max(highest, float64(d.total()-before[i])/stormWindow.Seconds())
	}
	return fmt.Sprintf("  %9.0f  %14.0f", highest, falseFailures(daemons))
}

// falseFailures returns how often a daemon declared another one failed.
func falseFailures(daemons []*measuredDaemon) float64 {
	sum := 0.0
	for _, d := range daemons {
		sum += float64(d.bytes("changes.router.failed"))
	}
	return sum
}

// failureTimes stops a daemon and returns the times until the first and until all
// of the other daemons have removed it.
func failureTimes(daemons []*measuredDaemon) string {
	stopped, others := daemons[len(daemons)-1], daemons[:len(daemons)-1]
	name := stopped.manager.View().Self
	stopped.stop()
	start := time.Now()
	first := time.Duration(0)
	for time.Since(start) < failureWindow {
		dropped := 0
		for _, d := range others {
			if _, ok := d.manager.View().Router(name); !ok {
				dropped++
			}
		}
		if dropped > 0 && first == 0 {
			first = time.Since(start)
		}
		if dropped == len(others) {
			return fmt.Sprintf("  %6.1fs  %6.1fs", first.Seconds(), time.Since(start).Seconds())
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "  not dropped by all"
}

func summarise(daemons []*measuredDaemon, before []int64) string {
	n := float64(len(daemons))
	perSecond := func(bytes int64) float64 { return float64(bytes) / measuredWindow.Seconds() }
	elapsed := (measureWarmUp + measuredWindow).Seconds()
	var mean, highest, probes, relays, list, errorMean, errorHighest, actual float64
	for _, d := range daemons {
		actual += float64(d.load.Load())
	}
	for i, d := range daemons {
		rate := perSecond(d.total() - before[i])
		mean += rate / n
		highest = max(highest, rate)
		for _, direction := range []string{"sent.bytes.", "received.bytes."} {
			probes += float64(d.bytes(direction+"ping")+d.bytes(direction+"ack")) / elapsed / n
			relays += float64(d.bytes(direction+"relay")) / elapsed / n
		}
		list += float64(d.bytes("received.bytes.list")) / elapsed / n
		e := math.Abs(d.manager.View().PoolLoad(1)-actual) / actual
		errorMean += e / n
		errorHighest = max(errorHighest, e)
	}
	return fmt.Sprintf("%7d  %8.0f  %11.0f  %8.0f  %5.0f  %4.0f  %14.0f  %10.3f  %13.3f",
		len(daemons), mean, highest, probes, relays, list, falseFailures(daemons), errorMean, errorHighest)
}
