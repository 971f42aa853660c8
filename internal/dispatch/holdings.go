package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// maxDigestLoads, maxDigestHeld and maxDigestFaults keep a digest within one
// datagram: about 13, 16 and 9 bytes each.
const (
	maxDigestLoads  = 44
	maxDigestHeld   = 18
	maxDigestFaults = 14
	// heldRepeat is how long a part that an instance has read is told: a few
	// rounds, since datagrams may be lost.
	heldRepeat = time.Second
)

// readNews is a part that an instance has read for this router.
type readNews struct {
	at       time.Time
	instance string
	part     uint64
}

// FillDigest sets what other routers are told of this one's calls.
func (b *Balancer) FillDigest(d *peerpb.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d.Loads, d.Held = b.digestLoads()
	d.Faults = b.digestFaults()
}

// faultTenths is the unit of faults in digests.
const faultTenths = 10

func (b *Balancer) digestFaults() []*peerpb.InstanceFaults {
	var out []*peerpb.InstanceFaults
	for id, faults := range b.registry.LocalFaults(b.options.Now()) {
		if len(out) < maxDigestFaults {
			out = append(out, &peerpb.InstanceFaults{
				Instance: loadshare.Hash(id), Tenths: uint32(math.Round(faults * faultTenths)),
			})
		}
	}
	return out
}

func (b *Balancer) digestLoads() ([]*peerpb.InstanceLoad, []*peerpb.HeldPart) {
	var loads []*peerpb.InstanceLoad
	for id, work := range b.loads.Local() {
		if len(loads) < maxDigestLoads {
			loads = append(loads, &peerpb.InstanceLoad{
				Instance: loadshare.Hash(id), InFlight: uint32(work.Calls), Reading: uint32(work.PendingPrefillTokens),
			})
		}
	}
	oldest := b.options.Now().Add(-heldRepeat)
	b.news = slices.DeleteFunc(b.news, func(n readNews) bool { return n.at.Before(oldest) })
	var held []*peerpb.HeldPart
	for i := len(b.news) - 1; i >= 0 && len(held) < maxDigestHeld; i-- {
		held = append(held, &peerpb.HeldPart{Instance: loadshare.Hash(b.news[i].instance), Part: b.news[i].part})
	}
	return loads, held
}

// CachedParts returns all parts that instances are thought to hold.
func (b *Balancer) CachedParts() []*peerpb.HeldPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	var held []*peerpb.HeldPart
	b.holdings.Each(b.options.Now(), func(engine string, part uint64) {
		held = append(held, &peerpb.HeldPart{Instance: loadshare.Hash(engine), Part: part})
	})
	return held
}

// ApplyCachedParts takes another router's word on what instances hold.
func (b *Balancer) ApplyCachedParts(held []*peerpb.HeldPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Now()
	for _, h := range held {
		if id, ok := b.names[h.GetInstance()]; ok {
			b.holdings.Add(now, id, []uint64{h.GetPart()})
		}
	}
}

// RecordCachedParts takes an instance's own list of the parts that it holds.
func (b *Balancer) RecordCachedParts(instance string, parts []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdings.Add(b.options.Now(), instance, parts)
}

// Instances returns the instances of some services that may take work, in ID
// order.
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
