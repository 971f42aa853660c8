package cluster

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// headerBytes is the size of the IP and UDP headers of a datagram.
const headerBytes = 28

// Shares of the byte budget.
const (
	// listShare of the budget is for polling the host list.
	listShare = 0.25
	// reserveShare of a second's datagram bytes is kept from probes for answers.
	reserveShare = 0.25
)

// urgency tells how far a datagram may use up the budget.
type urgency int

// Urgencies. A daemon that doesn't answer would be taken for failed, so bare
// answers are always sent; the probes of others bound them, and own probes
// wait until the debt is paid.
const (
	urgencyProbe urgency = iota
	urgencyAnswer
	urgencyBareAnswer
)

// messageKind names a kind of control message in the metrics.
type messageKind string

// Kinds of control messages.
const (
	kindPing   messageKind = "ping"
	kindAck    messageKind = "ack"
	kindRelay  messageKind = "relay"
	kindList   messageKind = "list"
	kindOthers messageKind = "other"
)

// budget is the token bucket that bounds control traffic, with its counters.
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

// maySend reports whether a datagram of an urgency fits the budget.
func (b *budget) maySend(now time.Time, u urgency) bool {
	switch u {
	case urgencyProbe:
		return b.limiter.TokensAt(now) > b.reserve
	case urgencyAnswer:
		return b.limiter.TokensAt(now) > 0
	default:
		return true
	}
}

// sent accounts for a datagram of that many bytes.
func (b *budget) sent(now time.Time, kind messageKind, bytes int) {
	b.charge(now, bytes)
	b.count("sent", kind, bytes+headerBytes)
}

// received accounts for a datagram that came in.
func (b *budget) received(now time.Time, kind messageKind, bytes int) {
	b.charge(now, bytes)
	b.count("received", kind, bytes+headerBytes)
}

// charge takes tokens, into debt if need be: bytes that came in can't be sent
// back.
func (b *budget) charge(now time.Time, bytes int) {
	n := min(bytes+headerBytes, b.limiter.Burst())
	b.limiter.ReserveN(now, n)
}

// refused counts a datagram that the budget held back.
func (b *budget) refused(kind messageKind) { b.counter("refused." + string(kind)).Inc(1) }

// listed counts a poll of the host list.
func (b *budget) listed(bytes int) { b.count("received", kindList, bytes) }

func (b *budget) count(direction string, kind messageKind, bytes int) {
	b.counter(direction + ".bytes").Inc(int64(bytes))
	b.counter(direction + ".bytes." + string(kind)).Inc(int64(bytes))
	b.counter(direction + ".messages." + string(kind)).Inc(1)
}

func (b *budget) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("cluster."+name, b.registry)
}
