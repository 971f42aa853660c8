package cluster

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// platform is an HTTP server with a host list that tests can change.
type platform struct {
	mu     sync.Mutex
	zip    bool // compress the list
	hosts  []hostlist.Host
	server *httptest.Server
}

func newPlatform(t *testing.T) *platform {
	p := &platform{}
	p.server = httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(p.server.Close)
	return p
}

func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	etag := fmt.Sprintf(`"%d"`, len(p.hosts))
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", etag)
	if r.Header.Get("Accept-Encoding") != "gzip" || !p.zip {
		_ = json.NewEncoder(w).Encode(hostlist.List{Hosts: p.hosts})
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	zipped := gzip.NewWriter(w)
	_ = json.NewEncoder(zipped).Encode(hostlist.List{Hosts: p.hosts})
	_ = zipped.Close()
}

func (p *platform) add(h hostlist.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, h)
}

// freeAddress returns a currently free UDP address on the loopback interface.
func freeAddress(t *testing.T) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

func fastSettings() Settings {
	s := DefaultSettings()
	s.BytesPerSecond = 100_000
	s.RoundInterval = settings.Duration(20 * time.Millisecond)
	s.ListInterval = settings.Duration(20 * time.Millisecond)
	s.Membership.ProbeTimeout = settings.Duration(100 * time.Millisecond)
	s.Membership.SuspectTimeout = settings.Duration(300 * time.Millisecond)
	return s
}

// daemon is a running Manager.
type daemon struct {
	*Manager
	stop     func()
	strikes  atomic.Int32
	revision atomic.Uint64
}

func start(t *testing.T, p *platform, name string, kind hostlist.Kind, load int) *daemon {
	self := hostlist.Host{
		Name: name, Kind: kind, PeerAddress: freeAddress(t), Address: "127.0.0.1:1",
		State: hostlist.StateLive,
	}
	logger := logrus.New()
	logger.SetLevel(logrus.ErrorLevel)
	d := &daemon{}
	manager, err := New(Options{
		Self: self, HostListURL: p.server.URL, Settings: fastSettings(), Seed: 1, Logger: logger,
		LoadSource:     func() map[uint32]int { return map[uint32]int{7: load} },
		OnStrike:       func(*peerpb.Strike) { d.strikes.Add(1) },
		OnPeerRevision: func(_ string, revision uint64) { d.revision.Store(revision) },
	})
	if err != nil {
		t.Fatal(err)
	}
	d.Manager = manager
	p.add(self)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- manager.Run(ctx) }()
	var once sync.Once
	d.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(d.stop)
	return d
}

// eventually waits for a view that meets the condition.
func (d *daemon) eventually(t *testing.T, what string, condition func(*View) bool) {
	t.Helper()
	limit := time.After(20 * time.Second)
	for {
		changed := d.Changed()
		if condition(d.View()) {
			return
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("%s: timeout waiting until %s; view %+v", d.options.Self.Name, what, d.View())
		}
	}
}

func routers(n int) func(*View) bool { return func(v *View) bool { return len(v.Routers) == n } }

func state(name string, want UpstreamState) func(*View) bool {
	return func(v *View) bool { return v.Upstreams[name].State == want }
}

func TestRoutersExchangeLoadsGossipAndRevision(t *testing.T) {
	p := newPlatform(t)
	p.add(hostlist.Host{Name: "engine", Kind: hostlist.KindEngine, Address: "127.0.0.1:2", State: hostlist.StateLive})
	a := start(t, p, "router-a", hostlist.KindRouter, 2)
	b := start(t, p, "router-b", hostlist.KindRouter, 4)
	c := start(t, p, "router-c", hostlist.KindRouter, 6)
	directory := start(t, p, "directory", hostlist.KindDirectory, 0)
	for _, d := range []*daemon{a, b, c, directory} {
		d.eventually(t, "all routers are in use", routers(3))
		d.eventually(t, "the engine is live", state("engine", Live))
	}
	a.eventually(t, "the mean is 4", func(v *View) bool { return v.PoolMeans[7] == 4 && v.PoolLoad(7) == 12 })
	a.SetConfigRevision(9)
	b.eventually(t, "a peer announces revision 9", func(v *View) bool { return v.NewestRevision.Revision == 9 && b.revision.Load() == 9 })
	a.PublishStrike(&peerpb.Strike{Fingerprint: 1, Upstream: "engine", CrashId: 2})
	c.eventually(t, "a strike has arrived", func(*View) bool { return c.strikes.Load() == 1 })
	a.ReportUpstream("engine", ConnRefused)
	directory.eventually(t, "the engine is suspect", state("engine", Suspect))
	directory.eventually(t, "the engine is live again", state("engine", Live))
}

func TestStoppedRouterIsDropped(t *testing.T) {
	p := newPlatform(t)
	a := start(t, p, "router-a", hostlist.KindRouter, 0)
	b := start(t, p, "router-b", hostlist.KindRouter, 0)
	c := start(t, p, "router-c", hostlist.KindRouter, 0)
	a.eventually(t, "all routers are in use", routers(3))
	b.eventually(t, "all routers are in use", routers(3))
	c.stop()
	a.eventually(t, "one router has failed", routers(2))
	b.eventually(t, "one router has failed", routers(2))
}

