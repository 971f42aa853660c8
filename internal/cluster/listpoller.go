package cluster

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/pause"
)

// maxListInterval bounds how far a long list stretches the poll interval.
const maxListInterval = 30 * time.Second

// listPoller reads the host list again and again.
type listPoller struct {
	http     *http.Client
	client   *hostlist.Client
	interval time.Duration
	// bytesPerSecond bounds the polls.
	bytesPerSecond float64
}

func newListPoller(o Options) *listPoller {
	client := &http.Client{Timeout: o.Settings.ListTimeout.Std()}
	return &listPoller{
		http:           client,
		client:         hostlist.NewClient(o.HostListURL, o.Self.Name, client),
		interval:       o.Settings.ListInterval.Std(),
		bytesPerSecond: float64(o.Settings.BytesPerSecond) * listShare,
	}
}

// listResult is the outcome of a poll.
type listResult struct {
	hostlist.Result
	err error
}

// run polls until the context ends.
func (p *listPoller) run(ctx context.Context, deliver func(listResult)) error {
	defer p.http.CloseIdleConnections()
	for {
		result := p.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		deliver(result)
		if pause.For(ctx, p.pause(result.Bytes)) != nil {
			return nil
		}
	}
}

// pause is the time to the next poll after one of that many bytes, with up to
// a tenth of jitter.
func (p *listPoller) pause(bytes int) time.Duration {
	const jitterParts = 10
	affordable := time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
	pause := max(p.interval, min(affordable, maxListInterval))
	return pause + rand.N(pause/jitterParts+1)
}

func (p *listPoller) poll(ctx context.Context) listResult {
	result, err := p.client.Poll(ctx)
	return listResult{Result: result, err: err}
}
