// Package loadshare estimates the load of each instance from this router's own
// calls, from what other routers tell of theirs, and from what instances say of
// themselves. It is pure; a Table isn't safe for concurrent use.
package loadshare

import (
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

// peer is the last word of another router.
type peer struct {
	at     time.Time
	counts map[uint32]int
}

// report is an instance's own word, with this router's count at that moment.
type report struct {
	at    time.Time
	total int
	own   int
}

// Table holds the loads that one router knows.
type Table struct {
	own     map[string]int
	peers   map[string]peer
	reports map[string]report
}

// New returns an empty Table.
func New() *Table {
	return &Table{own: make(map[string]int), peers: make(map[string]peer), reports: make(map[string]report)}
}

// Begin counts a call that this router sends to an instance.
func (t *Table) Begin(instance string) { t.own[instance]++ }

// End counts the end of a call.
func (t *Table) End(instance string) {
	if t.own[instance] <= 1 {
		delete(t.own, instance)
		return
	}
	t.own[instance]--
}

// Own returns a copy of this router's counts, without the idle instances.
func (t *Table) Own() map[string]int {
	out := make(map[string]int, len(t.own))
	for instance, n := range t.own {
		out[instance] = n
	}
	return out
}

// HearPeer takes the counts of another router, by Hash.
func (t *Table) HearPeer(now time.Time, name string, counts map[uint32]int) {
	t.peers[name] = peer{at: now, counts: counts}
}

// ForgetPeer drops a router that has gone.
func (t *Table) ForgetPeer(name string) { delete(t.peers, name) }

// HearInstance takes the number of calls that an instance says it holds.
func (t *Table) HearInstance(now time.Time, instance string, total int) {
	t.reports[instance] = report{at: now, total: total, own: t.own[instance]}
}

// Forget drops an instance that has gone.
func (t *Table) Forget(instance string) { delete(t.reports, instance) }

// Load returns the calls that an instance is thought to hold.
func (t *Table) Load(now time.Time, instance string) int {
	counted := t.own[instance]
	hash := Hash(instance)
	for _, p := range t.peers {
		if now.Sub(p.at) < peerLifetime {
			counted += p.counts[hash]
		}
	}
	r, ok := t.reports[instance]
	if !ok || now.Sub(r.at) >= reportLifetime {
		return counted
	}
	// The instance's own word counts what no router told yet; this router's
	// changes since then are added.
	return max(counted, r.total+t.own[instance]-r.own)
}
