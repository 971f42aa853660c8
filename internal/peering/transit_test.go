package peering

import (
	"testing"
	"time"
)

// Digests arrive for hours while the clocks of both hosts drift apart. Only those that
// have waited count as delayed.
func TestDelayOfDigests(t *testing.T) {
	const (
		rounds = 60_000
		// drift is the difference of the clocks' rates, in parts per million.
		drift  = 200
		every  = 1000
		waited = 2 * time.Second
		// tolerance is the drift in two windows, which a digest that waited may start late.
		tolerance = (2*transitWindow + waited + 2*RoundInterval) * drift / 1_000_000
	)
	start := time.Unix(5000, 0)
	for _, direction := range []time.Duration{1, -1} {
		l := NewMemberList("self", 1)
		for n := range time.Duration(rounds) {
			passed := n * RoundInterval
			r := Router{Name: "other", Incarnation: 1, SentAt: time.Hour + passed + direction*passed*drift/1_000_000}
			now, want := start.Add(passed), time.Duration(0)
			if n%every == every-1 {
				now, want = now.Add(waited), waited
			}
			l.RecordDigest(now, r)
			if got := l.Delay(now, r); (got - want).Abs() > tolerance {
				t.Fatalf("direction %d, round %d: delay %v, want %v", direction, n, got, want)
			}
		}
		restarted := Router{Name: "other", Incarnation: 2, SentAt: time.Second}
		now := start.Add(rounds * RoundInterval)
		l.RecordDigest(now, restarted)
		if got := l.Delay(now, restarted); got != 0 {
			t.Errorf("first digest of an incarnation: delay %v", got)
		}
		if got := l.Delay(now, Router{Name: "other", Incarnation: 2}); got != 0 {
			t.Errorf("digest without a time: delay %v", got)
		}
	}
}
