package dispatch

import (
	"math"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/retry"
)

// ApplyStrike takes a strike of another router, and reports whether it was news.
func (b *Balancer) ApplyStrike(s *peerpb.Strike) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Merge(b.options.Now(), s)
}

// ApplyDigest takes what another router tells of its calls.
func (b *Balancer) ApplyDigest(name string, d *peerpb.Digest) {
	work := make(map[uint32]loadshare.Load, len(d.GetLoads()))
	for _, l := range d.GetLoads() {
		work[l.GetInstance()] = loadshare.Load{Calls: int(l.GetInFlight()), PendingPrefillTokens: int(l.GetReading())}
	}
	b.mu.Lock()
	b.loads.UpdatePeer(b.options.Now(), name, work)
	b.hearFaults(name, d.GetFaults())
	b.mu.Unlock()
	b.ApplyCachedParts(d.GetHeld())
}

// hearFaults takes what another router has seen fail of instances that are
// listed. The caller holds the lock.
func (b *Balancer) hearFaults(name string, told []*peerpb.InstanceFaults) {
	faults := make(instances.Faults, len(told))
	for _, t := range told {
		if id, ok := b.names[t.GetInstance()]; ok {
			faults[id] += float64(t.GetTenths()) / faultTenths
		}
	}
	b.registry.UpdatePeerFaults(b.options.Now(), name, faults)
}

// ForgetPeer drops the loads of a router that has gone.
func (b *Balancer) ForgetPeer(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads.ForgetPeer(name)
}

// SetRetryBudget changes the budget of repeats; what was counted is forgotten.
func (b *Balancer) SetRetryBudget(s retry.WindowSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == b.options.RetryBudget {
		return
	}
	b.options.RetryBudget = s
	clear(b.windows)
}

// SetRouterCount sets the number of routers that share the budget of repeats.
func (b *Balancer) SetRouterCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = max(n, 1)
}

// SetInstances takes the platform's whole listing.
func (b *Balancer) SetInstances(listed []instances.Instance) {
	b.mu.Lock()
	changes := b.registry.Replace(b.options.Now(), listed)
	for _, i := range listed {
		b.names[loadshare.Hash(i.ID)] = i.ID
	}
	b.forgetLost(changes)
	b.mu.Unlock()
	b.logChanges(changes)
}

// ListingUnavailable tells that the platform's listing was not confirmed since a
// moment.
func (b *Balancer) ListingUnavailable(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.ListingUnavailable(since)
}

// ListingRestored tells that the platform's listing can be read again.
func (b *Balancer) ListingRestored() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.ListingRestored(b.options.Now())
}

// Tick ends time spans; call it a few times a second.
func (b *Balancer) Tick() {
	b.mu.Lock()
	now := b.options.Now()
	b.loads.Tick(now)
	changes := b.registry.Tick(now)
	b.forgetLost(changes)
	b.mu.Unlock()
	b.logChanges(changes)
}

// forgetLost drops what is known of instances that have gone or begun anew.
func (b *Balancer) forgetLost(changes []instances.Change) {
	for _, change := range changes {
		if change.State == instances.Gone || change.Reason == instances.ReasonStarted {
			b.holdings.RemoveEngine(change.Instance.ID)
			b.loads.Forget(change.Instance.ID)
		}
		if change.State == instances.Gone {
			delete(b.names, loadshare.Hash(change.Instance.ID))
		}
	}
}

// HasInstances reports whether any instance may take work.
func (b *Balancer) HasInstances() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.AnyUsable(b.options.Now())
}

func (b *Balancer) logChanges(changes []instances.Change) {
	for _, change := range changes {
		b.options.Log.Decision("instance changed", decisionlog.Fields{
			"instance": change.Instance.ID, "service": change.Instance.Service,
			"address": change.Instance.Address, "state": change.State.String(), "reason": change.Reason,
			"faults": math.Round(change.Faults*faultTenths) / faultTenths,
		})
	}
}

// hasOther reports whether a service has a healthy instance besides some.
func (b *Balancer) hasOther(service string, excluded []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.registry.Candidates(b.options.Now(), service, excluded)
	return len(candidates) > 0 && candidates[0].State < instances.Suspect
}
