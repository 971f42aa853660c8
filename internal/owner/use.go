package owner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/membership"
)

// use tells whether a gate takes new work.
type use int

const (
	// inUse: the upstream takes new work.
	inUse use = iota
	// suspended: the upstream is leaving, suspect or gone.
	suspended
	// probing: the upstream is said to be back and has to answer a probe.
	probing
)

const (
	// probeInterval is the time between two probes of an upstream that is said
	// to be back.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
)

// suspend refuses all waiting and new requests.
func (g *gate) suspend(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.use == inUse {
		g.deliver(g.scheduler.Drain(now))
	}
	g.use = suspended
}

// beginProbe reports whether a probe has to begin now.
func (g *gate) beginProbe() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.use != suspended {
		return false
	}
	g.use = probing
	return true
}

func (g *gate) isProbing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.use == probing
}

// resume takes new work again after a probe was answered; false when the
// upstream was suspended meanwhile.
func (g *gate) resume() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.use != probing {
		return false
	}
	g.use = inUse
	// Requests from before went on elsewhere: what the upstream still runs of
	// them is foreign.
	g.history = loadHistory{}
	g.assumeMean(time.Now())
	g.scheduler.Resume()
	return true
}

// checkNew probes the upstream of a new gate before its first request, since a
// former owner may have lost it. It returns false when it didn't answer; then
// probing goes on.
func (o *Owner) checkNew(ctx context.Context, g *gate) bool {
	g.check.Do(func() {
		if o.answers(ctx, g.name) == nil || ctx.Err() != nil {
			return
		}
		o.Report(g.name, membership.ConnSilent)
		g.suspend(time.Now())
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.use == inUse
}

// probe asks an upstream that was out of use until it answers. A frozen
// upstream accepts connections, and would keep a request that is sent instead.
// What it still runs from before counts as foreign.
func (o *Owner) probe(ctx context.Context, g *gate) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for g.isProbing() {
		if o.answers(ctx, g.name) == nil {
			if g.resume() {
				o.watchOverlap(ctx, g)
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// answers returns nil when an upstream answers an HTTP request with any status.
func (o *Owner) answers(ctx context.Context, upstream string) error {
	state, known := o.View().Upstreams[upstream]
	if !known {
		return errors.New("upstream isn't listed")
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	o.Metrics.Probes.Inc(1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+state.Address+engineapi.PathHealth, nil)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	response, err := reportClient().Do(request)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	return response.Body.Close()
}
