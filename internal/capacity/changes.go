package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
	"github.com/verbenatrail/verbenatrail/internal/status"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

const (
	// timedChanges is the number of changes whose time until in force is measured.
	timedChanges = 6
	// countedChanges is the number of changes whose costs are measured, without
	// polls that would add to them.
	countedChanges = 10
	changeInterval = time.Second
	inForceTimeout = 60 * time.Second
)

// change commits new labels of one workspace.
func (e *Experiment) change(ctx context.Context) error {
	committer := configstore.NewCommitter(configstore.CommitterOptions{Store: e.store, Author: "capacity"})
	if e.revision == 0 {
		head, err := configstore.NewReader(e.store).Head(ctx)
		if err != nil {
			return err
		}
		e.revision = head.Revision
	}
	i := e.random.IntN(e.layout.Size.Workspaces)
	relabelled := workspaceChange(i, i+int(e.revision))
	revision, err := committer.Commit(ctx, e.revision, []declare.Change{relabelled})
	if err != nil {
		return errors.Wrap(err, "commit a change")
	}
	e.revision = revision
	return nil
}

// waitRevision waits until the newest committed revision is in force at every
// router.
func (e *Experiment) waitRevision(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	var group sync.WaitGroup
	timedOut := make([]bool, len(e.layout.Routers))
	for i, r := range e.layout.Routers {
		group.Go(func() { timedOut[i] = !e.reachesRevision(ctx, r, e.revision) })
	}
	group.Wait()
	for _, expired := range timedOut {
		if expired {
			return errors.New("timed out waiting until a change is in force at all routers: see the routers' logs")
		}
	}
	return nil
}

func (e *Experiment) reachesRevision(ctx context.Context, r Node, revision uint64) bool {
	for ctx.Err() == nil {
		var page status.Page
		err := e.sampler.get(ctx, r.Admin, status.Path, &page)
		if err == nil && page.ConfigRevision >= max(revision, 1) {
			return true
		}
		_ = pause.For(ctx, pollInterval)
	}
	return false
}

// errIdleNotMeasured means that the idle costs, which are to be subtracted, are
// missing.
var errIdleNotMeasured = errors.New("costs of an idle fleet, which are subtracted, are missing: run the phase idle first")

// Changes measures the time until a change is in force at all routers, and the
// costs of changes beyond those of an idle fleet.
func (e *Experiment) Changes(ctx context.Context) error {
	if e.idle.after == nil {
		return errIdleNotMeasured
	}
	if err := e.propagationTimes(ctx); err != nil {
		return err
	}
	busy, err := e.span(ctx, e.commitAtIntervals)
	if err != nil {
		return err
	}
	e.record("memory after changes: resident, largest router", "B", busy.after.highest(telemetry.GaugeResident))
	e.record("memory after changes: resident, directory", "B", busy.after.directory.gauge(telemetry.GaugeResident))
	e.recordChangeCosts(e.idle, busy)
	return nil
}

func (e *Experiment) propagationTimes(ctx context.Context) error {
	slowest, sum := 0.0, 0.0
	for range timedChanges {
		if err := e.change(ctx); err != nil {
			return err
		}
		committed := time.Now()
		if err := e.waitRevision(ctx); err != nil {
			return err
		}
		taken := time.Since(committed).Seconds()
		slowest = max(slowest, taken)
		sum += taken
		// Random pauses spread the changes over all phases of the probe rounds.
		_ = pause.For(ctx, time.Duration(e.random.Int64N(int64(changeInterval))))
	}
	e.record("change: until in force everywhere, mean", "s", sum/timedChanges)
	e.record("change: until in force everywhere, slowest of six", "s", slowest)
	return nil
}

func (e *Experiment) commitAtIntervals(ctx context.Context) error {
	for range countedChanges {
		if err := e.change(ctx); err != nil {
			return err
		}
		_ = pause.For(ctx, changeInterval)
	}
	return ctx.Err()
}

func (e *Experiment) recordChangeCosts(idle, busy Span) {
	perRouter := float64(countedChanges * len(e.layout.Routers))
	idleCPU := idle.cpu() / idle.seconds() * busy.seconds()
	e.record("change: processor per router", "s", (busy.cpu()-idleCPU)/perRouter)
	idleDirectory := idle.directoryCPU() / idle.seconds() * busy.seconds()
	e.record("change: processor of a directory", "s", (busy.directoryCPU()-idleDirectory)/countedChanges)
	e.record("change: bytes from peers per router", "B", busy.count("config.fetched_from_peers.bytes")/perRouter)
	e.record("change: bytes served to peers per router", "B", busy.count("config.served_to_peers.bytes")/perRouter)
	e.record("change: bytes from the key-value service per router", "B", busy.count("config.fetched_from_store.bytes")/perRouter)
	e.record("change: fetches from peers per router", "calls", busy.count("config.fetches_from_peers.calls")/perRouter)
	idleCalls := callsBetween(idle.before.kv, idle.after.kv)
	for i, c := range callsBetween(busy.before.kv, busy.after.kv) {
		idleCount := float64(idleCalls[i].calls) / idle.seconds() * busy.seconds()
		e.record("key-value "+c.kind+", per change", "calls", (float64(c.calls)-idleCount)/countedChanges)
	}
}

// recoveryWindow is the time after an outage for which calls are counted.
const recoveryWindow = 5 * time.Second

// Outage makes the key-value service refuse calls for a time, and then measures the
// recovery: the time until a change that waited for the end of the outage is in force
// at all routers, and the calls in that time.
func (e *Experiment) Outage(ctx context.Context, length time.Duration) error {
	if err := e.sampler.post(ctx, e.layout.KV, standin.PathFaults, kvserver.Faults{Outage: standin.OutageRefuse}); err != nil {
		return err
	}
	during, err := e.idleSpan(ctx, length)
	if err != nil {
		return err
	}
	failed := during.after.kv.OutageFailed - during.before.kv.OutageFailed
	e.record("outage: failed calls of the fleet", "calls/s", float64(failed)/during.seconds())
	if err := e.sampler.post(ctx, e.layout.KV, standin.PathFaults, kvserver.Faults{}); err != nil {
		return err
	}
	ended := time.Now()
	recovery, err := e.span(ctx, func(ctx context.Context) error { return e.changeAfterOutage(ctx, ended) })
	if err != nil {
		return err
	}
	e.recordCalls("in 5 s after an outage", "calls", recovery.before.kv, recovery.after.kv, 1)
	return nil
}

func (e *Experiment) changeAfterOutage(ctx context.Context, ended time.Time) error {
	if err := e.change(ctx); err != nil {
		return err
	}
	if err := e.waitRevision(ctx); err != nil {
		return err
	}
	e.record("outage: until a waiting change is in force everywhere", "s", time.Since(ended).Seconds())
	_ = pause.For(ctx, recoveryWindow-time.Since(ended))
	return ctx.Err()
}
