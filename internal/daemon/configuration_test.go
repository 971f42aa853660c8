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

// Sizes of TestConfigurationInForce; a measurement sets them by flags.
var (
	configRouters = flag.Int("config.routers", 4, "routers of TestConfigurationInForce")
	configCommits = flag.Int("config.commits", 3, "commits of TestConfigurationInForce")
)

const (
	configDomains = 5
	configSeed    = 20261204
)

// startWideFleet starts routers with production settings, spread over failure
// domains.
func startWideFleet(t *testing.T, routers int) *testFleet {
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
		f.listed = append(f.listed, s.host(hostlist.KindRouter))
	}
	f.startPlatform()
	for _, s := range all {
		f.startRouter(s)
	}
	f.commitChanges(0, f.wideDeclarations().Changes())
	f.waitReady()
	return f
}

func (f *testFleet) wideDeclarations() *declare.Declarations {
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

func relabelled(round int) []declare.Change {
	w := declare.Workspace{Name: "quotes", Weight: 1, Priority: "normal", Labels: fleet.Labels{"round": fmt.Sprint(round)}}
	return []declare.Change{{Kind: declare.KindWorkspace, Name: w.Name, Workspace: &w}}
}

// awaitRevision waits until a revision is in force on all routers, and fails
// when one falls meanwhile.
func (f *testFleet) awaitRevision(revision uint64, highest map[string]uint64) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("revision %d is in force everywhere", revision), func() bool {
		all := true
		for name, r := range f.routers {
			now := r.router.config.Revision()
			if now < highest[name] {
				f.t.Fatalf("%s fell from revision %d to %d", name, highest[name], now)
			}
			highest[name] = now
			all = all && now == revision
		}
		return all
	})
}

// TestConfigurationInForce commits at random times and logs how long each change
// took to be in force everywhere, and what it cost.
func TestConfigurationInForce(t *testing.T) {
	f := startWideFleet(t, *configRouters)
	random := rand.New(rand.NewPCG(configSeed, 0))
	highest := make(map[string]uint64)
	revision := uint64(1)
	var took []time.Duration
	started, before := time.Now(), f.controlBytes()
	reads := f.kv.State().Reads
	for round := range *configCommits {
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		revision = f.commitChanges(revision, relabelled(round))
		committed := time.Now()
		f.awaitRevision(revision, highest)
		took = append(took, time.Since(committed))
	}
	elapsed := time.Since(started).Seconds()
	slices.Sort(took)
	t.Logf("routers %d, commits %d: in force everywhere after median %v, worst %v; control %.0f B/s a router; service %.1f reads/s",
		*configRouters, len(took), took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond),
		(f.controlBytes()-before)/elapsed/float64(*configRouters), float64(f.kv.State().Reads-reads)/elapsed)
}

// controlBytes returns what all routers have spent on control.
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

// TestRestartOfAllRoutersDuringOutage replaces every router while the service is
// down: the newest revision lives on in the peers.
func TestRestartOfAllRoutersDuringOutage(t *testing.T) {
	f := startFleet(t, fleetSize{routers: 3, engines: 2, instances: 1})
	highest := make(map[string]uint64)
	revision := f.commitChanges(1, relabelledQuotes())
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
	wantWhole(t, c, f.ask(c))
	f.kv.Faults.Update(func(faults *kvserver.Faults) { faults.Outage = standin.OutageNone })
	revision = f.commitChanges(revision, relabelledQuotes())
	f.awaitRevision(revision, map[string]uint64{})
}

func relabelledQuotes() []declare.Change {
	w := declare.Workspace{Name: "quotes", Weight: 3, Priority: "high", Labels: fleet.Labels{"team": "sales"}}
	return []declare.Change{{Kind: declare.KindWorkspace, Name: w.Name, Workspace: &w}}
}

// TestStewardOrdersLive is the whole way of an order: declarations, lease and
// engine.
func TestStewardOrdersLive(t *testing.T) {
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
	f.eventually("engines have the declared model under the steward's fence", func() bool {
		for _, host := range f.listed {
			if host.Kind == hostlist.KindEngine && !f.ordered(host.Address, process.steward.Fence()) {
				return false
			}
		}
		return process.steward.Fence() > 0
	})
}

func (f *testFleet) ordered(address string, fence int64) bool {
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

// TestRevisionTravelsWithRequests has a router learn of a revision from a request
// of another, without datagrams and without the service.
func TestRevisionTravelsWithRequests(t *testing.T) {
	f := startFleet(t, fleetSize{routers: 2, engines: 1, instances: 1})
	behind, ahead := f.routers["router-1"].router, f.routers["router-2"].router
	before := behind.registry.Get("config.peer_announcements.messages").(interface{ Count() int64 }).Count()
	behind.announced(ahead.settings.Name, behind.config.Revision()+1)
	behind.announced("nobody", behind.config.Revision()+1)
	behind.announced(ahead.settings.Name, behind.config.Revision())
	after := behind.registry.Get("config.peer_announcements.messages").(interface{ Count() int64 }).Count()
	if after != before+1 {
		t.Fatal("announcements", before, after)
	}
}
