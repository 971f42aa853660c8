package owner

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

const (
	// overlapDuration is how long a previous owner's requests may still run on an
	// upstream, counted from the gate's first request here or from when this router
	// owns it again.
	overlapDuration = 15 * time.Second
	// reportInterval is the time between two reads of an upstream's load report.
	reportInterval = 500 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// maxReportBytes bounds an upstream's load report.
	maxReportBytes = 64 << 10
	// historyRetention is how long load samples are kept; load reports lag by less.
	historyRetention = 6 * time.Second
	// maxClockSkew is the tolerated difference between an upstream's clock and the
	// times of local samples.
	maxClockSkew = 500 * time.Millisecond
)

// loadSample is the number of requests from this router that a gate had in flight
// at one time.
type loadSample struct {
	at       time.Time
	inFlight int
}

// loadHistory holds the load samples of the last historyRetention.
type loadHistory struct {
	samples []loadSample
}

// record adds a sample and removes those older than any load report.
func (h *loadHistory) record(sample loadSample) {
	h.samples = append(h.samples, sample)
	for sample.at.Sub(h.samples[0].at) > historyRetention {
		h.samples = h.samples[1:]
	}
}

// foreign returns the part of a reported load that doesn't come from this router.
func (h *loadHistory) foreign(reported int, measuredAt time.Time) int {
	return max(0, reported-h.localAt(measuredAt))
}

// localAt returns the highest local load within maxClockSkew of a time, zero before
// the first sample. With a lower value, local requests would be counted as a
// previous owner's.
func (h *loadHistory) localAt(at time.Time) int {
	local := 0
	for _, sample := range h.samples {
		if sample.at.Sub(at).Abs() <= maxClockSkew {
			local = max(local, sample.inFlight)
		}
	}
	return local
}

// watchOverlap updates the foreign load from the upstream's load reports until a
// previous owner's requests must have ended, and then clears it.
func (o *Owner) watchOverlap(ctx context.Context, g *gate) {
	if !g.beginOverlap() {
		return
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for !g.endOverlap(time.Now()) {
		o.updateForeignLoad(ctx, g)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Owner) updateForeignLoad(ctx context.Context, g *gate) {
	report, err := o.fetchLoadReport(ctx, g.name)
	if err != nil {
		return
	}
	g.applyReport(time.Now(), report.Running+report.Waiting, time.UnixMilli(report.MeasuredAtMS))
}

// beginOverlap begins or extends an overlap. It returns false if one is already
// being watched.
func (g *gate) beginOverlap() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	watched := now.Before(g.overlapUntil)
	g.overlapUntil = now.Add(overlapDuration)
	if g.scheduler.InFlight()+g.forced == 0 {
		g.assumeMeanLoad(now)
	}
	return !watched
}

// assumeMeanLoad uses the mean load as the estimate of a previous owner's requests
// until the upstream reports its load. The caller holds the lock.
func (g *gate) assumeMeanLoad(now time.Time) { g.setForeign(now, int(math.Ceil(g.mean))) }

// endOverlap clears the foreign load and returns true once the overlap has ended.
func (g *gate) endOverlap(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.overlapUntil) {
		return false
	}
	g.setForeign(now, 0)
	return true
}

// applyReport updates the foreign load from a load report. Streams resumed here
// since the report was measured are subtracted, because the report includes them
// as a previous owner's.
func (g *gate) applyReport(now time.Time, reported int, measuredAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	foreign := g.history.foreign(reported, measuredAt)
	for s := range g.resumed {
		if s.started.After(measuredAt.Add(-maxClockSkew)) {
			foreign--
		}
	}
	g.setForeign(now, max(0, foreign))
}

var errNoLoadReport = errors.New("no valid load report from upstream")

func (o *Owner) fetchLoadReport(ctx context.Context, upstream string) (*engineapi.Load, error) {
	state, known := o.View().Upstreams[upstream]
	if !known {
		return nil, errNoLoadReport
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	o.Metrics.LoadReports.Inc(1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+state.Address+engineapi.PathLoad, nil)
	if err != nil {
		return nil, errors.Wrap(err, "load report")
	}
	response, err := httpClient().Do(request)
	if err != nil {
		return nil, errors.Wrap(errNoLoadReport, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	report := &engineapi.Load{}
	if err := json.NewDecoder(response.Body).Decode(report); err != nil {
		return nil, errors.Wrap(errNoLoadReport, err.Error())
	}
	return report, nil
}

// httpClient returns the client for load reports and probes. These are rare, so
// connections are not kept alive.
var httpClient = sync.OnceValue(func() *http.Client {
	dialer := &net.Dialer{Timeout: reportTimeout}
	transport := upstream.NewTransport(dialer.DialContext, maxReportBytes)
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
})
