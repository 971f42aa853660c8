package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// maxDigestLoads, maxDigestParts, maxDigestFaults and maxDigestNotices keep a digest
// within one datagram: an entry takes about 13, 16, 9 and 18 bytes respectively.
const (
	maxDigestLoads   = 40
	maxDigestParts   = 16
	maxDigestFaults  = 12
	maxDigestNotices = 6
	// minRecentPartsTTL is the least time for which a newly cached part is repeated in
	// digests: a few rounds, since datagrams may be lost.
	minRecentPartsTTL = time.Second
)

// recentPart is a prompt part that an instance caches because of a call of this
// router.
type recentPart struct {
	at       time.Time
	instance string
	part     uint64
}

// FillDigest sets the loads, recently cached parts and faults in a digest for
// other routers.
func (b *Balancer) FillDigest(d *peerpb.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d.Loads, d.Held = b.digestLoads()
	d.Faults = b.digestFaults()
	d.Notices = b.digestNotices()
}

// faultScale is the number of digest units per fault: digests carry tenths.
const faultScale = 10

func (b *Balancer) digestFaults() []*peerpb.InstanceFaults {
	var out []*peerpb.InstanceFaults
	for id, faults := range b.registry.LocalFaults(b.options.Now()) {
		if len(out) < maxDigestFaults {
			out = append(out, &peerpb.InstanceFaults{
				Instance: loadshare.Hash(id), Tenths: uint32(math.Round(faults * faultScale)),
			})
		}
	}
	return out
}

func (b *Balancer) digestLoads() ([]*peerpb.InstanceLoad, []*peerpb.HeldPart) {
	var loads []*peerpb.InstanceLoad
	for id, load := range b.loads.Local() {
		if len(loads) < maxDigestLoads {
			loads = append(loads, &peerpb.InstanceLoad{
				Instance: loadshare.Hash(id), InFlight: uint32(load.Calls), Reading: uint32(load.PendingPrefillTokens),
			})
		}
	}
	// Each router of a large fleet is sent a digest only once in several rounds.
	oldest := b.options.Now().Add(-max(minRecentPartsTTL, b.coverageTime+peering.RoundInterval))
	b.recentParts = slices.DeleteFunc(b.recentParts, func(p recentPart) bool { return p.at.Before(oldest) })
	var parts []*peerpb.HeldPart
	for i := len(b.recentParts) - 1; i >= 0 && len(parts) < maxDigestParts; i-- {
		parts = append(parts, &peerpb.HeldPart{Instance: loadshare.Hash(b.recentParts[i].instance), Part: b.recentParts[i].part})
	}
	return loads, parts
}

// CachedParts returns all prompt parts that instances are expected to have in
// their caches.
func (b *Balancer) CachedParts() []*peerpb.HeldPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	var parts []*peerpb.HeldPart
	b.prefixIndex.Each(b.options.Now(), func(instance string, part uint64) {
		parts = append(parts, &peerpb.HeldPart{Instance: loadshare.Hash(instance), Part: part})
	})
	return parts
}

// ApplyCachedParts adds cached parts reported by another router. Instances that
// are not listed are ignored.
func (b *Balancer) ApplyCachedParts(parts []*peerpb.HeldPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Now()
	for _, p := range parts {
		if id, ok := b.idByHash[p.GetInstance()]; ok {
			b.prefixIndex.Add(now, id, []uint64{p.GetPart()})
		}
	}
}

// RecordCachedParts adds the parts that an instance itself reports as cached.
func (b *Balancer) RecordCachedParts(instance string, parts []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefixIndex.Add(b.options.Now(), instance, parts)
}

// Instances returns the instances of the given services that can take calls,
// ordered by service as given and by ID within each.
func (b *Balancer) Instances(services []string) []instances.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []instances.Instance
	for _, service := range services {
		for _, c := range b.registry.Candidates(b.options.Now(), service, nil) {
			out = append(out, c.Instance)
		}
	}
	return out
}
