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

// ApplyDigest updates loads, faults and cached parts from another router's
// digest.
func (b *Balancer) ApplyDigest(name string, d *peerpb.Digest) {
	loads := make(map[uint32]loadshare.Load, len(d.GetLoads()))
	for _, l := range d.GetLoads() {
		loads[l.GetInstance()] = loadshare.Load{Calls: int(l.GetInFlight()), PendingPrefillTokens: int(l.GetReading())}
	}
	b.mu.Lock()
	b.loads.UpdatePeer(b.options.Now(), name, loads)
	b.applyFaults(name, d.GetFaults())
	changes := b.applyNotices(d.GetNotices())
	b.mu.Unlock()
	b.logNotices(changes, name)
	b.ApplyCachedParts(d.GetHeld())
}

// applyFaults replaces the faults that another router reports. Instances that are
// not listed are ignored. The caller holds the lock.
func (b *Balancer) applyFaults(name string, reported []*peerpb.InstanceFaults) {
	faults := make(instances.Faults, len(reported))
	for _, f := range reported {
		if id, ok := b.idByHash[f.GetInstance()]; ok {
			faults[id] += float64(f.GetTenths()) / faultScale
		}
	}
	b.registry.UpdatePeerFaults(b.options.Now(), name, faults)
}

// ForgetPeer drops the loads reported by a router that is no longer a member.
func (b *Balancer) ForgetPeer(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads.ForgetPeer(name)
}

// SetRetryBudget changes the retry budget. A change discards the counts of
// requests and retries so far.
func (b *Balancer) SetRetryBudget(s retry.WindowSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == b.options.RetryBudget {
		return
	}
	b.options.RetryBudget = s
	clear(b.windows)
}

// SetFleet sets the number of routers that share the retry budget, this router's rank
// among them from zero, and how long it takes until each of them has been sent a digest.
func (b *Balancer) SetFleet(rank, routers int, coverageTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers, b.coverageTime = max(routers, 1), coverageTime
	b.containment.SetFleet(rank, routers)
}

// SetInstances replaces the instances with the platform's complete listing.
func (b *Balancer) SetInstances(listed []instances.Instance) {
	b.mu.Lock()
	changes := b.registry.Replace(b.options.Now(), listed)
	for _, i := range listed {
		b.idByHash[loadshare.Hash(i.ID)] = i.ID
	}
	b.removeStale(changes)
	b.mu.Unlock()
	b.logChanges(changes)
	b.settleBroken("")
}

// ListingRestarted records that the platform's listing has returned from an older
// copy.
func (b *Balancer) ListingRestarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.ListingRestarted(b.options.Now())
}

// ListingUnavailable records that the platform's listing has not been confirmed for
// the given time.
func (b *Balancer) ListingUnavailable(age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.ListingUnavailable(b.options.Now().Add(-age))
}

// ListingRestored records that the platform's listing can be read again.
func (b *Balancer) ListingRestored() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registry.ListingRestored(b.options.Now())
}

// Tick expires peer loads and advances the time-based states of instances. Call it
// a few times per second.
func (b *Balancer) Tick() {
	b.mu.Lock()
	now := b.options.Now()
	b.loads.Tick(now)
	changes := b.registry.Tick(now)
	b.removeStale(changes)
	b.mu.Unlock()
	b.logChanges(changes)
}

// removeStale drops the state of instances that have gone or restarted. The
// caller holds the lock.
func (b *Balancer) removeStale(changes []instances.Change) {
	for _, change := range changes {
		if change.State == instances.Gone || change.Reason == instances.ReasonStarted {
			b.prefixIndex.RemoveEngine(change.Instance.ID)
			b.loads.Forget(change.Instance.ID)
		}
		if change.State == instances.Gone {
			delete(b.idByHash, loadshare.Hash(change.Instance.ID))
			delete(b.invalidLimits, change.Instance.ID)
			delete(b.exhausted, change.Instance.ID)
			delete(b.concurrency, change.Instance.ID)
		}
	}
}

// HasInstances reports whether any instance can take calls.
func (b *Balancer) HasInstances() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.AnyUsable(b.options.Now())
}

func (b *Balancer) logChanges(changes []instances.Change) {
	for _, change := range changes {
		b.options.Log.Decision("instance changed", decisionlog.Fields{
			"instance": change.Instance.ID, "service": change.Instance.Service, "version": change.Instance.Version,
			"address": change.Instance.Address, "state": change.State.String(), "reason": change.Reason,
			"faults": math.Round(change.Faults*faultScale) / faultScale,
		})
	}
}

// hasHealthyAlternative reports whether a service has an instance in a better
// state than Suspect besides the excluded ones, of one version only unless it is empty.
func (b *Balancer) hasHealthyAlternative(service, version string, excluded []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.registry.CandidatesAt(b.options.Now(), service, version, excluded)
	return len(candidates) > 0 && candidates[0].State < instances.Suspect
}
