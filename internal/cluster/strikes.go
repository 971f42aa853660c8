package cluster

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
	// strikesPerDatagram bounds the strikes in a datagram.
	strikesPerDatagram = 2
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

// strikeQueue holds the strikes to pass on and remembers the known ones.
type strikeQueue struct {
	known map[strikeKey]time.Time
	queue []queuedStrike
}

type queuedStrike struct {
	strike *peerpb.Strike
	sent   int
}

func newStrikeQueue() *strikeQueue { return &strikeQueue{known: make(map[strikeKey]time.Time)} }

// add queues a strike and reports whether it is new.
func (q *strikeQueue) add(now time.Time, s *peerpb.Strike) bool {
	key := keyOfStrike(s)
	if _, ok := q.known[key]; ok || len(q.known) >= maxStrikes {
		return false
	}
	q.known[key] = now
	q.queue = append(q.queue, queuedStrike{strike: s})
	return true
}

// take returns the strikes for one datagram, the longest waiting first, in a
// fleet of that many routers.
func (q *strikeQueue) take(routers int) []*peerpb.Strike {
	n := min(strikesPerDatagram, len(q.queue))
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

// forget drops the memory of old strikes.
func (q *strikeQueue) forget(now time.Time) {
	for key, heard := range q.known {
		if now.Sub(heard) > strikeMemory {
			delete(q.known, key)
		}
	}
}
