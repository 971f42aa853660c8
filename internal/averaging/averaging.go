// Package averaging estimates the mean load of each pool across the routers by
// pairwise exchanges; in a large fleet no router hears every load. It does no
// I/O: the caller transports the messages and calls BeginRound once per round.
//
// A large fleet uses push-pull averaging in epochs (Jelasity, Montresor and
// Babaoglu 2005): two routers exchange their estimates, and each moves its own
// halfway to the other's. A small fleet exchanges the loads directly.
package averaging

import (
	"cmp"
	"math/bits"
	"slices"
)

// PoolLoad is the load of one pool, in requests in flight.
type PoolLoad struct {
	// Pool is the pool's hash, see fleet.Pool.Hash.
	Pool     uint32
	InFlight float64
}

// directEpoch marks a message that carries the sender's loads instead of
// estimates.
const directEpoch = 0

// Message is one half of an exchange.
type Message struct {
	// Epoch is the number of the epoch that the estimates belong to; zero marks
	// a message with the sender's own loads.
	Epoch uint32
	// Pools is sorted by pool hash. An exchange of estimates covers only the
	// pools in the message; in a message with loads, pools left out are idle.
	Pools []PoolLoad
}

// maxPools is the maximum number of pools in a message.
const maxPools = 64

// MaxDirectRouters is the size of the largest fleet that exchanges loads
// directly.
const MaxDirectRouters = 24

// Averager is the averaging state of one router. It is not safe for concurrent
// use.
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

// BeginRound starts a round in a fleet of the given number of routers,
// including this one, and returns the message to send to one other router.
func (a *Averager) BeginRound(routers int) Message {
	a.gossip.advance(routers)
	if routers <= MaxDirectRouters {
		return a.directMessage()
	}
	return a.gossip.message()
}

// Receive processes the message of another router's BeginRound and returns the
// reply.
func (a *Averager) Receive(from string, m Message) Message {
	if m.Epoch == directEpoch {
		a.direct.record(from, m.Pools)
		return a.directMessage()
	}
	return a.gossip.receive(m)
}

// directMessage returns a message with this router's own loads; if there are more
// than maxPools, with the largest ones.
func (a *Averager) directMessage() Message {
	list := a.gossip.local.list()
	if len(list) > maxPools {
		slices.SortStableFunc(list, func(a, b PoolLoad) int { return cmp.Compare(b.InFlight, a.InFlight) })
		list = list[:maxPools]
	}
	return Message{Epoch: directEpoch, Pools: list}
}

// Complete processes the reply to a message that BeginRound returned. A reply
// that arrives after its epoch has ended is ignored.
func (a *Averager) Complete(from string, sent, reply Message) {
	if reply.Epoch == directEpoch {
		a.direct.record(from, reply.Pools)
		return
	}
	a.gossip.complete(sent, reply)
}

// Means returns the mean load of each pool over the given routers, which include
// this one (self).
func (a *Averager) Means(self string, routers []string) []PoolLoad {
	if len(routers) <= MaxDirectRouters {
		return a.direct.means(self, a.gossip.local, routers).list()
	}
	return a.gossip.means(len(routers)).list()
}

// Epoch returns the number of the current epoch.
func (a *Averager) Epoch() uint32 { return a.gossip.epoch }

// roundsPerEpoch returns the number of rounds of an epoch, enough for the
// estimates to converge to within a few percent.
func roundsPerEpoch(routers int) int {
	const extraRounds = 2
	return bits.Len(uint(max(routers, 1))) + extraRounds
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

// list returns the nonzero loads, sorted by pool hash.
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

// addScaled adds other multiplied by factor.
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
