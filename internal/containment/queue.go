package containment

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// newsRetention is how long a message is remembered to recognise duplicates.
	newsRetention = 10 * time.Minute
	// retransmitFactor times the bit length of the number of daemons, which is about
	// its binary logarithm, is how often a daemon sends each message.
	retransmitFactor = 3
	// maxNews is the maximum number of remembered messages.
	maxNews = 4096
)

// queue holds messages to send to other daemons, and remembers the ones it has seen.
type queue[M any] struct {
	id   func(M) uint64
	seen map[uint64]time.Time
	// order holds the IDs in seen, the oldest first.
	order   []uint64
	pending []queued[M]
}

type queued[M any] struct {
	message M
	sent    int
}

// newStrikeQueue returns an empty queue of strikes.
func newStrikeQueue() *queue[*peerpb.Strike] {
	return newQueue(func(s *peerpb.Strike) uint64 {
		return hashOf(append([]uint64{s.GetFingerprint(), s.GetCrashId()}, s.GetKeys()...))
	})
}

// newTrialQueue returns an empty queue of trials.
func newTrialQueue() *queue[*peerpb.Trial] {
	return newQueue(func(t *peerpb.Trial) uint64 {
		return hashOf(slices.Concat([]uint64{t.GetId(), uint64(len(t.GetKeys()))}, t.GetKeys(), t.GetCrashIds()))
	})
}

func newQueue[M any](id func(M) uint64) *queue[M] {
	return &queue[M]{id: id, seen: make(map[uint64]time.Time)}
}

// IdentifyStrikes returns a number that is the same for strikes with the same keys and
// crashes, in any order and of any age, and zero for none.
func IdentifyStrikes(strikes []*peerpb.Strike) uint64 {
	var sum uint64
	for _, s := range strikes {
		keys := slices.Clone(s.GetKeys())
		slices.Sort(keys)
		sum += hashOf(append([]uint64{s.GetFingerprint(), s.GetCrashId()}, keys...))
	}
	return sum
}

// hashOf returns a hash of numbers in their order.
func hashOf(numbers []uint64) uint64 {
	data := make([]byte, 0, 8*len(numbers))
	for _, n := range numbers {
		data = binary.LittleEndian.AppendUint64(data, n)
	}
	return xxhash.Sum64(data)
}

// add queues a message and reports whether it is new. If too many are remembered, the
// oldest one is forgotten.
func (q *queue[M]) add(now time.Time, m M) bool {
	id := q.id(m)
	if _, ok := q.seen[id]; ok {
		return false
	}
	if len(q.order) >= maxNews {
		delete(q.seen, q.order[0])
		q.order = q.order[1:]
	}
	q.seen[id] = now
	q.order = append(q.order, id)
	q.pending = append(q.pending, queued[M]{message: m})
	if len(q.pending) > maxNews {
		q.pending = q.pending[1:]
	}
	return true
}

// take returns up to limit messages for one datagram, those first that were sent the
// fewest times, and of these the longest waiting ones.
// daemons is the number of daemons in the fleet; it determines how often each message
// is sent.
func (q *queue[M]) take(limit, daemons int) []M {
	n := min(limit, len(q.pending))
	if n < len(q.pending) {
		slices.SortStableFunc(q.pending, func(a, b queued[M]) int { return a.sent - b.sent })
	}
	batch := q.pending[:n:n]
	q.pending = q.pending[n:]
	var out []M
	for _, item := range batch {
		out = append(out, item.message)
		item.sent++
		if item.sent < retransmitFactor*bits.Len(uint(daemons)) {
			q.pending = append(q.pending, item)
		}
	}
	return out
}

// forget drops the messages that were seen more than newsRetention ago.
func (q *queue[M]) forget(now time.Time) {
	for len(q.order) > 0 && now.Sub(q.seen[q.order[0]]) > newsRetention {
		delete(q.seen, q.order[0])
		q.order = q.order[1:]
	}
}
