package edge

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// manyRouters returns the addresses of a fleet of n routers without this one.
func manyRouters(n int) []string {
	var out []string
	for i := range n - 1 {
		out = append(out, fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250+1))
	}
	return out
}

func TestStoreReadersAtStart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, tc := range []struct {
		name   string
		found  routersDiscovered
		passed time.Duration
		reads  bool
	}{
		{"small fleet", routersDiscovered{addresses: manyRouters(4)}, 0, true},
		{"large fleet", routersDiscovered{addresses: manyRouters(300)}, 0, false},
		{"large fleet, no copy arrives", routersDiscovered{addresses: manyRouters(300)}, readerTimeout + readerJitter, true},
		{"the store doesn't answer", routersDiscovered{err: errors.New("down")}, 0, true},
	} {
		c := newTestControl(t)
		c.start = newStartState(now, &c.edge.options.Settings)
		if c.mayReadStore(now) {
			t.Errorf("%s: reads the store before the routers are discovered", tc.name)
		}
		// Prevents the start of a follower.
		c.follow.stop = func() {}
		tc.found.apply(c, now)
		if got := c.mayReadStore(now.Add(tc.passed)); got != tc.reads {
			t.Errorf("%s: reads the store: %v", tc.name, got)
		}
	}
}

// When a whole fleet starts for the first time, only the seeds read the store at once;
// the others get their copies from them, and read it if none comes.
func TestFirstStartOfAFleetReadsTheStoreAtTheSeeds(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, tc := range []struct {
		name     string
		settings Settings
		at, last bool
	}{
		{"seed", Settings{FirstStart: true, IsSeed: true, Seeds: []string{"10.0.0.1:7000"}}, true, true},
		{"no seed", Settings{FirstStart: true, Seeds: []string{"10.0.0.1:7000"}}, false, true},
		{"no seeds known", Settings{FirstStart: true}, true, true},
		{"restart", Settings{Seeds: []string{"10.0.0.1:7000"}}, true, true},
	} {
		c := newTestControl(t)
		tc.settings.PeerAddress = c.edge.options.Settings.PeerAddress
		c.edge.options.Settings = tc.settings
		c.start = newStartState(now, &c.edge.options.Settings)
		c.follow.stop = func() {}
		if !c.start.discoveryDone {
			routersDiscovered{}.apply(c, now)
		}
		if got := c.mayReadStore(now); got != tc.at {
			t.Errorf("%s: reads the store at once: %v", tc.name, got)
		}
		if got := c.mayReadStore(now.Add(readerTimeout + readerJitter)); got != tc.last {
			t.Errorf("%s: reads the store in the end: %v", tc.name, got)
		}
	}
}

// All routers of a fleet must choose the same first readers, and only these read the
// store immediately.
func TestRoutersChooseSameFirstReaders(t *testing.T) {
	const n = 100
	all := append(manyRouters(n), "127.0.0.1:0")
	now := time.Unix(1_800_000_000, 0)
	c := newTestControl(t)
	c.follow.stop = func() {}
	reading := 0
	for _, self := range all {
		c.start = newStartState(now, &c.edge.options.Settings)
		c.edge.options.Settings.PeerAddress = self
		routersDiscovered{addresses: append([]string(nil), all...)}.apply(c, now)
		if c.mayReadStore(now) {
			reading++
		}
	}
	if reading != firstReaderCount {
		t.Errorf("%d of %d routers read the store", reading, n)
	}
}

// Routers that start together must query each instance exactly once, although they
// have not received digests from each other yet.
func TestStartingRoutersDivideInstances(t *testing.T) {
	const n, engines = 30, 140
	all := append(manyRouters(n), "127.0.0.1:0")
	var listed []instances.Instance
	for i := range engines {
		listed = append(listed, instances.Instance{ID: fmt.Sprintf("i-%03d", i)})
	}
	c := newTestControl(t)
	queries := 0
	for _, self := range all {
		c.edge.options.Settings.PeerAddress = self
		c.discovered = slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == self })
		share := c.assignedInstances(slices.Clone(listed))
		if len(share) > engines/4 {
			t.Errorf("%s queries %d of %d instances", self, len(share), engines)
		}
		queries += len(share)
	}
	if queries != engines {
		t.Errorf("%d queries for %d instances", queries, engines)
	}
}

