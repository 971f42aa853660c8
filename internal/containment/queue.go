package containment

import (
	"math/bits"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// strikeRetention is how long a strike is remembered to recognise duplicates.
	strikeRetention = 10 * time.Minute
	// retransmitFactor times the bit length of the number of daemons, which is about
	// its binary logarithm, is how often a daemon sends each strike.
	retransmitFactor = 3
	// maxStrikes is the maximum number of remembered strikes.
	maxStrikes = 4096
)

// strikeKey identifies a strike.
type strikeKey struct {
	fingerprint uint64
	crash       uint64
}

func keyOfStrike(s *peerpb.Strike) strikeKey {
	return strikeKey{fingerprint: s.GetFingerprint(), crash: s.GetCrashId()}
}

// Queue holds the strikes to send to other daemons, and remembers the ones it has
// seen. It isn't safe for concurrent use.
type Queue struct {
	seen    map[strikeKey]time.Time
	pending []queuedStrike
}

type queuedStrike struct {
	strike *peerpb.Strike
	sent   int
}

// NewQueue returns an empty Queue.
func NewQueue() *Queue { return &Queue{seen: make(map[strikeKey]time.Time)} }

// Add queues a strike and reports whether it is new.
func (q *Queue) Add(now time.Time, s *peerpb.Strike) bool {
	key := keyOfStrike(s)
	if _, ok := q.seen[key]; ok || len(q.seen) >= maxStrikes {
		return false
	}
	q.seen[key] = now
	q.pending = append(q.pending, queuedStrike{strike: s})
	return true
}

// Take returns up to limit strikes for one datagram, the longest waiting first.
// daemons is the number of daemons in the fleet; it determines how often each strike
// is sent.
func (q *Queue) Take(limit, daemons int) []*peerpb.Strike {
	n := min(limit, len(q.pending))
	batch := q.pending[:n:n]
	q.pending = q.pending[n:]
	var out []*peerpb.Strike
	for _, item := range batch {
		out = append(out, item.strike)
		item.sent++
		if item.sent < retransmitFactor*bits.Len(uint(daemons)) {
			q.pending = append(q.pending, item)
		}
	}
	return out
}

// Forget drops the strikes that were seen more than strikeRetention ago.
func (q *Queue) Forget(now time.Time) {
	for key, seenAt := range q.seen {
		if now.Sub(seenAt) > strikeRetention {
			delete(q.seen, key)
		}
	}
}
