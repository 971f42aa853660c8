package main

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
)

// Durations and sizes of the measurements.
const (
	warmUp       = 3 * time.Second
	serviceTime  = 5 * time.Millisecond
	faultActions = 256
	faultSpacing = 20 * time.Millisecond
	settleTime   = time.Second
	maxLatency   = int64(time.Minute)
	okStatus     = 200
)

// tally counts the outcomes of requests and the runs of each action, and records
// latencies.
type tally struct {
	mu                              sync.Mutex
	done, recorded, notRun, unknown int
	latencies                       *hdrhistogram.Histogram
	runs                            map[uuid.UUID]int
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(1, maxLatency, 3), runs: make(map[uuid.UUID]int)}
}

func (t *tally) addOutcome(result claims.Result, r *refusal.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r == nil && result.Recorded:
		t.recorded++
	case r == nil:
		t.done++
	case r.Outcome == refusal.NotRun:
		t.notRun++
	default:
		t.unknown++
	}
}

func (t *tally) addLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latencies.RecordValue(int64(d))
}

func (t *tally) addRun(key uuid.UUID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[key]++
}

func (t *tally) maxRuns() int {
	most := 0
	for _, n := range t.runs {
		most = max(most, n)
	}
	return most
}

func (t *tally) quantile(percent float64) string {
	return milliseconds(time.Duration(t.latencies.ValueAtQuantile(percent)))
}

// measureLoad sends actions at a rate, with exponentially distributed gaps, and
// prints the cost of each. A warm-up before the measurement uses up the burst
// that the key-value service allows.
func measureLoad(o options, name string, rate int) error {
	b, err := newBench(o, name)
	if err != nil {
		return err
	}
	defer b.close()
	rng := rand.New(rand.NewSource(o.seed))
	send(b.design, rng, rate, warmUp, newTally())
	before := b.server.State()
	bytesBefore := b.wireBytes.bytes.Load()
	t := newTally()
	measured := time.Duration(o.seconds) * time.Second
	actions := send(b.design, rng, rate, measured, t)
	after := b.server.State()
	writes := float64(after.Writes - before.Writes)
	fmt.Printf("| %s | %d | %d | %d | %d | %.2f | %.0f | %.2f | %d | %d | %s | %s | %d |\n",
		name, rate, t.done, t.notRun, t.unknown, writes/float64(actions), writes/measured.Seconds(),
		float64(after.Reads-before.Reads)/float64(actions), after.RateLimited-before.RateLimited,
		(b.wireBytes.bytes.Load()-bytesBefore)/int64(actions),
		t.quantile(50), t.quantile(99), t.maxRuns())
	return nil
}

// send sends actions for a given time, waits until all have ended and returns
// their number. The recorded latency is the time from arrival to dispatch.
func send(d design, rng *rand.Rand, rate int, length time.Duration, t *tally) int {
	var wg sync.WaitGroup
	next := time.Now()
	end := next.Add(length)
	actions := 0
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / float64(rate) * float64(time.Second)))
		if next.After(end) {
			break
		}
		time.Sleep(time.Until(next))
		actions++
		arrived := next
		wg.Go(func() {
			key := d.issue()
			t.addOutcome(d.submit(key, func(context.Context) (claims.Result, error) {
				t.addLatency(time.Since(arrived))
				return runService(t, key)
			}))
		})
	}
	wg.Wait()
	return actions
}

func runService(t *tally, key uuid.UUID) (claims.Result, error) {
	t.addRun(key)
	time.Sleep(serviceTime)
	return claims.Result{Status: okStatus}, nil
}

// measureFaults prints the outcomes of requests during an outage of the key-value
// service and after a daemon was killed.
func measureFaults(o options, name string) error {
	b, err := newBench(o, name)
	if err != nil {
		return err
	}
	defer b.close()
	keys := issueKeys(b.design)
	runs := newTally()
	report(name, "before the faults, new actions", sendAll(b.design, keys, runs))
	time.Sleep(settleTime)
	b.setOutage(standin.OutageRefuse)
	newKeys := issueKeys(b.design)
	report(name, "outage, new actions", sendAll(b.design, newKeys, runs))
	report(name, "outage, resends of finished actions", sendAll(b.design, keys, runs))
	b.setOutage(standin.OutageNone)
	time.Sleep(settleTime)
	report(name, "after the outage, resends of its new actions", sendAll(b.design, newKeys, runs))
	measureKilledDaemon(b, name, keys, runs)
	if n := runs.maxRuns(); n > 1 {
		return fmt.Errorf("%s: an action ran %d times", name, n)
	}
	return nil
}

// measureKilledDaemon kills a daemon with actions in flight and prints the
// outcomes of the requests that follow.
func measureKilledDaemon(b *bench, name string, finished []uuid.UUID, runs *tally) {
	unsent := issueKeys(b.design)
	inFlight := issueKeys(b.design)
	var started, ended sync.WaitGroup
	release := make(chan struct{})
	for _, key := range inFlight {
		started.Add(1)
		ended.Go(func() {
			_, _ = b.design.submit(key, func(context.Context) (claims.Result, error) {
				runs.addRun(key)
				started.Done()
				<-release
				return claims.Result{Status: okStatus}, nil
			})
		})
	}
	started.Wait()
	const victim = 0
	b.design.kill(victim)
	report(name, "after a daemon was killed, resends of its actions in flight", sendAll(b.design, ownedBy(b.design, inFlight, victim), runs))
	report(name, "after a daemon was killed, resends of its finished actions", sendAll(b.design, ownedBy(b.design, finished, victim), runs))
	report(name, "after a daemon was killed, keys handed out before, first sent now", sendAll(b.design, unsent, runs))
	report(name, "after a daemon was killed, new actions", sendAll(b.design, issueKeys(b.design), runs))
	close(release)
	ended.Wait()
}

func (b *bench) setOutage(o standin.Outage) {
	b.server.Faults.Update(func(f *kvserver.Faults) { f.Outage = o })
}

func issueKeys(d design) []uuid.UUID {
	keys := make([]uuid.UUID, faultActions)
	for i := range keys {
		keys[i] = d.issue()
	}
	return keys
}

func ownedBy(d design, keys []uuid.UUID, daemon int) []uuid.UUID {
	var out []uuid.UUID
	for _, key := range keys {
		if d.owner(key) == daemon {
			out = append(out, key)
		}
	}
	return out
}

// sendAll sends actions at a fixed interval, without waiting for their answers.
// The recorded latency is the time from arrival to answer.
func sendAll(d design, keys []uuid.UUID, runs *tally) *tally {
	t := newTally()
	var wg sync.WaitGroup
	for _, key := range keys {
		wg.Go(func() {
			arrived := time.Now()
			t.addOutcome(d.submit(key, func(context.Context) (claims.Result, error) { return runService(runs, key) }))
			t.addLatency(time.Since(arrived))
		})
		time.Sleep(faultSpacing)
	}
	wg.Wait()
	return t
}

func report(name, situation string, t *tally) {
	fmt.Printf("| %s | %s | %d | %d | %d | %d | %s | %s |\n",
		name, situation, t.done, t.recorded, t.notRun, t.unknown, t.quantile(50), t.quantile(99))
}
