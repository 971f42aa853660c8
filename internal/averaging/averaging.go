// Package averaging estimates the mean load of each pool over the routers
// without any router hearing every load. It is pure: a shell carries the
// messages and calls BeginRound once a round.
//
// A large fleet uses push-pull averaging in epochs (Jelasity, Montresor and
// Babaoglu 2005): two routers exchange their estimates and each moves half way
// to the other's. A small fleet exchanges the loads themselves.
package averaging

import (
	"cmp"
	"math/bits"
	"slices"
)

// PoolLoad is a load of one pool, in requests in flight.
type PoolLoad struct {
	// Pool is fleet.Pool.Hash.
	Pool     uint32
	InFlight float64
}

// directEpoch marks a message that carries loads instead of estimates.
const directEpoch = 0

// Message is one half of an exchange.
type Message struct {
	// Epoch numbers the restart that the estimates belong to; zero marks the
	// sender's own loads.
	Epoch uint32
	// Pools is in order of the pools' hashes. Only pools that a message names
	// are exchanged; of loads, those left out are idle.
	Pools []PoolLoad
}

// maxPools is the most pools of a message.
const maxPools = 64

// MaxDirectRouters is the number of routers up to which loads are exchanged
// themselves.
const MaxDirectRouters = 24

// Averager is the state of one router. It is not safe for concurrent use.
type Averager struct {
	direct *loadTable
	gossip *pushPull
}

// New returns the Averager of an idle router.
func New() *Averager {
	return &Averager{direct: newLoadTable(), gossip: newPushPull()}
}

// SetLocal replaces this router's own loads.
func (a *Averager) SetLocal(loads []PoolLoad) { a.gossip.setLocal(loads) }

// BeginRound starts a round in a fleet of that many routers, this one
// included, and returns the message to send to one other router.
func (a *Averager) BeginRound(hosts int) Message {
	a.gossip.advance(hosts)
	if hosts <= MaxDirectRouters {
		return a.loads()
	}
	return a.gossip.message()
}

// Receive takes the message that began another router's round and returns the
// answer to it.
func (a *Averager) Receive(from string, m Message) Message {
	if m.Epoch == directEpoch {
		a.direct.hear(from, m.Pools)
		return a.loads()
	}
	return a.gossip.receive(m)
}

// loads returns a message with this router's own loads, the largest ones if
// they are too many.
func (a *Averager) loads() Message {
	list := a.gossip.local.list()
	if len(list) > maxPools {
		slices.SortStableFunc(list, func(a, b PoolLoad) int { return cmp.Compare(b.InFlight, a.InFlight) })
		list = list[:maxPools]
	}
	return Message{Epoch: directEpoch, Pools: list}
}

// Complete takes the answer to a message that BeginRound returned. An answer
// that comes too late is ignored.
func (a *Averager) Complete(from string, sent, answer Message) {
	if answer.Epoch == directEpoch {
		a.direct.hear(from, answer.Pools)
		return
	}
	a.gossip.complete(sent, answer)
}

// Means returns the load of each pool per router, as averaged over the routers
// named in hosts, which include this one (self).
func (a *Averager) Means(self string, hosts []string) []PoolLoad {
	if len(hosts) <= MaxDirectRouters {
		return a.direct.means(self, a.gossip.local, hosts).list()
	}
	return a.gossip.means(len(hosts)).list()
}

// Epoch returns the number of the current epoch.
func (a *Averager) Epoch() uint32 { return a.gossip.epoch }

// roundsFor returns the rounds of an epoch: enough for the estimates to agree
// within a few per cent.
func roundsFor(hosts int) int {
	const extraRounds = 2
	return bits.Len(uint(max(hosts, 1))) + extraRounds
}

// loads maps a pool's hash to its load.
type loads map[uint32]float64

func loadsOf(list []PoolLoad) loads {
	out := make(loads, len(list))
	for _, l := range list {
		out[l.Pool] += l.InFlight
	}
	return out
}

// list returns the loads that aren't zero, in order of the pools' hashes.
func (l loads) list() []PoolLoad {
	out := make([]PoolLoad, 0, len(l))
	for pool, inFlight := range l {
		if inFlight != 0 {
			out = append(out, PoolLoad{Pool: pool, InFlight: inFlight})
		}
	}
	slices.SortFunc(out, func(a, b PoolLoad) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

// addScaled adds a multiple of other.
func (l loads) addScaled(other loads, factor float64) {
	for pool, inFlight := range other {
		l[pool] += inFlight * factor
	}
}

func (l loads) clone() loads {
	out := make(loads, len(l))
	out.addScaled(l, 1)
	return out
}
