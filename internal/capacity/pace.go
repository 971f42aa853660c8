package capacity

import (
	"context"
	"sort"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/verbenatrail/verbenatrail/internal/pause"
)

// pacedResult is the result of calls that were started at an even rate.
type pacedResult struct {
	// done counts the calls that succeeded, failed those that did not.
	done, failed int
	// latencies are the times that the successful calls returned, in seconds.
	latencies []float64
	seconds   float64
}

// latencyQuantile returns a quantile of the latencies in seconds, or zero if no call
// succeeded.
func (p pacedResult) latencyQuantile(quantile float64) float64 {
	if len(p.latencies) == 0 {
		return 0
	}
	sort.Float64s(p.latencies)
	return stat.Quantile(quantile, stat.Empirical, p.latencies, nil)
}

// rate returns the number of calls per second that succeeded.
func (p pacedResult) rate() float64 { return float64(p.done) / p.seconds }

// pacedCall makes one call and returns its latency as the caller sees it.
type pacedCall func(ctx context.Context, number int) (time.Duration, error)

// runPaced starts calls at an even rate for a time and waits until all have ended.
func runPaced(ctx context.Context, perSecond float64, length time.Duration, call pacedCall) pacedResult {
	var mu sync.Mutex
	var result pacedResult
	var group sync.WaitGroup
	begun := time.Now()
	for i := range int(perSecond * length.Seconds()) {
		due := begun.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		if pause.For(ctx, time.Until(due)) != nil {
			break
		}
		group.Go(func() {
			latency, err := call(ctx, i)
			mu.Lock()
			defer mu.Unlock()
			result.add(latency, err)
		})
	}
	group.Wait()
	result.seconds = time.Since(begun).Seconds()
	return result
}

func (p *pacedResult) add(latency time.Duration, err error) {
	if err != nil {
		p.failed++
		return
	}
	p.done++
	p.latencies = append(p.latencies, latency.Seconds())
}
