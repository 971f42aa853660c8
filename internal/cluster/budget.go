package cluster

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// Shares of the byte budget.
const (
	// listShare is the share of the budget for polling the host list; the rest
	// is for datagrams.
	listShare = 0.25
	// reserveShare is the share of one second's datagram bytes that probes leave
	// unused, so that replies can be sent.
	reserveShare = 0.25
)

// sendPriority determines how much of the budget must be left for a datagram to
// be sent.
type sendPriority int

// Send priorities, lowest first. Bare acks, without averages and gossip, are
// always sent, since a daemon that doesn't answer probes is considered failed.
// Their number is limited by the probes of other daemons, and this daemon sends
// no probes of its own until the token bucket has recovered.
const (
	priorityProbe sendPriority = iota
	priorityReply
	priorityBareAck
)

// messageKind is the name of a kind of control message in the metrics.
type messageKind string

// Kinds of control messages.
const (
	kindPing  messageKind = "ping"
	kindAck   messageKind = "ack"
	kindRelay messageKind = "relay"
	kindList  messageKind = "list"
	kindOther messageKind = "other"
)

// budget limits control traffic with a token bucket and counts it.
type budget struct {
	limiter  *rate.Limiter
	reserve  float64
	registry metrics.Registry
}

func newBudget(bytesPerSecond int, registry metrics.Registry) *budget {
	datagramRate := float64(bytesPerSecond) * (1 - listShare)
	return &budget{
		limiter:  rate.NewLimiter(rate.Limit(datagramRate), int(datagramRate)),
		reserve:  datagramRate * reserveShare,
		registry: registry,
	}
}

// maySend reports whether the budget allows a datagram of a priority.
func (b *budget) maySend(now time.Time, priority sendPriority) bool {
	switch priority {
	case priorityProbe:
		return b.limiter.TokensAt(now) > b.reserve
	case priorityReply:
		return b.limiter.TokensAt(now) > 0
	default:
		return true
	}
}

// recordSent charges and counts a sent datagram of the given size.
func (b *budget) recordSent(now time.Time, kind messageKind, bytes int) {
	b.charge(now, bytes)
	b.count("sent", kind, bytes+headerBytes)
}

// recordReceived charges and counts a received datagram of the given size.
func (b *budget) recordReceived(now time.Time, kind messageKind, bytes int) {
	b.charge(now, bytes)
	b.count("received", kind, bytes+headerBytes)
}

// charge takes tokens from the bucket, below zero if necessary, since received
// bytes can't be refused.
func (b *budget) charge(now time.Time, bytes int) {
	n := min(bytes+headerBytes, b.limiter.Burst())
	b.limiter.ReserveN(now, n)
}

// recordRefused counts a datagram that was not sent because of the budget.
func (b *budget) recordRefused(kind messageKind) { b.counter("refused." + string(kind)).Inc(1) }

// recordListPoll counts a poll of the host list. Polls have their own share of
// the budget and take no tokens.
func (b *budget) recordListPoll(bytes int) { b.count("received", kindList, bytes) }

func (b *budget) count(direction string, kind messageKind, bytes int) {
	b.counter(direction + ".bytes").Inc(int64(bytes))
	b.counter(direction + ".bytes." + string(kind)).Inc(int64(bytes))
	b.counter(direction + ".messages." + string(kind)).Inc(1)
}

func (b *budget) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("cluster."+name, b.registry)
}
