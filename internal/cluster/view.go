package cluster

import (
	"slices"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// RouterView describes a router in use.
type RouterView struct {
	Name          string
	Address       string
	PeerAddress   string
	Region        string
	FailureDomain string
	// Leaving is set for a router that finishes its requests but owns nothing new.
	Leaving bool
}

// UpstreamState determines whether an upstream may be used.
type UpstreamState int

// States of an upstream. An upstream that isn't in a View is Gone too.
const (
	Gone UpstreamState = iota
	Live
	// Suspect upstreams have failed recently and get no requests for a while.
	Suspect
	// Leaving upstreams accept no new requests.
	Leaving
)

// UpstreamView describes an engine or service instance in the host list.
type UpstreamView struct {
	Name          string
	Kind          hostlist.Kind
	Address       string
	Region        string
	FailureDomain string
	State         UpstreamState
	// RecentlySuspect is set for a while after the upstream was suspect. It should
	// answer a probe before it gets requests.
	RecentlySuspect bool
}

// PeerRevision is a configuration revision and the daemon that announced it.
type PeerRevision struct {
	Revision    uint64
	PeerAddress string
}

// View is a snapshot of what a daemon knows about the fleet. It is immutable.
type View struct {
	Self string
	// TopologyVersion increases when routers or upstreams change, but not when
	// only PoolMeans changes.
	TopologyVersion uint64
	// HostListLoaded is set after the first successful poll of the host list.
	HostListLoaded bool
	// Routers is sorted by name and includes this daemon if it is a router.
	Routers []RouterView
	// Owners holds the names of the routers that may own upstreams and claim slots.
	Owners    []string
	Upstreams map[string]UpstreamView
	// PoolMeans maps fleet.Pool.Hash to the mean number of requests in flight per
	// router.
	PoolMeans map[uint32]float64
	// NewestRevision is the highest configuration revision that any daemon has
	// announced.
	NewestRevision PeerRevision
	// regionOwners holds the names in Owners by region.
	regionOwners map[string][]string
}

// Owner returns the router that owns an upstream. It prefers routers in the
// upstream's region, so that a region that is cut off still serves its own
// engines. It skips the routers in except and returns false if none is left. A
// name that isn't an upstream has no region.
func (v *View) Owner(upstream string, except []string) (string, bool) {
	if owner, ok := placement.Owner(upstream, without(v.nearOwners(upstream), except)); ok {
		return owner, true
	}
	return placement.Owner(upstream, without(v.Owners, except))
}

// OwnersInOrder returns the owner of an upstream and the routers that would take
// over if those before them failed, n routers at most.
func (v *View) OwnersInOrder(upstream string, n int) []string {
	return v.RoutersFor(upstream, upstream, n)
}

// RoutersFor returns the first n routers for a key, such as the affinity key of a
// chat. Routers in the region of the upstream come first.
func (v *View) RoutersFor(key, upstream string, n int) []string {
	near := v.nearOwners(upstream)
	order := placement.OwnersInOrder(key, near, n)
	if len(order) == n || len(near) == len(v.Owners) {
		return order
	}
	return append(order, placement.OwnersInOrder(key, without(v.Owners, near), n-len(order))...)
}

// nearOwners returns the owners in an upstream's region, or all owners if the
// region has none.
func (v *View) nearOwners(upstream string) []string {
	near := v.regionOwners[v.Upstreams[upstream].Region]
	if len(near) == 0 {
		return v.Owners
	}
	return near
}

func without(names, except []string) []string {
	if len(except) == 0 {
		return names
	}
	out := make([]string, 0, len(names))
	for _, name := range names {
		if !slices.Contains(except, name) {
			out = append(out, name)
		}
	}
	return out
}

// ownersByRegion groups the names of owners by region.
func ownersByRegion(routers []RouterView, owners []string) map[string][]string {
	out := make(map[string][]string)
	for _, r := range routers {
		if slices.Contains(owners, r.Name) {
			out[r.Region] = append(out[r.Region], r.Name)
		}
	}
	return out
}

// PoolLoad returns the number of requests in flight in a pool, summed over all
// routers.
func (v *View) PoolLoad(pool uint32) float64 {
	return v.PoolMeans[pool] * float64(len(v.Routers))
}

// Router returns the router with a name, or false if it isn't in use.
func (v *View) Router(name string) (RouterView, bool) {
	for _, r := range v.Routers {
		if r.Name == name {
			return r, true
		}
	}
	return RouterView{}, false
}

func routerViews(routers []membership.RouterStatus) []RouterView {
	out := make([]RouterView, 0, len(routers))
	for _, r := range routers {
		out = append(out, RouterView{
			Name: r.Host.Name, Address: r.Host.Address, PeerAddress: r.Host.PeerAddress,
			Region: r.Host.Region, FailureDomain: r.Host.FailureDomain,
			Leaving: r.Condition == membership.Leaving,
		})
	}
	return out
}

// ownerNames returns the names of the routers that aren't leaving, or of all
// routers if all are leaving.
func ownerNames(routers []RouterView) []string {
	var staying, all []string
	for _, r := range routers {
		all = append(all, r.Name)
		if !r.Leaving {
			staying = append(staying, r.Name)
		}
	}
	if len(staying) == 0 {
		return all
	}
	return staying
}

func upstreamViews(upstreams []membership.UpstreamStatus) map[string]UpstreamView {
	out := make(map[string]UpstreamView, len(upstreams))
	for _, u := range upstreams {
		out[u.Host.Name] = UpstreamView{
			Name: u.Host.Name, Kind: u.Host.Kind, Address: u.Host.Address,
			Region: u.Host.Region, FailureDomain: u.Host.FailureDomain,
			State: upstreamState(u.Condition), RecentlySuspect: u.RecentlySuspect,
		}
	}
	return out
}

func upstreamState(c membership.Condition) UpstreamState {
	switch c {
	case membership.Alive:
		return Live
	case membership.Leaving:
		return Leaving
	default:
		return Suspect
	}
}
