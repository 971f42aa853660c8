package capacity

import (
	"context"
	"sort"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/verbenatrail/verbenatrail/internal/pause"
)

// paced is the outcome of a paced load.
type paced struct {
	// done calls succeeded, failed ones did not.
	done, failed int
	// waits are the times that the calls returned, in seconds.
	waits   []float64
	seconds float64
}

// wait returns a quantile of the waits, zero without any.
func (p paced) wait(quantile float64) float64 {
	if len(p.waits) == 0 {
		return 0
	}
	sort.Float64s(p.waits)
	return stat.Quantile(quantile, stat.Empirical, p.waits, nil)
}

// rate is the calls that succeeded each second.
func (p paced) rate() float64 { return float64(p.done) / p.seconds }

// pacedCall makes one call and returns the time that its caller waited for.
type pacedCall func(ctx context.Context, number int) (time.Duration, error)

// runPaced starts calls at an even rate for a time and waits for their ends.
func runPaced(ctx context.Context, perSecond float64, length time.Duration, call pacedCall) paced {
	var mu sync.Mutex
	var result paced
	var group sync.WaitGroup
	begun := time.Now()
	for i := range int(perSecond * length.Seconds()) {
		due := begun.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		if pause.For(ctx, time.Until(due)) != nil {
			break
		}
		group.Go(func() {
			wait, err := call(ctx, i)
			mu.Lock()
			defer mu.Unlock()
			result.add(wait, err)
		})
	}
	group.Wait()
	result.seconds = time.Since(begun).Seconds()
	return result
}

func (p *paced) add(wait time.Duration, err error) {
	if err != nil {
		p.failed++
		return
	}
	p.done++
	p.waits = append(p.waits, wait.Seconds())
}
