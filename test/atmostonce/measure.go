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

// Sizes of the runs.
const (
	warmUp        = 3 * time.Second
	serviceTime   = 5 * time.Millisecond
	faultActions  = 256
	faultSpacing  = 20 * time.Millisecond
	settleTime    = time.Second
	histogramMost = int64(time.Minute)
	okStatus      = 200
)

// tally counts the outcomes of requests and their times.
type tally struct {
	mu                              sync.Mutex
	done, recorded, notRun, unknown int
	times                           *hdrhistogram.Histogram
	runs                            map[uuid.UUID]int
}

func newTally() *tally {
	return &tally{times: hdrhistogram.New(1, histogramMost, 3), runs: make(map[uuid.UUID]int)}
}

func (t *tally) outcome(result claims.Result, r *refusal.Refusal) {
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

func (t *tally) took(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.times.RecordValue(int64(d))
}

func (t *tally) ran(key uuid.UUID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[key]++
}

func (t *tally) mostRuns() int {
	most := 0
	for _, n := range t.runs {
		most = max(most, n)
	}
	return most
}

func (t *tally) quantile(percent float64) string {
	return milliseconds(time.Duration(t.times.ValueAtQuantile(percent)))
}

// measureLoad sends actions at a rate, with exponential gaps, and prints what
// each cost. The first seconds don't count: they use up the burst that the
// service allows.
func measureLoad(o options, name string, rate int) error {
	b, err := newBench(o, name)
	if err != nil {
		return err
	}
	defer b.close()
	rng := rand.New(rand.NewSource(o.seed))
	send(b.way, rng, rate, warmUp, newTally())
	before := b.server.State()
	bytesBefore := b.wire.bytes.Load()
	t := newTally()
	measured := time.Duration(o.seconds) * time.Second
	actions := send(b.way, rng, rate, measured, t)
	after := b.server.State()
	writes := float64(after.Writes - before.Writes)
	fmt.Printf("| %s | %d | %d | %d | %d | %.2f | %.0f | %.2f | %d | %d | %s | %s | %d |\n",
		name, rate, t.done, t.notRun, t.unknown, writes/float64(actions), writes/measured.Seconds(),
		float64(after.Reads-before.Reads)/float64(actions), after.RateLimited-before.RateLimited,
		(b.wire.bytes.Load()-bytesBefore)/int64(actions),
		t.quantile(50), t.quantile(99), t.mostRuns())
	return nil
}

// send sends actions for a time and waits for their ends. The times are those
// from the arrival to the dispatch.
func send(w way, rng *rand.Rand, rate int, length time.Duration, t *tally) int {
	var all sync.WaitGroup
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
		all.Go(func() {
			key := w.issue()
			t.outcome(w.do(key, func(context.Context) (claims.Result, error) {
				t.took(time.Since(arrived))
				return runService(t, key)
			}))
		})
	}
	all.Wait()
	return actions
}

func runService(t *tally, key uuid.UUID) (claims.Result, error) {
	t.ran(key)
	time.Sleep(serviceTime)
	return claims.Result{Status: okStatus}, nil
}

// measureFaults prints what requests are told during an outage of the service
// and after a daemon's death.
func measureFaults(o options, name string) error {
	b, err := newBench(o, name)
	if err != nil {
		return err
	}
	defer b.close()
	keys := issue(b.way)
	runs := newTally()
	report(name, "before the faults, new actions", sendAll(b.way, keys, runs))
	time.Sleep(settleTime)
	b.setOutage(standin.OutageRefuse)
	fresh := issue(b.way)
	report(name, "outage, new actions", sendAll(b.way, fresh, runs))
	report(name, "outage, resends of finished actions", sendAll(b.way, keys, runs))
	b.setOutage(standin.OutageNone)
	time.Sleep(settleTime)
	report(name, "after the outage, resends of its new actions", sendAll(b.way, fresh, runs))
	measureDeath(b, name, keys, runs)
	if most := runs.mostRuns(); most > 1 {
		return fmt.Errorf("%s: an action ran %d times", name, most)
	}
	return nil
}

// measureDeath kills a daemon with actions in flight.
func measureDeath(b *bench, name string, finished []uuid.UUID, runs *tally) {
	unsent := issue(b.way)
	flying := issue(b.way)
	var started, ended sync.WaitGroup
	release := make(chan struct{})
	for _, key := range flying {
		started.Add(1)
		ended.Go(func() {
			_, _ = b.way.do(key, func(context.Context) (claims.Result, error) {
				runs.ran(key)
				started.Done()
				<-release
				return claims.Result{Status: okStatus}, nil
			})
		})
	}
	started.Wait()
	const victim = 0
	b.way.kill(victim)
	report(name, "after a daemon's death, resends of its actions in flight", sendAll(b.way, owned(b.way, flying, victim), runs))
	report(name, "after a daemon's death, resends of its finished actions", sendAll(b.way, owned(b.way, finished, victim), runs))
	report(name, "after a daemon's death, keys handed out before, first sent now", sendAll(b.way, unsent, runs))
	report(name, "after a daemon's death, new actions", sendAll(b.way, issue(b.way), runs))
	close(release)
	ended.Wait()
}

func (b *bench) setOutage(o standin.Outage) {
	b.server.Faults.Update(func(f *kvserver.Faults) { f.Outage = o })
}

func issue(w way) []uuid.UUID {
	keys := make([]uuid.UUID, faultActions)
	for i := range keys {
		keys[i] = w.issue()
	}
	return keys
}

func owned(w way, keys []uuid.UUID, daemon int) []uuid.UUID {
	var out []uuid.UUID
	for _, key := range keys {
		if w.owner(key) == daemon {
			out = append(out, key)
		}
	}
	return out
}

// sendAll sends actions one after the other's start; the times are those to
// the answer.
func sendAll(w way, keys []uuid.UUID, runs *tally) *tally {
	t := newTally()
	var all sync.WaitGroup
	for _, key := range keys {
		all.Go(func() {
			arrived := time.Now()
			t.outcome(w.do(key, func(context.Context) (claims.Result, error) { return runService(runs, key) }))
			t.took(time.Since(arrived))
		})
		time.Sleep(faultSpacing)
	}
	all.Wait()
	return t
}

func report(name, situation string, t *tally) {
	fmt.Printf("| %s | %s | %d | %d | %d | %d | %s | %s |\n",
		name, situation, t.done, t.recorded, t.notRun, t.unknown, t.quantile(50), t.quantile(99))
}
