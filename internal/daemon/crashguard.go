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
	// crashWindow is the time within which several crash reports about one upstream
	// count as the same crash.
	crashWindow = 2 * time.Second
	// retryAfterBusy is the Retry-After of a request that is refused because the same
	// request, or another one suspected of crashing upstreams, is running.
	retryAfterBusy = 2 * time.Second
)

// crashGuard makes a containment.Containment safe for concurrent use and counts the
// requests in flight. It implements owner.CrashGuard. Package containment defines
// strikes and suspects.
type crashGuard struct {
	// publish sends a strike to the other daemons.
	publish func(*peerpb.Strike)

	mu          sync.Mutex
	containment *containment.Containment
	// running counts the requests in flight by upstream and fingerprint.
	running     map[string]map[uint64]int
	lastCrashes map[string]crashRecord
}

// crashRecord identifies the latest crash of an upstream.
type crashRecord struct {
	id uint64
	at time.Time
}

func newCrashGuard(s containment.Settings, publish func(*peerpb.Strike)) *crashGuard {
	return &crashGuard{
		publish: publish, containment: containment.New(s),
		running:     make(map[string]map[uint64]int),
		lastCrashes: make(map[string]crashRecord),
	}
}

// Check implements owner.CrashGuard.
func (g *crashGuard) Check(now time.Time, fingerprint uint64) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.containment.Check(now, fingerprint)
	if verdict.Kind == containment.Refused {
		return verdict.Refusal(now)
	}
	return nil
}

// Start implements owner.CrashGuard.
func (g *crashGuard) Start(now time.Time, upstream string, fingerprint uint64) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.containment.Start(now, upstream, fingerprint) {
	case containment.Started:
		g.addRunning(upstream, fingerprint, 1)
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

// Finish implements owner.CrashGuard.
func (g *crashGuard) Finish(now time.Time, upstream string, fingerprint uint64, end owner.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addRunning(upstream, fingerprint, -1)
	g.containment.Stop(upstream, fingerprint)
	if end == owner.EndComplete {
		g.containment.Finished(now, fingerprint)
	}
}

// Crash implements owner.CrashGuard.
func (g *crashGuard) Crash(now time.Time, upstream string) {
	for _, strike := range g.recordCrash(now, upstream) {
		g.publish(strike)
	}
}

// recordCrash returns the strikes of the requests in flight, or nil if the report
// is about a crash that is already recorded.
func (g *crashGuard) recordCrash(now time.Time, upstream string) []*peerpb.Strike {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, known := g.lastCrashes[upstream]
	if known && now.Sub(last.at) < crashWindow {
		return nil
	}
	last = crashRecord{id: crashID(upstream), at: now}
	g.lastCrashes[upstream] = last
	inFlight := make([]uint64, 0, len(g.running[upstream]))
	for fingerprint := range g.running[upstream] {
		inFlight = append(inFlight, fingerprint)
	}
	return g.containment.Crash(now, upstream, last.id, inFlight)
}

// merge applies a strike that another daemon published.
func (g *crashGuard) merge(strike *peerpb.Strike) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.containment.Merge(time.Now(), strike)
}

func (g *crashGuard) addRunning(upstream string, fingerprint uint64, delta int) {
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

// crashID returns a random identifier for a crash, unique with high probability.
func crashID(upstream string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(upstream))
	return digest.Sum64() ^ rand.Uint64()
}
