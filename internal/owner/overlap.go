package owner

import (
	"context"
	"encoding/json"
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
	// historyLength is the number of past loads that are kept, one a report.
	historyLength = 16
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
	until   time.Time
}

// record keeps a sample of the own load.
func (v *overlap) record(sample loadSample) {
	v.samples = append(v.samples, sample)
	if len(v.samples) > historyLength {
		v.samples = v.samples[1:]
	}
}

// foreign returns the part of a reported load that isn't this owner's.
func (v *overlap) foreign(reported int, measuredAt time.Time) int {
	return max(0, reported-v.ownAt(measuredAt))
}

// ownAt returns the own load at a time, zero before the first sample.
func (v *overlap) ownAt(at time.Time) int {
	own := 0
	for _, sample := range v.samples {
		if sample.at.After(at) {
			break
		}
		own = sample.inFlight
	}
	return own
}

// watchOverlap reads an upstream's report until a former owner's requests must
// have ended, and then clears the foreign load.
func (o *Owner) watchOverlap(ctx context.Context, g *gate) {
	estimate := &overlap{until: time.Now().Add(overlapTime)}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	defer func() { g.setForeign(time.Now(), 0) }()
	for time.Now().Before(estimate.until) {
		estimate.record(loadSample{at: time.Now(), inFlight: g.inFlight()})
		if report, err := o.readLoad(ctx, g.name); err == nil {
			measuredAt := time.UnixMilli(report.MeasuredAtMS)
			g.setForeign(time.Now(), estimate.foreign(report.Running+report.Waiting, measuredAt))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
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
