package daemon

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/engine"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
)

// Sizes of TestConfigurationInForce; measurements set larger ones.
var (
	configRouters = flag.Int("config.routers", 4, "number of routers in TestConfigurationInForce")
	configCommits = flag.Int("config.commits", 3, "number of commits in TestConfigurationInForce")
)

const (
	configDomains = 5
	configSeed    = 20261204
)

// startMultiDomainFleet starts routers with the production cluster settings in
// several failure domains.
func startMultiDomainFleet(t *testing.T, routers int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, engines: map[string]*engine.Server{}, routers: map[string]*testRouter{}}
	f.startUpstreams(fleetSize{engines: 2})
	var all []RouterSettings
	for i := range routers {
		s := f.routerSettings(fmt.Sprintf("router-%d", i))
		s.FailureDomain = fmt.Sprintf("domain-%d", i%configDomains)
		s.Listen = Listen{Callers: freePort(t), Peers: freePort(t), Admin: freePort(t)}
		s.Cluster = cluster.DefaultSettings()
		all = append(all, s)
		f.listedHosts = append(f.listedHosts, s.host(hostlist.KindRouter))
	}
	f.startPlatform()
	for _, s := range all {
		f.startRouter(s)
	}
	f.commitChanges(0, f.engineDeclarations().Changes())
	f.waitReady()
	return f
}

func (f *testFleet) engineDeclarations() *declare.Declarations {
	d := &declare.Declarations{Workspaces: []declare.Workspace{{Name: "quotes", Weight: 1, Priority: "normal"}}}
	for name := range f.engines {
		d.Engines = append(d.Engines, declare.Engine{Name: name, Model: testModel, Weight: 1})
	}
	d.Selectors = []declare.Selector{{Name: "all", Models: []string{testModel}}}
	return d
}

func (f *testFleet) commitChanges(base uint64, changes []declare.Change) uint64 {
	f.t.Helper()
	committer := configstore.NewCommitter(configstore.CommitterOptions{Store: f.anyRouter().router.store, Author: "test"})
	revision, err := committer.Commit(context.Background(), base, changes)
	if err != nil {
		f.t.Fatal(err)
	}
	return revision
}

func labelChange(round int) []declare.Change {
	w := declare.Workspace{Name: "quotes", Weight: 1, Priority: "normal", Labels: fleet.Labels{"round": fmt.Sprint(round)}}
	return []declare.Change{{Kind: declare.KindWorkspace, Name: w.Name, Workspace: &w}}
}

// awaitRevision waits until a revision is in force on all routers. It fails the test
// if the revision of a router decreases while it waits.
func (f *testFleet) awaitRevision(revision uint64, highest map[string]uint64) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("revision %d is in force everywhere", revision), func() bool {
		all := true
		for name, r := range f.routers {
			now := r.router.config.Revision()
			if now < highest[name] {
				f.t.Fatalf("revision of %s decreased from %d to %d", name, highest[name], now)
			}
			highest[name] = now
			all = all && now == revision
		}
		return all
	})
}

// TestConfigurationInForce commits at random times. It logs the time until each
// change was in force on all routers, the control traffic and the reads of the
// key-value service.
func TestConfigurationInForce(t *testing.T) {
	f := startMultiDomainFleet(t, *configRouters)
	random := rand.New(rand.NewPCG(configSeed, 0))
	highest := make(map[string]uint64)
	revision := uint64(1)
	var delays []time.Duration
	started, before := time.Now(), f.controlBytes()
	reads := f.kv.State().Reads
	for round := range *configCommits {
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		revision = f.commitChanges(revision, labelChange(round))
		committed := time.Now()
		f.awaitRevision(revision, highest)
		delays = append(delays, time.Since(committed))
	}
	elapsed := time.Since(started).Seconds()
	slices.Sort(delays)
	t.Logf("routers %d, commits %d: time to be in force on all routers: median %v, maximum %v; control traffic %.0f B/s per router; key-value service %.1f reads/s",
		*configRouters, len(delays), delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond),
		(f.controlBytes()-before)/elapsed/float64(*configRouters), float64(f.kv.State().Reads-reads)/elapsed)
}