func TestLeavingRouterIsNoOwner(t *testing.T) {
	p := newPlatform(t)
	a := start(t, p, "router-a", hostlist.KindRouter, 0)
	b := start(t, p, "router-b", hostlist.KindRouter, 0)
	a.eventually(t, "both routers are in use", routers(2))
	b.eventually(t, "both routers are in use", routers(2))
	b.Leave()
	a.eventually(t, "the other router is leaving", func(v *View) bool { return len(v.Owners) == 1 && len(v.Routers) == 2 })
}

func TestListIsPolledCompressedAndOnlyWhenChanged(t *testing.T) {
	p := newPlatform(t)
	p.zip = true
	for i := range 50 {
		p.add(routerHost(i))
	}
	poller := newListPoller(Options{HostListURL: p.server.URL, Settings: DefaultSettings()})
	defer poller.http.CloseIdleConnections()
	first := poller.poll(t.Context())
	if first.err != nil || len(first.Hosts) != 50 || first.Bytes > 1500 {
		t.Fatalf("%d hosts in %d bytes, %v", len(first.Hosts), first.Bytes, first.err)
	}
	if again := poller.poll(t.Context()); again.err != nil || again.Changed {
		t.Fatalf("got %+v", again)
	}
	p.add(routerHost(50))
	if changed := poller.poll(t.Context()); len(changed.Hosts) != 51 {
		t.Fatalf("%d hosts, %v", len(changed.Hosts), changed.err)
	}
}

func routerHost(i int) hostlist.Host {
	return hostlist.Host{Name: fmt.Sprintf("router-%03d", i), Kind: hostlist.KindRouter, State: hostlist.StateLive}
}

func TestInvalidPeerAddressIsReported(t *testing.T) {
	if _, err := New(Options{Self: hostlist.Host{PeerAddress: "nowhere"}}); err == nil {
		t.Fatal("no error")
	}
}

func TestBudgetHoldsUnderOverload(t *testing.T) {
	const bytesPerSecond, seconds, size = 2000, 60, 300
	b := newBudget(bytesPerSecond, metrics.NewRegistry())
	now := time.Unix(1_700_000_000, 0)
	total := 0
	for i := range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		if i%10 == 0 {
			b.recordReceived(now, kindPing, size/10)
			total += size/10 + headerBytes
		}
		if b.maySend(now, sendPriority(i%2)) {
			b.recordSent(now, kindPing, size)
			total += size + headerBytes
		}
	}
	if limit := bytesPerSecond * seconds; total > limit {
		t.Fatalf("%d bytes in %d s, limit %d", total, seconds, limit)
	}
}

func TestDatagramsStayBelowTheMTU(t *testing.T) {
	d := &peerpb.Datagram{From: "router-a", Averages: &peerpb.Averages{}}
	for i := range 80 {
		d.Averages.Pools = append(d.Averages.Pools, &peerpb.PoolAverage{Pool: uint32(i) + 1, InFlight: 1})
	}
	added := 0
	for i := range 40 {
		update := membership.Update{Host: fmt.Sprint("a-host-with-a-long-name-", i), Upstream: i%2 == 0, Version: 1 << 40, Incarnation: 1 << 40}
		if addUpdate(d, update) {
			added++
		}
	}
	if size := proto.Size(d); size > maxDatagramBytes || added == 0 || added == 40 {
		t.Fatalf("%d bytes with %d updates", size, added)
	}
	if got := len(updatesOf(d)); got != added {
		t.Fatalf("decoded %d of %d updates", got, added)
	}
}

func TestOwnersAreInTheRegionOfTheUpstream(t *testing.T) {
	v := &View{Upstreams: map[string]UpstreamView{"engine": {Region: "litoral"}, "elsewhere": {Region: "none"}}}
	for i, region := range []string{"bagmati", "litoral", "bagmati", "litoral"} {
		name := fmt.Sprint("router-", i)
		v.Routers = append(v.Routers, RouterView{Name: name, Region: region})
		v.Owners = append(v.Owners, name)
	}
	v.regionOwners = ownersByRegion(v.Routers, v.Owners)
	order := v.OwnersInOrder("engine", 4)
	near := []string{"router-1", "router-3"}
	if len(order) != 4 || !slices.Contains(near, order[0]) || !slices.Contains(near, order[1]) {
		t.Fatalf("got %v", order)
	}
	if owner, ok := v.Owner("engine", nil); !ok || owner != order[0] {
		t.Fatalf("got %q", owner)
	}
	if owner, ok := v.Owner("engine", near); !ok || owner != order[2] {
		t.Fatalf("got %q", owner)
	}
	if owner, ok := v.Owner("elsewhere", nil); !ok || owner == "" {
		t.Fatal("no owner for an upstream of a region without routers")
	}
	if _, ok := v.Owner("engine", v.Owners); ok {
		t.Fatal("got an owner although all routers are excepted")
	}
}
