package daemon

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
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
	cluster *cluster.Manager

	mu          sync.Mutex
	containment *containment.Containment
	// running holds the requests in flight by upstream and fingerprint.
	running     map[string]map[uint64]*runningRequests
	lastCrashes map[string]crashRecord
}

// runningRequests are the requests with one fingerprint at one upstream.
type runningRequests struct {
	request containment.Request
	count   int
}

// crashRecord identifies the latest crash of an upstream.
type crashRecord struct {
	id uint64
	at time.Time
}

func newCrashGuard(s containment.Settings, c *cluster.Manager) *crashGuard {
	return &crashGuard{
		cluster: c, containment: containment.New(s),
		running:     make(map[string]map[uint64]*runningRequests),
		lastCrashes: make(map[string]crashRecord),
	}
}

// Check implements owner.CrashGuard.
func (g *crashGuard) Check(now time.Time, request containment.Request) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.check(now, request)
	if verdict.Kind == containment.Refused {
		return verdict.Refusal(now)
	}
	return nil
}

// Start implements owner.CrashGuard.
func (g *crashGuard) Start(now time.Time, upstream string, request containment.Request) *refusal.Refusal {
	refused, trial := g.recordStart(now, upstream, request)
	if trial != nil {
		g.cluster.PublishTrial(trial)
	}
	return refused
}

func (g *crashGuard) recordStart(now time.Time, upstream string, request containment.Request) (*refusal.Refusal, *peerpb.Trial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	result, trial := g.containment.Start(now, upstream, request)
	switch result {
	case containment.Started:
		g.addRunning(upstream, request)
		return nil, trial
	case containment.BusyOther:
		return refusal.New(refusal.OverBound, upstream+" runs another request that may crash it: try another").
			WithRetryAfter(retryAfterBusy), nil
	case containment.BusySame:
		return refusal.New(refusal.Overloaded, "the same request runs already, after a crash: resend it after the given time").
			WithRetryAfter(retryAfterBusy), nil
	default:
		return g.check(now, request).Refusal(now), nil
	}
}

// Finish implements owner.CrashGuard.
func (g *crashGuard) Finish(now time.Time, upstream string, request containment.Request, end owner.End) {
	for _, trial := range g.recordFinish(now, upstream, request, end) {
		g.cluster.PublishTrial(trial)
	}
}

func (g *crashGuard) recordFinish(now time.Time, upstream string, request containment.Request, end owner.End) []*peerpb.Trial {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeRunning(upstream, request)
	g.containment.Stop(upstream, request.Fingerprint)
	if end != owner.EndComplete {
		return nil
	}
	return g.containment.Finished(now, request)
}

// Crash implements owner.CrashGuard.
func (g *crashGuard) Crash(now time.Time, upstream string) {
	for _, strike := range g.recordCrash(now, upstream) {
		g.cluster.PublishStrike(strike)
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
	inFlight := make([]containment.Request, 0, len(g.running[upstream]))
	for _, running := range g.running[upstream] {
		inFlight = append(inFlight, running.request)
	}
	return g.containment.Crash(now, now, upstream, last.id, inFlight)
}

// merge applies a strike that another daemon published.
func (g *crashGuard) merge(strike *peerpb.Strike) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.containment.Merge(time.Now(), strike)
}

// mergeTrial applies a trial that another daemon published.
func (g *crashGuard) mergeTrial(trial *peerpb.Trial) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.containment.ApplyTrial(time.Now(), trial)
}

// blamedStrikes returns the strikes for which requests are refused.
func (g *crashGuard) blamedStrikes() []*peerpb.Strike {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.containment.BlamedStrikes(time.Now())
}

// check sets this daemon's place among the live routers, in which they probe requests
// after a refusal, and returns how a request may run. The caller holds the lock.
func (g *crashGuard) check(now time.Time, request containment.Request) containment.Verdict {
	view := g.cluster.View()
	rank, _ := slices.BinarySearchFunc(view.Routers, view.Self, func(r cluster.RouterView, name string) int {
		return strings.Compare(r.Name, name)
	})
	g.containment.SetFleet(rank, len(view.Routers))
	return g.containment.Check(now, request)
}

func (g *crashGuard) addRunning(upstream string, request containment.Request) {
	running := g.running[upstream]
	if running == nil {
		running = make(map[uint64]*runningRequests)
		g.running[upstream] = running
	}
	if running[request.Fingerprint] == nil {
		running[request.Fingerprint] = &runningRequests{request: request}
	}
	running[request.Fingerprint].count++
}

func (g *crashGuard) removeRunning(upstream string, request containment.Request) {
	same := g.running[upstream][request.Fingerprint]
	if same == nil {
		return
	}
	if same.count--; same.count <= 0 {
		delete(g.running[upstream], request.Fingerprint)
	}
}

// crashID returns a random identifier for a crash, unique with high probability.
func crashID(upstream string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(upstream))
	return digest.Sum64() ^ rand.Uint64()
}
