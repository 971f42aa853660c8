package instances

import (
	"testing"
	"time"
)

// newRegistries returns the registries of several routers, all with the same
// instances.
func newRegistries(routers int, ids ...string) []*Registry {
	var out []*Registry
	for range routers {
		r := New()
		r.Replace(start, listed(ids...))
		out = append(out, r)
	}
	return out
}

// exchangeFaults passes the faults of each router to all others and runs Tick.
func exchangeFaults(now time.Time, routers []*Registry) {
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

// Four of six routers see one failure each, too few for any of them to detect the
// failing instance. The exchanged counts make it an outlier for some seconds.
func TestRoutersDetectFailingInstanceTogether(t *testing.T) {
	routers := newRegistries(6, "a", "b", "c", "d")
	for _, r := range routers[:4] {
		r.Report(start, "a", Failed, 0)
		r.Report(start, "b", Succeeded, 0)
	}
	if stateOf(routers[0], start, "a") != Healthy {
		t.Error("one failure makes the instance degraded")
	}
	exchangeFaults(start, routers)
	for i, r := range routers {
		if stateOf(r, start, "a") != Degraded || stateOf(r, start, "b") != Healthy {
			t.Errorf("router %d: a is %v, b is %v", i, stateOf(r, start, "a"), stateOf(r, start, "b"))
		}
	}
	exchangeFaults(at(2*time.Second), routers)
	if stateOf(routers[5], at(2*time.Second), "a") != Degraded {
		t.Error("not an outlier 2 s after its faults")
	}
	exchangeFaults(at(6*time.Second), routers)
	if stateOf(routers[5], at(6*time.Second), "a") != Healthy {
		t.Error("still an outlier 6 s after its faults")
	}
}

// Failures that all instances of a service share make none of them an outlier, and
// neither do overload and short deadlines.
func TestFailuresOfAllInstancesMakeNoOutlier(t *testing.T) {
	for name, result := range map[string]Result{"failures of the service": Failed, "overload": Shed, "deadline passed": Late} {
		routers := newRegistries(4, "a", "b", "c")
		for _, r := range routers {
			for _, id := range []string{"a", "b", "c"} {
				r.Report(start, id, result, 0)
			}
			if result != Failed {
				r.Report(start, "a", result, 0)
			}
		}
		exchangeFaults(start, routers)
		for _, id := range []string{"a", "b", "c"} {
			if got := stateOf(routers[0], start, id); got != Healthy {
				t.Errorf("%s: %s is %v", name, id, got)
			}
		}
	}
}

// Reports of a router that has stopped must not be used for ever.
func TestPeerFaultsExpire(t *testing.T) {
	r := newRegistries(1, "a", "b")[0]
	r.UpdatePeerFaults(start, "x", Faults{"a": 100})
	r.Tick(start)
	if stateOf(r, start, "a") != Degraded {
		t.Error("the report of another router is ignored")
	}
	r.Tick(at(peerFaultLifetime))
	if stateOf(r, at(peerFaultLifetime), "a") != Healthy || len(r.peerFaults) != 0 {
		t.Error("an expired report is used")
	}
	r.UpdatePeerFaults(start, "x", Faults{"a": 100})
	r.UpdatePeerFaults(start, "x", nil)
	if len(r.peerFaults) != 0 {
		t.Error("a withdrawn report is used")
	}
}
