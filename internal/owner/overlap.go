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
	// sampleInterval is the time between two samples of the own load.
	sampleInterval = 50 * time.Millisecond
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

// overlap estimates the load that a former owner still has on an upstream,
// from the upstream's own report and from what this owner had at the time that
// the report speaks of.
type overlap struct {
	samples []loadSample
	// reported is set after the first report.
	reported bool
}

// record keeps a sample of the own load.
func (v *overlap) record(sample loadSample) {
	v.samples = append(v.samples, sample)
	for sample.at.Sub(v.samples[0].at) > historyTime {
		v.samples = v.samples[1:]
	}
}

// foreign returns the part of a reported load that isn't this owner's.
func (v *overlap) foreign(reported int, measuredAt time.Time) int {
	return max(0, reported-v.ownAt(measuredAt))
}

// ownAt returns the highest own load around a time, zero before the first
// sample. A lower value would take own requests for a former owner's.
func (v *overlap) ownAt(at time.Time) int {
	own := 0
	for _, sample := range v.samples {
		if sample.at.Sub(at).Abs() <= clockAllowance {
			own = max(own, sample.inFlight)
		}
	}
	return own
}

// watchOverlap reads an upstream's report until a former owner's requests must
// have ended, and then clears the foreign load.
func (o *Owner) watchOverlap(ctx context.Context, g *gate) {
	ctx, cancel := context.WithTimeout(ctx, overlapTime)
	defer cancel()
	defer func() { g.setForeign(time.Now(), 0) }()
	estimate := &overlap{}
	g.assumeMean(time.Now())
	samples := time.NewTicker(sampleInterval)
	defer samples.Stop()
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-samples.C:
			estimate.record(loadSample{at: now, inFlight: g.inFlight()})
			if !estimate.reported {
				g.assumeMean(now)
			}
		case <-reports.C:
			o.updateForeign(ctx, g, estimate)
		}
	}
}

func (o *Owner) updateForeign(ctx context.Context, g *gate, estimate *overlap) {
	report, err := o.readLoad(ctx, g.name)
	if err != nil {
		return
	}
	estimate.reported = true
	measuredAt := time.UnixMilli(report.MeasuredAtMS)
	resumed := g.resumedSince(measuredAt.Add(-clockAllowance))
	g.setForeign(time.Now(), max(0, estimate.foreign(report.Running+report.Waiting, measuredAt)-resumed))
}

// assumeMean counts a former owner's requests up to the pool's mean, until the
// upstream has reported its load.
func (g *gate) assumeMean(now time.Time) {
	g.mu.Lock()
	mean, own := g.mean, g.scheduler.InFlight()+g.forced
	g.mu.Unlock()
	g.setForeign(now, max(0, int(math.Ceil(mean))-own))
}

// resumedSince counts the running streams that were resumed here after a time:
// an earlier report has counted them as the former owner's.
func (g *gate) resumedSince(at time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for s := range g.resumed {
		if s.started.After(at) {
			count++
		}
	}
	return count
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
