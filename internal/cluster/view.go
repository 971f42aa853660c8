package cluster

import (
	"slices"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// RouterView is a router in use.
type RouterView struct {
	Name          string
	Address       string
	PeerAddress   string
	Region        string
	FailureDomain string
	// Leaving routers finish their work but own nothing new.
	Leaving bool
}

// UpstreamState tells whether an upstream may be used.
type UpstreamState int

// States of an upstream. An upstream that is absent from a View is gone too.
const (
	Gone UpstreamState = iota
	Live
	// Suspect upstreams failed lately and are passed over for a while.
	Suspect
	// Leaving upstreams take no new work.
	Leaving
)

// UpstreamView is a listed engine or service instance.
type UpstreamView struct {
	Name          string
	Kind          hostlist.Kind
	Address       string
	Region        string
	FailureDomain string
	State         UpstreamState
	// RecentlySuspect upstreams are back from a suspicion: ask them before use.
	RecentlySuspect bool
}

// PeerRevision is the highest configuration revision heard from a daemon.
type PeerRevision struct {
	Revision    uint64
	PeerAddress string
}

// View is what a daemon knows about the fleet at one moment. It is immutable.
type View struct {
	Self string
	// TopologyVersion increases when routers or upstreams change; new means alone
	// leave it as it is.
	TopologyVersion uint64
	// HostListLoaded is set once the host list was read.
	HostListLoaded bool
	// Routers are in name order and include this daemon if it is a router.
	Routers []RouterView
	// Owners are the names of the routers that may own engines and slots.
	Owners    []string
	Upstreams map[string]UpstreamView
	// PoolMeans maps fleet.Pool.Hash to the requests in flight per router.
	PoolMeans map[uint32]float64
	// NewestRevision is the highest revision that any daemon announced.
	NewestRevision PeerRevision
	// regionOwners are the Owners by region.
	regionOwners map[string][]string
}

// Owner returns the router that owns an upstream: one in the upstream's region
// where there is one, so that a region that is cut off still serves its own
// engines. Routers in except are passed over; false when none is left. A name
// that is no upstream belongs to any region.
func (v *View) Owner(upstream string, except []string) (string, bool) {
	if owner, ok := placement.Owner(upstream, without(v.nearOwners(upstream), except)); ok {
		return owner, true
	}
	return placement.Owner(upstream, without(v.Owners, except))
}

// OwnersInOrder returns the first n routers in the order in which they would
// own an upstream if those before them failed.
func (v *View) OwnersInOrder(upstream string, n int) []string {
	return v.RoutersFor(upstream, upstream, n)
}

// RoutersFor returns the first n routers for a key, such as a chat's, those in
// the region of an upstream first.
func (v *View) RoutersFor(key, upstream string, n int) []string {
	near := v.nearOwners(upstream)
	order := placement.OwnersInOrder(key, near, n)
	if len(order) == n || len(near) == len(v.Owners) {
		return order
	}
	return append(order, placement.OwnersInOrder(key, without(v.Owners, near), n-len(order))...)
}

// nearOwners returns the owners in an upstream's region, or all.
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

// ownersByRegion groups the owners by the region of their router.
func ownersByRegion(routers []RouterView, owners []string) map[string][]string {
	out := make(map[string][]string)
	for _, r := range routers {
		if slices.Contains(owners, r.Name) {
			out[r.Region] = append(out[r.Region], r.Name)
		}
	}
	return out
}

// PoolLoad returns the requests in flight in a pool over all routers.
func (v *View) PoolLoad(pool uint32) float64 {
	return v.PoolMeans[pool] * float64(len(v.Routers))
}

// Router returns the router of a name; false when it isn't in use.
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

// ownerNames returns the routers that aren't leaving; all, when all are.
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
