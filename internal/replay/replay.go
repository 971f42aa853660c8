package replay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/callers"
	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

const (
	sampleInterval   = 250 * time.Millisecond
	progressInterval = 5 * time.Second
	// settleTime is the wait after the last response, so that the last executions
	// and revisions appear in the samples.
	settleTime = time.Second
)

// Options configure Run.
type Options struct {
	Trace  *trace.Trace
	Layout *layout.Layout
	// Progress receives a line every progressInterval. It may be nil.
	Progress io.Writer
	// Callers are the settings of the callers. Run sets Directories, RequestDelay
	// and Seed.
	Callers callers.Settings
}

// Run replays a trace and returns the record. It returns an error if the trace could
// not be replayed, and none for outcomes that fail.
func Run(ctx context.Context, o Options) (*Record, error) {
	r, err := newRun(o)
	if err != nil {
		return nil, err
	}
	defer r.close()
	observerCtx, stopObservers := context.WithCancel(ctx)
	defer stopObservers()
	var observers errgroup.Group
	observers.Go(func() error { r.sampler.run(observerCtx); return nil })
	observers.Go(func() error { r.showProgress(observerCtx); return nil })
	r.playAll(ctx)
	_ = pause.For(ctx, settleTime)
	r.collectExecutions(ctx)
	stopObservers()
	_ = observers.Wait()
	r.record.Samples = r.sampler.samples
	return r.record, ctx.Err()
}

// run is the state of one replay.
type run struct {
	options Options
	started time.Time
	clients map[string]*callers.Client
	sampler *sampler
	admin   *adminClient

	mu     sync.Mutex
	record *Record
}

func newRun(o Options) (*run, error) {
	r := &run{
		options: o, started: time.Now(), clients: make(map[string]*callers.Client),
		admin: newAdminClient(), record: &Record{Trace: o.Trace},
	}
	var directories []string
	for _, p := range o.Layout.OfKind(layout.KindDirectory) {
		directories = append(directories, p.Address)
	}
	for i, w := range o.Trace.Workspaces {
		s := o.Callers
		s.Directories = directories
		s.RequestDelay = time.Duration(o.Trace.Settings.ClientDelayUS) * time.Microsecond
		s.Seed = o.Trace.Settings.Seed + uint64(i)
		r.clients[w.Name] = callers.New(s)
	}
	r.sampler = newSampler(o.Layout, o.Trace, r.admin, r.started)
	return r, r.checkTargets()
}

func (r *run) close() {
	for _, client := range r.clients {
		client.Close()
	}
	r.admin.close()
}

// checkTargets returns an error if the target of a fault isn't in the layout.
func (r *run) checkTargets() error {
	for _, fault := range r.options.Trace.Faults {
		if _, err := r.options.Layout.ByName(fault.Target); err != nil {
			return err
		}
	}
	return nil
}

// playAll sends all requests, injects the faults and makes the changes. It returns
// when all of them have ended.
func (r *run) playAll(ctx context.Context) {
	var group errgroup.Group
	for _, turns := range turnsByChat(r.options.Trace.Turns) {
		group.Go(func() error { r.playChat(ctx, turns); return nil })
	}
	for _, call := range r.options.Trace.Calls {
		group.Go(func() error { r.playCall(ctx, call); return nil })
	}
	for _, fault := range r.options.Trace.Faults {
		group.Go(func() error { r.playFault(ctx, fault); return nil })
	}
	group.Go(func() error { r.playChanges(ctx); return nil })
	_ = group.Wait()
}

// waitUntil waits until the given time since the start of the replay.
func (r *run) waitUntil(ctx context.Context, at time.Duration) error {
	return pause.For(ctx, time.Until(r.started.Add(at)))
}

func (r *run) showProgress(ctx context.Context) {
	if r.options.Progress == nil {
		return
	}
	for pause.For(ctx, progressInterval) == nil {
		r.mu.Lock()
		turns, calls := len(r.record.Turns), len(r.record.Calls)
		r.mu.Unlock()
		fmt.Fprintf(r.options.Progress, "replay %s: %d s of %d s, %d of %d turns and %d calls ended\n",
			r.options.Trace.Settings.Name, int(time.Since(r.started).Seconds()),
			int(r.options.Trace.Settings.Duration().Seconds()), turns, len(r.options.Trace.Turns), calls)
	}
}
