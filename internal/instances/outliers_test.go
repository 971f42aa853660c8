package instances

import (
	"testing"
	"time"
)

// fleetOf returns registries of routers that know the same instances.
func fleetOf(routers int, ids ...string) []*Registry {
	var out []*Registry
	for range routers {
		r := New()
		r.Replace(start, listed(ids...))
		out = append(out, r)
	}
	return out
}

// tell lets each router hear all others, and judge.
func tell(now time.Time, routers []*Registry) {
	for i, from := range routers {
		for j, to := range routers {
			if i != j {
				to.UpdatePeerFaults(now, string(rune('a'+i)), from.LocalFaults(now))
			}
		}
	}
	for _, r := range routers {
		r.Tick(now)
	}
}

// Each of many routers sees one failure, too little to judge by; together they
// find the instance, and trust it again some seconds later.
func TestRoutersFindAFailingInstanceTogether(t *testing.T) {
	routers := fleetOf(6, "a", "b", "c", "d")
	for _, r := range routers[:4] {
		r.Report(start, "a", Failed, 0)
		r.Report(start, "b", Succeeded, 0)
	}
	if stateOf(routers[0], start, "a") != Healthy {
		t.Error("one failure makes an instance degraded")
	}
	tell(start, routers)
	for i, r := range routers {
		if stateOf(r, start, "a") != Degraded || stateOf(r, start, "b") != Healthy {
			t.Errorf("router %d: a is %v, b is %v", i, stateOf(r, start, "a"), stateOf(r, start, "b"))
		}
	}
	tell(at(2*time.Second), routers)
	if stateOf(routers[5], at(2*time.Second), "a") != Degraded {
		t.Error("trusted at once")
	}
	tell(at(6*time.Second), routers)
	if stateOf(routers[5], at(6*time.Second), "a") != Healthy {
		t.Error("never trusted again")
	}
}

// A service that fails by itself makes no instance an outlier, nor do instances
// that are only too busy.
func TestWhatAllDoIsNoOutlier(t *testing.T) {
	for name, result := range map[string]Result{"failures of the service": Failed, "too busy": Shed, "out of time": Late} {
		routers := fleetOf(4, "a", "b", "c")
		for _, r := range routers {
			for _, id := range []string{"a", "b", "c"} {
				r.Report(start, id, result, 0)
			}
			if result != Failed {
				r.Report(start, "a", result, 0)
			}
		}
		tell(start, routers)
		for _, id := range []string{"a", "b", "c"} {
			if got := stateOf(routers[0], start, id); got != Healthy {
				t.Errorf("%s: %s is %v", name, id, got)
			}
		}
	}
}

// The word of a router that has gone is forgotten.
func TestOldFaultsAreForgotten(t *testing.T) {
	r := fleetOf(1, "a", "b")[0]
	r.UpdatePeerFaults(start, "x", Faults{"a": 100})
	r.Tick(start)
	if stateOf(r, start, "a") != Degraded {
		t.Error("the word of another router says nothing")
	}
	r.Tick(at(faultLifetime))
	if stateOf(r, at(faultLifetime), "a") != Healthy || len(r.told) != 0 {
		t.Error("an old word counts")
	}
	r.UpdatePeerFaults(start, "x", Faults{"a": 100})
	r.UpdatePeerFaults(start, "x", nil)
	if len(r.told) != 0 {
		t.Error("a word that was taken back counts")
	}
}