// controlBytes returns the control traffic of all routers so far.
func (f *testFleet) controlBytes() float64 {
	total := 0.0
	for _, r := range f.routers {
		r.router.registry.Each(func(name string, metric any) {
			counter, ok := metric.(interface{ Count() int64 })
			if ok && slices.Contains(configControlCounters, name) {
				total += float64(counter.Count())
			}
		})
	}
	return total
}

var configControlCounters = []string{
	"cluster.sent.bytes", "cluster.received.bytes",
	"config.fetched_from_store.bytes", "config.fetched_from_peers.bytes", "config.served_to_peers.bytes",
}

// TestRestartOfAllRoutersDuringOutage restarts the routers one after another while
// the key-value service is down. They must get the newest revision from their peers.
func TestRestartOfAllRoutersDuringOutage(t *testing.T) {
	f := startFleet(t, fleetSize{routers: 3, engines: 2, instances: 1})
	highest := make(map[string]uint64)
	revision := f.commitChanges(1, priorityChange())
	f.awaitRevision(revision, highest)
	f.kv.Faults.Update(func(faults *kvserver.Faults) { faults.Outage = standin.OutageCut })
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("router-%d", i)
		s := f.routers[name].router.settings
		f.stopRouter(name)
		f.startRouter(s)
		f.awaitRevision(revision, map[string]uint64{})
	}
	f.waitReady()
	c := chatRequest{router: "router-1", chat: "after", prompt: "which crane is free", maxTokens: 8}
	wantComplete(t, c, f.runChat(c))
	f.kv.Faults.Update(func(faults *kvserver.Faults) { faults.Outage = standin.OutageNone })
	revision = f.commitChanges(revision, priorityChange())
	f.awaitRevision(revision, map[string]uint64{})
}

func priorityChange() []declare.Change {
	w := declare.Workspace{Name: "quotes", Weight: 3, Priority: "high", Labels: fleet.Labels{"team": "sales"}}
	return []declare.Change{{Kind: declare.KindWorkspace, Name: w.Name, Workspace: &w}}
}

// TestStewardOrdersEngines covers the path of an order from the declarations through
// the steward's lease to the engines.
func TestStewardOrdersEngines(t *testing.T) {
	f := startFleet(t, fleetSize{routers: 1, engines: 2, instances: 1})
	s := DefaultStewardSettings()
	s.Name, s.Listen.Admin, s.Platform = "steward-1", freePort(t), f.platform
	s.Lease, s.ClockAllowance = s.Lease/5, s.ClockAllowance/10
	process, err := NewSteward(s, f.anyRouter().router.logger)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	f.eventually("engines have the declared model with the steward's fence", func() bool {
		for _, host := range f.listedHosts {
			if host.Kind == hostlist.KindEngine && !f.ordersApplied(host.Address, process.steward.Fence()) {
				return false
			}
		}
		return process.steward.Fence() > 0
	})
}

func (f *testFleet) ordersApplied(address string, fence int64) bool {
	var state engineapi.OrderState
	if !f.getJSON("http://"+address+engineapi.PathOrders, &state) {
		return false
	}
	return state.Fence == fence && slices.Equal(state.Models, []string{testModel})
}

func (f *testFleet) getJSON(url string, out any) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(out) == nil
}

// TestPeerRevisionInRequests checks that a router learns of a newer revision from a
// forwarded request alone, and ignores unknown senders and revisions that aren't
// newer.
func TestPeerRevisionInRequests(t *testing.T) {
	f := startFleet(t, fleetSize{routers: 2, engines: 1, instances: 1})
	behind, ahead := f.routers["router-1"].router, f.routers["router-2"].router
	before := behind.registry.Get("config.peer_announcements.messages").(interface{ Count() int64 }).Count()
	behind.onPeerRevision(ahead.settings.Name, behind.config.Revision()+1)
	behind.onPeerRevision("nobody", behind.config.Revision()+1)
	behind.onPeerRevision(ahead.settings.Name, behind.config.Revision())
	after := behind.registry.Get("config.peer_announcements.messages").(interface{ Count() int64 }).Count()
	if after != before+1 {
		t.Fatal("number of announcements before and after, want an increase of 1:", before, after)
	}
}
