package peering

import "time"

// transitWindow is the time over which the fastest digest of a router is known. Clocks
// of two hosts drift apart by some milliseconds in it.
const transitWindow = time.Minute

// transit compares the times that the digests of one incarnation of a router took. The
// clocks of sender and receiver differ by an unknown constant, which the fastest digest
// of the last one to two windows shows, but for the shortest way between the hosts.
type transit struct {
	start             time.Time
	current, previous time.Duration
	known             bool
}

// record takes a digest that was sent at a time of the sender's clock and processed at a
// time of the receiver's.
func (t *transit) record(now time.Time, sent time.Duration) {
	if sent == 0 {
		return
	}
	took := difference(now, sent)
	switch {
	case !t.known:
		*t = transit{start: now, current: took, previous: took, known: true}
	case now.Sub(t.start) >= transitWindow:
		t.start, t.previous, t.current = now, t.current, took
	default:
		t.current = min(t.current, took)
	}
}

// delay returns how much longer a digest took than the fastest one.
func (t *transit) delay(now time.Time, sent time.Duration) time.Duration {
	if sent == 0 || !t.known {
		return 0
	}
	return max(difference(now, sent)-min(t.current, t.previous), 0)
}

// difference returns the reading of the receiver's clock minus that of the sender's.
func difference(now time.Time, sent time.Duration) time.Duration {
	return now.Sub(time.Unix(0, 0)) - sent
}

// Delay returns how long a router's digest has waited on its way, more than the fastest
// one of the same incarnation; zero if the router doesn't tell when it sends.
func (l *MemberList) Delay(now time.Time, router Router) time.Duration {
	m, ok := l.members[router.Name]
	if !ok || m.router.Incarnation != router.Incarnation {
		return 0
	}
	return m.transit.delay(now, router.SentAt)
}

// Suspended takes the time in which this host was suspended out of the silence of the
// others.
func (l *MemberList) Suspended(d time.Duration) {
	for _, m := range l.members {
		m.lastHeard = m.lastHeard.Add(d)
	}
}
