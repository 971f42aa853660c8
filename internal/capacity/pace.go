package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// paced is the outcome of a paced load.
type paced struct {
	// done calls succeeded, failed ones did not.
	done, failed int64
	seconds      float64
}

// rate is the calls that succeeded each second.
func (p paced) rate() float64 { return float64(p.done) / p.seconds }

// runPaced starts calls at an even rate for a time and waits for their ends.
func runPaced(ctx context.Context, perSecond float64, length time.Duration, call func(context.Context, int) error) paced {
	var done, failed atomic.Int64
	var group sync.WaitGroup
	begun := time.Now()
	total := int(perSecond * length.Seconds())
	for i := range total {
		due := begun.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		if !pause(ctx, time.Until(due)) {
			break
		}
		group.Go(func() {
			if call(ctx, i) != nil {
				failed.Add(1)
				return
			}
			done.Add(1)
		})
	}
	group.Wait()
	return paced{done: done.Load(), failed: failed.Load(), seconds: time.Since(begun).Seconds()}
}
