package containment

import (
	"math/bits"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// strikeMemory is how long a strike is recognised as known.
	strikeMemory = 10 * time.Minute
	// strikeFactor times the logarithm of the fleet's size is how often a
	// daemon passes on one strike.
	strikeFactor = 3
	// maxStrikes bounds the strikes that are remembered.
	maxStrikes = 4096
)

// strikeKey tells strikes apart.
type strikeKey struct {
	fingerprint uint64
	crash       uint64
}

func keyOfStrike(s *peerpb.Strike) strikeKey {
	return strikeKey{fingerprint: s.GetFingerprint(), crash: s.GetCrashId()}
}

// Queue holds the strikes to pass on to other daemons and remembers the known
// ones. It isn't safe for concurrent use.
type Queue struct {
	known map[strikeKey]time.Time
	queue []queuedStrike
}

type queuedStrike struct {
	strike *peerpb.Strike
	sent   int
}

// NewQueue returns an empty Queue.
func NewQueue() *Queue { return &Queue{known: make(map[strikeKey]time.Time)} }

// Add queues a strike and reports whether it is new.
func (q *Queue) Add(now time.Time, s *peerpb.Strike) bool {
	key := keyOfStrike(s)
	if _, ok := q.known[key]; ok || len(q.known) >= maxStrikes {
		return false
	}
	q.known[key] = now
	q.queue = append(q.queue, queuedStrike{strike: s})
	return true
}

// Take returns up to limit strikes for one datagram, the longest waiting first,
// in a fleet of that many routers.
func (q *Queue) Take(limit, routers int) []*peerpb.Strike {
	n := min(limit, len(q.queue))
	batch := q.queue[:n:n]
	q.queue = q.queue[n:]
	var out []*peerpb.Strike
	for _, item := range batch {
		out = append(out, item.strike)
		item.sent++
		if item.sent < strikeFactor*bits.Len(uint(routers)) {
			q.queue = append(q.queue, item)
		}
	}
	return out
}

// Forget drops the memory of old strikes.
func (q *Queue) Forget(now time.Time) {
	for key, heard := range q.known {
		if now.Sub(heard) > strikeMemory {
			delete(q.known, key)
		}
	}
}
