package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
)

// manyRouters returns the addresses of a fleet without this router.
func manyRouters(n int) []string {
	var out []string
	for i := range n - 1 {
		out = append(out, fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250+1))
	}
	return out
}

func TestWhoReadsTheStoreAtAStart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, tc := range []struct {
		name   string
		found  routersFound
		passed time.Duration
		reads  bool
	}{
		{"small fleet", routersFound{addresses: manyRouters(4)}, 0, true},
		{"large fleet", routersFound{addresses: manyRouters(300)}, 0, false},
		{"large fleet, nobody brings a copy", routersFound{addresses: manyRouters(300)}, readerPatience + readerJitter, true},
		{"the store doesn't answer", routersFound{err: errors.New("down")}, 0, true},
	} {
		c := newTestControl(t)
		c.start = newStartState(now)
		if c.mayRead(now) {
			t.Errorf("%s: reads before it knows the fleet", tc.name)
		}
		// The real follower is not needed here.
		c.follow.stop = func() {}
		tc.found.apply(c, now)
		if got := c.mayRead(now.Add(tc.passed)); got != tc.reads {
			t.Errorf("%s: reads %v", tc.name, got)
		}
	}
}

// All routers of a fleet choose the same first readers, and only these read.
func TestFirstReadersAreAgreedOn(t *testing.T) {
	const n = 100
	all := append(manyRouters(n), "127.0.0.1:0")
	now := time.Unix(1_800_000_000, 0)
	c := newTestControl(t)
	c.follow.stop = func() {}
	reading := 0
	for _, self := range all {
		c.start = newStartState(now)
		c.edge.options.Settings.PeerAddress = self
		routersFound{addresses: append([]string(nil), all...)}.apply(c, now)
		if c.mayRead(now) {
			reading++
		}
	}
	if reading != firstReaders {
		t.Errorf("%d of %d routers read the store", reading, n)
	}
}

// Routers that start together ask each instance once what it holds, although they
// have not heard each other yet.
func TestStartingRoutersShareTheInstances(t *testing.T) {
	const n, engines = 30, 140
	all := append(manyRouters(n), "127.0.0.1:0")
	var listed []instances.Instance
	for i := range engines {
		listed = append(listed, instances.Instance{ID: fmt.Sprintf("i-%03d", i)})
	}
	c := newTestControl(t)
	asked := 0
	for _, self := range all {
		c.edge.options.Settings.PeerAddress = self
		c.found = slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == self })
		share := c.ownShare(slices.Clone(listed))
		if len(share) > engines/4 {
			t.Errorf("%s asks %d of %d instances", self, len(share), engines)
		}
		asked += len(share)
	}
	if asked != engines {
		t.Errorf("%d questions for %d instances", asked, engines)
	}
}

func TestARouterWithACopyMayReadTheStore(t *testing.T) {
	c := newTestControl(t)
	c.start = startState{found: true, routers: 300}
	c.mirror = mirror.New(revisionProvider{}.Same)
	c.mirror.Replace([]kv.Entry{{Key: "k", ModRevision: 1}}, 1)
	if !c.mayRead(time.Now()) {
		t.Error("a router that has a copy may not follow the store")
	}
}
