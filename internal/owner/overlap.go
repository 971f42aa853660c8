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
)

const (
	// overlapTime is how long after a gate's first request a former owner's
	// requests may still run on its upstream.
	overlapTime = 15 * time.Second
	// reportInterval is the time between two reads of an upstream's own report.
	reportInterval = 500 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// historyTime is how far back samples are kept; reports lag by less.
	historyTime = 6 * time.Second
	// clockAllowance is how far an upstream's clock and the times of samples may
	// be apart.
	clockAllowance = 500 * time.Millisecond
)

// loadSample is a gate's own load at one time.
type loadSample struct {
	at       time.Time
	inFlight int
}

// loadHistory is a gate's own load over the last seconds.
type loadHistory struct {
	samples []loadSample
}

// record keeps a sample, and drops those that no report can speak of.
func (h *loadHistory) record(sample loadSample) {
	h.samples = append(h.samples, sample)
	for sample.at.Sub(h.samples[0].at) > historyTime {
		h.samples = h.samples[1:]
	}
}

// foreign returns the part of a reported load that isn't this owner's.
func (h *loadHistory) foreign(reported int, measuredAt time.Time) int {
	return max(0, reported-h.ownAt(measuredAt))
}

// ownAt returns the highest own load around a time, zero before the first
// sample. A lower value would take own requests for a former owner's.
func (h *loadHistory) ownAt(at time.Time) int {
	own := 0
	for _, sample := range h.samples {
		if sample.at.Sub(at).Abs() <= clockAllowance {
			own = max(own, sample.inFlight)
		}
	}
	return own
}

// watchOverlap reads an upstream's report until a former owner's requests must
// have ended, and then clears the foreign load.
func (o *Owner) watchOverlap(ctx context.Context, g *gate) {
	if !g.beginOverlap() {
		return
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for !g.endOverlap(time.Now()) {
		o.updateForeign(ctx, g)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Owner) updateForeign(ctx context.Context, g *gate) {
	report, err := o.readLoad(ctx, g.name)
	if err != nil {
		return
	}
	g.takeReport(time.Now(), report.Running+report.Waiting, time.UnixMilli(report.MeasuredAtMS))
}

// beginOverlap begins or extends an overlap; it returns false when one is
// watched already.
func (g *gate) beginOverlap() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	watched := now.Before(g.overlapUntil)
	g.overlapUntil = now.Add(overlapTime)
	if g.scheduler.InFlight()+g.forced == 0 {
		g.assumeMean(now)
	}
	return !watched
}

// assumeMean takes the mean of the pool for the requests of a former owner,
// until the upstream reports its load. The caller holds the lock.
func (g *gate) assumeMean(now time.Time) { g.setForeign(now, int(math.Ceil(g.mean))) }

// endOverlap clears the estimate and returns true once the overlap is over.
func (g *gate) endOverlap(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.overlapUntil) {
		return false
	}
	g.setForeign(now, 0)
	return true
}

// takeReport updates the estimate of the foreign load. Streams that were
// resumed here since the report was measured count there as the former
// owner's.
func (g *gate) takeReport(now time.Time, reported int, measuredAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	foreign := g.history.foreign(reported, measuredAt)
	for s := range g.resumed {
		if s.started.After(measuredAt.Add(-clockAllowance)) {
			foreign--
		}
	}
	g.setForeign(now, max(0, foreign))
}

var errNoReport = errors.New("upstream gave no load report")

func (o *Owner) readLoad(ctx context.Context, upstream string) (*engineapi.Load, error) {
	state, known := o.View().Upstreams[upstream]
	if !known {
		return nil, errNoReport
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	o.Metrics.LoadReports.Inc(1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+state.Address+engineapi.PathLoad, nil)
	if err != nil {
		return nil, errors.Wrap(err, "load report")
	}
	response, err := reportClient().Do(request)
	if err != nil {
		return nil, errors.Wrap(errNoReport, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	report := &engineapi.Load{}
	if err := json.NewDecoder(response.Body).Decode(report); err != nil {
		return nil, errors.Wrap(errNoReport, err.Error())
	}
	return report, nil
}

// reportClient returns the client of load reports, which are few.
var reportClient = sync.OnceValue(func() *http.Client {
	dialer := &net.Dialer{Timeout: reportTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
})
