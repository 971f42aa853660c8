package replay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/engine"
	"github.com/verbenatrail/verbenatrail/internal/status"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// metricBrokenStreams is the metric that counts engine streams interrupted at their
// owner.
const metricBrokenStreams = "owner.streams_broken.streams"

// stateLive is the state of an upstream that accepts new requests.
const stateLive = "live"

// sampler periodically reads the state of all engines and daemons.
type sampler struct {
	layout  *layout.Layout
	pools   map[string]string
	admin   *adminClient
	started time.Time
	samples []Sample
}

func newSampler(l *layout.Layout, t *trace.Trace, admin *adminClient, started time.Time) *sampler {
	s := &sampler{layout: l, pools: make(map[string]string), admin: admin, started: started}
	for _, e := range t.Settings.Engines {
		s.pools[e.Name] = e.Model
	}
	return s
}

// run takes samples until the context is done.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		s.samples = append(s.samples, s.collect(ctx))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// collect reads all processes concurrently. Those that don't respond are omitted.
func (s *sampler) collect(ctx context.Context) Sample {
	sample := Sample{At: time.Since(s.started)}
	var mu sync.Mutex
	var group errgroup.Group
	for _, p := range s.layout.Processes {
		group.Go(func() error { s.readProcess(ctx, &p, &sample, &mu); return nil })
	}
	_ = group.Wait()
	sample.markLive()
	return sample
}

// markLive sets Live for the engines to which at least one daemon sends new requests.
func (s *Sample) markLive() {
	live := make(map[string]bool)
	for _, d := range s.Daemons {
		for _, name := range d.Live {
			live[name] = true
		}
	}
	for i := range s.Engines {
		s.Engines[i].Live = live[s.Engines[i].Name]
	}
}

func (s *sampler) readProcess(ctx context.Context, p *layout.Process, into *Sample, mu *sync.Mutex) {
	switch p.Kind {
	case layout.KindEngine:
		if e, ok := s.readEngine(ctx, p); ok {
			mu.Lock()
			defer mu.Unlock()
			into.Engines = append(into.Engines, e)
		}
	case layout.KindRouter, layout.KindDirectory:
		if d, ok := s.readDaemon(ctx, p); ok {
			mu.Lock()
			defer mu.Unlock()
			into.Daemons = append(into.Daemons, d)
		}
	}
}

func (s *sampler) readEngine(ctx context.Context, p *layout.Process) (EngineSample, bool) {
	var state engine.State
	if s.admin.get(ctx, p.Address, standin.PathState, &state) != nil {
		return EngineSample{}, false
	}
	return EngineSample{
		Name: p.Name, Pool: s.pools[p.Name], InFlight: state.Running + state.Waiting,
		Accepted: state.Chats, PromptTokens: state.PromptTokens, CachedTokens: state.CachedTokens,
	}, true
}

func (s *sampler) readDaemon(ctx context.Context, p *layout.Process) (DaemonSample, bool) {
	var page status.Page
	if s.admin.get(ctx, p.Admin, status.Path, &page) != nil {
		return DaemonSample{}, false
	}
	var metrics status.Metrics
	if s.admin.get(ctx, p.Admin, status.MetricsPath, &metrics) != nil {
		return DaemonSample{}, false
	}
	sample := DaemonSample{
		Name: p.Name, Revision: page.ConfigRevision, ControlBytes: metrics.ControlBytes(),
		BrokenStreams: metrics[metricBrokenStreams].Count,
	}
	for _, u := range page.Upstreams {
		if u.State == stateLive {
			sample.Live = append(sample.Live, u.Name)
		}
	}
	return sample, true
}
