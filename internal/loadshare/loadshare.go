// Package loadshare estimates the load of each instance from this router's own
// calls, from what other routers tell of theirs, and from what instances say of
// themselves. It is pure; a Table isn't safe for concurrent use.
package loadshare

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerLifetime is how long another router's counts stay valid: a few of its
	// reports may be lost.
	peerLifetime = 2 * time.Second
	// reportLifetime is how long an instance's own word is believed.
	reportLifetime = 500 * time.Millisecond
)

// Hash is the short name of an instance between routers.
func Hash(instance string) uint32 { return uint32(xxhash.Sum64String(instance)) }

// Load is what a router has given to an instance.
type Load struct {
	// Calls are in flight.
	Calls int
	// PendingPrefillTokens is the number of tokens that are still to be read for them.
	PendingPrefillTokens int
}

// peer is the last word of another router.
type peer struct {
	at   time.Time
	work map[uint32]Load
}

// report is an instance's own word, with this router's count at that moment.
type report struct {
	at    time.Time
	total int
	own   int
}

// Table holds the loads that one router knows.
type Table struct {
	own   map[string]Load
	peers map[string]peer
	// totals are the sums over peers, so that the cost of Load doesn't grow with
	// their number.
	totals  map[uint32]Load
	reports map[string]report
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		own: make(map[string]Load), peers: make(map[string]peer), totals: make(map[uint32]Load),
		reports: make(map[string]report),
	}
}

// Begin counts a call that this router sends to an instance, with the tokens
// that have to be read for it.
func (t *Table) Begin(instance string, reading int) {
	w := t.own[instance]
	t.own[instance] = Load{Calls: w.Calls + 1, PendingPrefillTokens: w.PendingPrefillTokens + reading}
}

// Prefilled counts tokens that an instance has read.
func (t *Table) Prefilled(instance string, tokens int) {
	if w, ok := t.own[instance]; ok {
		w.PendingPrefillTokens = max(w.PendingPrefillTokens-tokens, 0)
		t.own[instance] = w
	}
}

// End counts the end of a call.
func (t *Table) End(instance string) {
	w := t.own[instance]
	if w.Calls <= 1 {
		delete(t.own, instance)
		return
	}
	w.Calls--
	t.own[instance] = w
}

// Local returns a copy of this router's work, without the idle instances.
func (t *Table) Local() map[string]Load { return maps.Clone(t.own) }

// UpdatePeer takes the work of another router, by Hash.
func (t *Table) UpdatePeer(now time.Time, name string, work map[uint32]Load) {
	t.ForgetPeer(name)
	t.peers[name] = peer{at: now, work: work}
	for hash, w := range work {
		t.add(hash, w.Calls, w.PendingPrefillTokens)
	}
}

// ForgetPeer drops a router that has gone.
func (t *Table) ForgetPeer(name string) {
	for hash, w := range t.peers[name].work {
		t.add(hash, -w.Calls, -w.PendingPrefillTokens)
	}
	delete(t.peers, name)
}

func (t *Table) add(hash uint32, calls, reading int) {
	total := t.totals[hash]
	total = Load{Calls: total.Calls + calls, PendingPrefillTokens: total.PendingPrefillTokens + reading}
	if total == (Load{}) {
		delete(t.totals, hash)
		return
	}
	t.totals[hash] = total
}

// Tick forgets routers that were not heard for long. Call it a few times in
// each of their lifetimes.
func (t *Table) Tick(now time.Time) {
	for name, p := range t.peers {
		if now.Sub(p.at) >= peerLifetime {
			t.ForgetPeer(name)
		}
	}
}

// UpdateInstance takes the number of calls that an instance says it holds.
func (t *Table) UpdateInstance(now time.Time, instance string, total int) {
	t.reports[instance] = report{at: now, total: total, own: t.own[instance].Calls}
}

// Forget drops an instance that has gone.
func (t *Table) Forget(instance string) { delete(t.reports, instance) }

// OldestPeerAge returns the age of the oldest word of another router.
func (t *Table) OldestPeerAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, p := range t.peers {
		age = max(age, now.Sub(p.at))
	}
	return age
}

// Load returns what an instance is thought to hold.
func (t *Table) Load(now time.Time, instance string) Load {
	own := t.own[instance]
	load := t.totals[Hash(instance)]
	load.Calls += own.Calls
	load.PendingPrefillTokens += own.PendingPrefillTokens
	r, ok := t.reports[instance]
	if ok && now.Sub(r.at) < reportLifetime {
		// The instance's own word counts what no router told yet; this router's
		// changes since then are added.
		load.Calls = max(load.Calls, r.total+own.Calls-r.own)
	}
	return load
}
