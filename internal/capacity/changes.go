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
	// watchedChanges are changes whose time until they are in force is taken.
	watchedChanges = 6
	// countedChanges are changes whose costs are counted, without polls.
	countedChanges = 10
	changeInterval = time.Second
	inForceTimeout = 60 * time.Second
)

// change commits one relabelled workspace.
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
	late := make([]bool, len(e.layout.Routers))
	for i, r := range e.layout.Routers {
		group.Go(func() { late[i] = !e.reaches(ctx, r, e.revision) })
	}
	group.Wait()
	for _, l := range late {
		if l {
			return errors.New("a change isn't in force everywhere in time: see the routers' logs")
		}
	}
	return nil
}

func (e *Experiment) reaches(ctx context.Context, r Node, revision uint64) bool {
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

// errNotIdle means that there is nothing to subtract.
var errNotIdle = errors.New("costs are taken over those of an idle fleet: measure idle first")

// Changes measures the time until a change is in force everywhere, and what
// changes cost.
func (e *Experiment) Changes(ctx context.Context) error {
	if e.idle.after == nil {
		return errNotIdle
	}
	if err := e.spreadTimes(ctx); err != nil {
		return err
	}
	busy, err := e.span(ctx, e.commitPaced)
	if err != nil {
		return err
	}
	e.note("memory after changes: resident, largest router", "B", busy.after.highest(telemetry.GaugeResident))
	e.note("memory after changes: resident, directory", "B", busy.after.directory.gauge(telemetry.GaugeResident))
	e.noteChangeCosts(e.idle, busy)
	return nil
}

func (e *Experiment) spreadTimes(ctx context.Context) error {
	slowest, sum := 0.0, 0.0
	for range watchedChanges {
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
		// Changes at random moments meet the rounds of probes at any phase.
		_ = pause.For(ctx, time.Duration(e.random.Int64N(int64(changeInterval))))
	}
	e.note("change: until in force everywhere, mean", "s", sum/watchedChanges)
	e.note("change: until in force everywhere, slowest of six", "s", slowest)
	return nil
}

func (e *Experiment) commitPaced(ctx context.Context) error {
	for range countedChanges {
		if err := e.change(ctx); err != nil {
			return err
		}
		_ = pause.For(ctx, changeInterval)
	}
	return ctx.Err()
}

func (e *Experiment) noteChangeCosts(idle, busy Span) {
	perRouter := float64(countedChanges * len(e.layout.Routers))
	idleCPU := idle.cpu() / idle.seconds() * busy.seconds()
	e.note("change: processor per router", "s", (busy.cpu()-idleCPU)/perRouter)
	idleDirectory := idle.directoryCPU() / idle.seconds() * busy.seconds()
	e.note("change: processor of a directory", "s", (busy.directoryCPU()-idleDirectory)/countedChanges)
	e.note("change: bytes from peers per router", "B", busy.count("config.fetched_from_peers.bytes")/perRouter)
	e.note("change: bytes served to peers per router", "B", busy.count("config.served_to_peers.bytes")/perRouter)
	e.note("change: bytes from the key-value service per router", "B", busy.count("config.fetched_from_store.bytes")/perRouter)
	e.note("change: fetches from peers per router", "calls", busy.count("config.fetches_from_peers.calls")/perRouter)
	atRest := callsBetween(idle.before.kv, idle.after.kv)
	for i, c := range callsBetween(busy.before.kv, busy.after.kv) {
		rest := float64(atRest[i].calls) / idle.seconds() * busy.seconds()
		e.note("key-value "+c.kind+", per change", "calls", (float64(c.calls)-rest)/countedChanges)
	}
}

// catchUp is how long calls are counted after an outage.
const catchUp = 5 * time.Second

// Outage takes the key-value service away for a time, and measures how the
// fleet comes back while a change waits.
func (e *Experiment) Outage(ctx context.Context, length time.Duration) error {
	if err := e.sampler.post(ctx, e.layout.KV, standin.PathFaults, kvserver.Faults{Outage: standin.OutageRefuse}); err != nil {
		return err
	}
	during, err := e.idleSpan(ctx, length)
	if err != nil {
		return err
	}
	failed := during.after.kv.OutageFailed - during.before.kv.OutageFailed
	e.note("outage: failed calls of the fleet", "calls/s", float64(failed)/during.seconds())
	if err := e.sampler.post(ctx, e.layout.KV, standin.PathFaults, kvserver.Faults{}); err != nil {
		return err
	}
	ended := time.Now()
	back, err := e.span(ctx, func(ctx context.Context) error { return e.changeAfterOutage(ctx, ended) })
	if err != nil {
		return err
	}
	e.noteCalls("in 5 s after an outage", "calls", back.before.kv, back.after.kv, 1)
	return nil
}

func (e *Experiment) changeAfterOutage(ctx context.Context, ended time.Time) error {
	if err := e.change(ctx); err != nil {
		return err
	}
	if err := e.waitRevision(ctx); err != nil {
		return err
	}
	e.note("outage: until a waiting change is in force everywhere", "s", time.Since(ended).Seconds())
	_ = pause.For(ctx, catchUp-time.Since(ended))
	return ctx.Err()
}
