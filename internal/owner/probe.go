package owner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
)

// gateState is whether a gate accepts new requests.
type gateState int

const (
	// active: the gate accepts new requests.
	active gateState = iota
	// suspended: the upstream is leaving, suspect or gone, or was recently
	// suspect.
	suspended
	// probing: the upstream is listed as live again but has not answered a probe.
	probing
)

const (
	// probeInterval is the time between two probes of an upstream.
	probeInterval = 500 * time.Millisecond
	// probeTimeout limits the duration of one probe.
	probeTimeout = 500 * time.Millisecond
)

// suspend refuses all queued and new requests.
func (g *gate) suspend(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == active {
		g.deliver(g.scheduler.Drain(now))
	}
	g.state = suspended
}

// beginProbe changes a suspended gate to probing. It reports whether it did.
func (g *gate) beginProbe() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != suspended {
		return false
	}
	g.state = probing
	return true
}

func (g *gate) isProbing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state == probing
}

// resume accepts new requests again after a successful probe. It returns false if
// the gate was suspended in the meantime.
func (g *gate) resume() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != probing {
		return false
	}
	g.state = active
	// Earlier requests were continued on other upstreams; those that this upstream
	// still runs count as foreign load.
	g.history = loadHistory{}
	g.assumeMeanLoad(time.Now())
	g.scheduler.Resume()
	return true
}

// probe sends health checks to an upstream until it answers one, and then resumes
// the gate. Without a probe, a frozen upstream would accept the connection of a
// real request and never respond. Earlier requests that the upstream still runs
// count as foreign load.
func (o *Owner) probe(ctx context.Context, g *gate) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for g.isProbing() {
		if o.checkHealth(ctx, g.name) == nil {
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

// errNotListed means that the host list doesn't name an upstream.
var errNotListed = errors.New("upstream is not listed")

// checkHealth returns nil if the upstream answers an HTTP request with any status.
func (o *Owner) checkHealth(ctx context.Context, upstream string) error {
	state, known := o.View().Upstreams[upstream]
	if !known {
		return errNotListed
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	o.Metrics.Probes.Inc(1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+state.Address+engineapi.PathHealth, nil)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	response, err := httpClient().Do(request)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	return response.Body.Close()
}
