package daemon

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/owner"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

const (
	// crashWindow is the time in which reports about one upstream concern the
	// same crash.
	crashWindow = 2 * time.Second
	// retryAfterBusy is told to a resend while the same request runs.
	retryAfterBusy = 2 * time.Second
)

// crashGuard lets traffic goroutines share a containment. It implements
// owner.Guard.
type crashGuard struct {
	publish func(*peerpb.Strike)

	mu          sync.Mutex
	containment *containment.Containment
	running     map[string]map[uint64]int
	crashes     map[string]crashMark
}

// crashMark identifies the latest crash of an upstream.
type crashMark struct {
	id uint64
	at time.Time
}

func newCrashGuard(s containment.Settings, publish func(*peerpb.Strike)) *crashGuard {
	return &crashGuard{
		publish: publish, containment: containment.New(s),
		running: make(map[string]map[uint64]int),
		crashes: make(map[string]crashMark),
	}
}

// Check implements owner.Guard.
func (g *crashGuard) Check(now time.Time, fingerprint uint64) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.containment.Check(now, fingerprint)
	if verdict.Kind == containment.Refused {
		return verdict.Refusal(now)
	}
	return nil
}

// Start implements owner.Guard.
func (g *crashGuard) Start(now time.Time, upstream string, fingerprint uint64) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.containment.Start(now, upstream, fingerprint) {
	case containment.Started:
		g.count(upstream, fingerprint, 1)
		return nil
	case containment.BusyOther:
		return refusal.New(refusal.OverBound, upstream+" runs another request that may crash it: try another").
			WithRetryAfter(retryAfterBusy)
	case containment.BusySame:
		return refusal.New(refusal.Overloaded, "the same request runs already, after a crash: resend it after the given time").
			WithRetryAfter(retryAfterBusy)
	default:
		return g.containment.Check(now, fingerprint).Refusal(now)
	}
}

// Finish implements owner.Guard.
func (g *crashGuard) Finish(now time.Time, upstream string, fingerprint uint64, end owner.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count(upstream, fingerprint, -1)
	g.containment.Stop(upstream, fingerprint)
	if end == owner.EndComplete {
		g.containment.Finished(now, fingerprint)
	}
}

// Crash implements owner.Guard.
func (g *crashGuard) Crash(now time.Time, upstream string) {
	for _, strike := range g.strikes(now, upstream) {
		g.publish(strike)
	}
}

func (g *crashGuard) strikes(now time.Time, upstream string) []*peerpb.Strike {
	g.mu.Lock()
	defer g.mu.Unlock()
	mark, known := g.crashes[upstream]
	if known && now.Sub(mark.at) < crashWindow {
		return nil
	}
	mark = crashMark{id: crashID(upstream), at: now}
	g.crashes[upstream] = mark
	inFlight := make([]uint64, 0, len(g.running[upstream]))
	for fingerprint := range g.running[upstream] {
		inFlight = append(inFlight, fingerprint)
	}
	return g.containment.Crash(now, upstream, mark.id, inFlight)
}

// merge takes in a strike from another daemon.
func (g *crashGuard) merge(strike *peerpb.Strike) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.containment.Merge(time.Now(), strike)
}

func (g *crashGuard) count(upstream string, fingerprint uint64, delta int) {
	running := g.running[upstream]
	if running == nil {
		running = make(map[uint64]int)
		g.running[upstream] = running
	}
	running[fingerprint] += delta
	if running[fingerprint] <= 0 {
		delete(running, fingerprint)
	}
}

// crashID returns an identifier that no other crash has.
func crashID(upstream string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(upstream))
	return digest.Sum64() ^ rand.Uint64()
}