func TestRouterWithCopyMayReadStore(t *testing.T) {
	c := newTestControl(t)
	c.start = startState{discoveryDone: true, fleetSize: 300}
	c.mirror = mirror.New(revisionProvider{})
	c.mirror.Replace([]kv.Entry{{Key: "k", ModRevision: 1}}, 1)
	if !c.mayReadStore(time.Now()) {
		t.Error("a router that has a copy may not read the store")
	}
}

// A router of a large fleet that got its copy from another one doesn't follow the store
// before it can have heard which routers do.
func TestRoutersWithCopiesOfOthersDontFollowAtOnce(t *testing.T) {
	now := time.Now()
	c := controlAt(t, 10)
	c.start = startState{startedAt: now, discoveryDone: true, fleetSize: 300}
	if c.mayFollow(now) {
		t.Error("follows the store right after its start")
	}
	if !c.mayFollow(now.Add(readerTimeout + readerJitter)) {
		t.Error("never follows the store")
	}
}

// The follower with precedence takes changes at once; the other one stands by and
// takes over when the first is no longer heard.
func TestSecondFollowerStandsBy(t *testing.T) {
	now := time.Now()
	c := controlAt(t, 10)
	c.follow.stop, c.follow.connected = func() {}, true
	first := peering.Router{Name: "a", FollowsStore: true, StateRevision: 10, ChangedRevision: 10}
	for placement.Key(first.Name) >= placement.Key(c.edge.options.Settings.Name) {
		first.Name += "a"
	}
	c.members.RecordDigest(now, first)
	c.decideFollow(now)
	if pace := c.edge.followerPace(); pace != standbyPace {
		t.Errorf("pace %v beside a follower with precedence", pace)
	}
	if got := c.catchUpDelay(); got <= standbyPace {
		t.Errorf("catches up after %v, before its watch has delivered changes", got)
	}
	later := now.Add(2 * time.Second)
	c.members.Tick(later)
	c.decideFollow(later)
	if pace := c.edge.followerPace(); pace != 0 {
		t.Errorf("pace %v after the other follower fell silent", pace)
	}
}

// instanceProvider lists one instance for each record.
type instanceProvider struct{ revisionProvider }

func (instanceProvider) Translate(entries []kv.Entry, _ time.Time) Snapshot {
	var s Snapshot
	for _, e := range entries {
		s.Instances = append(s.Instances, instances.Instance{ID: e.Key, Service: "s", Address: "10.0.0.1:80"})
	}
	return s
}

// A router that starts gets the records and the cached parts in one response. It must
// know the instances before it applies their parts, or it would take itself for
// complete without knowing any part.
func TestFirstResponseBringsCachedPartsOfItsInstances(t *testing.T) {
	c := newTestControl(t)
	c.edge.options.Provider = instanceProvider{}
	response := deltaToProto(mirror.Delta{Full: true, Revision: 5, Entries: []kv.Entry{{Key: "i-1", ModRevision: 5}}})
	response.Held = []*peerpb.HeldPart{{Instance: loadshare.Hash("i-1"), Part: 7}}
	response.HeldComplete = true
	stateFetched{from: "other", response: response}.apply(c, time.Now())
	if parts := c.edge.balancer.CachedParts(); len(parts) != 1 || parts[0].GetPart() != 7 {
		t.Errorf("cached parts %v after the first response", parts)
	}
}

// Two settings name the same address. That is an error that names it, not a router that
// lacks one of its listeners.
func TestEqualAddressesAreAnError(t *testing.T) {
	c := newTestControl(t)
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	_ = free.Close()
	c.edge.options.Settings.CallerAddress, c.edge.options.Settings.ReadyAddress = address, address
	if _, err := c.edge.listen(); err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("listening twice on %s: %v", address, err)
	}
}
