package cluster

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// maxListInterval is the maximum time between polls of a long list.
const maxListInterval = 30 * time.Second

// listPoller polls the host list periodically.
type listPoller struct {
	http     *http.Client
	client   *hostlist.Client
	interval time.Duration
	// bytesPerSecond is the rate that polls should not exceed; maxListInterval
	// takes precedence.
	bytesPerSecond float64
}

func newListPoller(o Options) *listPoller {
	timeout := o.Settings.ListTimeout.Std()
	client := &http.Client{Timeout: timeout, Transport: upstream.NewTransport(upstream.Dialer(timeout).DialContext, hostlist.MaxListBytes)}
	return &listPoller{
		http:           client,
		client:         hostlist.NewClient(o.HostListURL, o.Self.Name, client),
		interval:       o.Settings.ListInterval.Std(),
		bytesPerSecond: float64(o.Settings.BytesPerSecond) * listShare,
	}
}

// listResult is the result of a poll, or its error.
type listResult struct {
	hostlist.Result
	err error
}

// run polls until ctx is done and passes each result to deliver.
func (p *listPoller) run(ctx context.Context, deliver func(listResult)) error {
	defer p.http.CloseIdleConnections()
	for {
		result := p.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		deliver(result)
		if pause.For(ctx, p.delay(result.Bytes)) != nil {
			return nil
		}
	}
}

// delay returns the time until the next poll after a poll of the given size, with
// up to 10% of jitter.
func (p *listPoller) delay(bytes int) time.Duration {
	const jitterDivisor = 10
	affordable := time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
	delay := max(p.interval, min(affordable, maxListInterval))
	return delay + rand.N(delay/jitterDivisor+1)
}

func (p *listPoller) poll(ctx context.Context) listResult {
	result, err := p.client.Poll(ctx)
	return listResult{Result: result, err: err}
}
