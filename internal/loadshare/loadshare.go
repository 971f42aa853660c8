// Package loadshare estimates the load of each instance from this router's own
// calls, the loads reported by other routers, and the loads that instances report
// themselves. It does no I/O and reads no clock.
package loadshare

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerLifetime is how long the report of another router stays valid. It spans
	// several reports, since some may be lost.
	peerLifetime = 2 * time.Second
	// reportLifetime is how long a load reported by an instance is used.
	reportLifetime = 500 * time.Millisecond
)

// Hash returns the short identifier of an instance in messages between routers.
func Hash(instance string) uint32 { return uint32(xxhash.Sum64String(instance)) }

// Load is the load of an instance, or the part of it caused by one router.
type Load struct {
	// Calls is the number of calls in flight.
	Calls int
	// PendingPrefillTokens is the number of their prompt tokens that are still to be
	// prefilled.
	PendingPrefillTokens int
}

// peer is the last report of another router, by Hash of the instance.
type peer struct {
	at    time.Time
	loads map[uint32]Load
}

// report is the number of calls reported by an instance, with this router's own
// count at the time.
type report struct {
	at    time.Time
	total int
	local int
}

// Table holds the loads that one router knows. It isn't safe for concurrent use.
type Table struct {
	local map[string]Load
	peers map[string]peer
	// totals are the sums over all peers by instance hash, so that the cost of
	// Table.Load doesn't grow with the number of peers.
	totals  map[uint32]Load
	reports map[string]report
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		local: make(map[string]Load), peers: make(map[string]peer), totals: make(map[uint32]Load),
		reports: make(map[string]report),
	}
}

// Begin records a call that this router sends to an instance, and the number of
// prompt tokens to prefill for it.
func (t *Table) Begin(instance string, prefillTokens int) {
	l := t.local[instance]
	t.local[instance] = Load{Calls: l.Calls + 1, PendingPrefillTokens: l.PendingPrefillTokens + prefillTokens}
}

// Prefilled records that an instance has prefilled some of the tokens.
func (t *Table) Prefilled(instance string, tokens int) {
	if l, ok := t.local[instance]; ok {
		l.PendingPrefillTokens = max(l.PendingPrefillTokens-tokens, 0)
		t.local[instance] = l
	}
}

// End records the end of a call.
func (t *Table) End(instance string) {
	l := t.local[instance]
	if l.Calls <= 1 {
		delete(t.local, instance)
		return
	}
	l.Calls--
	t.local[instance] = l
}

// Local returns a copy of this router's own loads, without idle instances.
func (t *Table) Local() map[string]Load { return maps.Clone(t.local) }

// UpdatePeer replaces the loads reported by another router, by Hash of the instance.
func (t *Table) UpdatePeer(now time.Time, name string, loads map[uint32]Load) {
	t.ForgetPeer(name)
	t.peers[name] = peer{at: now, loads: loads}
	for hash, l := range loads {
		t.add(hash, l.Calls, l.PendingPrefillTokens)
	}
}

// ForgetPeer drops the loads of a router that has left.
func (t *Table) ForgetPeer(name string) {
	for hash, l := range t.peers[name].loads {
		t.add(hash, -l.Calls, -l.PendingPrefillTokens)
	}
	delete(t.peers, name)
}

func (t *Table) add(hash uint32, calls, prefillTokens int) {
	total := t.totals[hash]
	total = Load{Calls: total.Calls + calls, PendingPrefillTokens: total.PendingPrefillTokens + prefillTokens}
	if total == (Load{}) {
		delete(t.totals, hash)
		return
	}
	t.totals[hash] = total
}

// Tick drops the loads of routers that have not reported for peerLifetime. It
// should be called several times in each peerLifetime.
func (t *Table) Tick(now time.Time) {
	for name, p := range t.peers {
		if now.Sub(p.at) >= peerLifetime {
			t.ForgetPeer(name)
		}
	}
}

// UpdateInstance records the number of calls, running or waiting, that an instance
// reports.
func (t *Table) UpdateInstance(now time.Time, instance string, total int) {
	t.reports[instance] = report{at: now, total: total, local: t.local[instance].Calls}
}

// Forget drops the report of an instance that is gone.
func (t *Table) Forget(instance string) { delete(t.reports, instance) }

// OldestPeerAge returns the age of the oldest report of another router.
func (t *Table) OldestPeerAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, p := range t.peers {
		age = max(age, now.Sub(p.at))
	}
	return age
}

// Load returns the estimated load of an instance: the sum over all routers, with the
// number of calls that the instance reports if that is larger.
func (t *Table) Load(now time.Time, instance string) Load {
	local := t.local[instance]
	load := t.totals[Hash(instance)]
	load.Calls += local.Calls
	load.PendingPrefillTokens += local.PendingPrefillTokens
	r, ok := t.reports[instance]
	if ok && now.Sub(r.at) < reportLifetime {
		// The instance also counts calls that no router has reported yet. Changes
		// in this router's own calls since its report are added.
		load.Calls = max(load.Calls, r.total+local.Calls-r.local)
	}
	return load
}
