package edge

import (
	"context"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
)

const (
	// exitMargin is the part of the grace period reserved for the exit of the
	// process.
	exitMargin = 500 * time.Millisecond
	// addressMargin is the time after an address's lifetime in which callers may
	// still send calls to it.
	addressMargin = 500 * time.Millisecond
)

// stopAfterFailure refuses new calls and completes those in flight, after a part of the
// router has failed.
func (e *Edge) stopAfterFailure(now time.Time) {
	settings := e.Settings()
	e.options.Log.Lifecycle("a part of the router failed, it stops", decisionlog.Fields{"router": settings.Name, "grace": settings.GracePeriod.String()})
	e.leaving.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(settings.GracePeriod-exitMargin))
	defer cancel()
	if err := e.callers.Stop(ctx); err != nil {
		e.options.Log.Failure("router stopped", err, decisionlog.Fields{"router": settings.Name})
	}
}

// leave shuts down without interrupting a call: other routers and the directory
// stop returning this router's address at once, new calls are accepted as long as
// callers may have the address, and calls in flight are completed.
func (e *Edge) leave(now time.Time) {
	log, settings := e.options.Log, e.Settings()
	end := now.Add(settings.GracePeriod - exitMargin)
	log.Lifecycle("router leaving", decisionlog.Fields{"router": settings.Name, "grace": settings.GracePeriod.String()})
	e.leaving.Store(true)
	e.callers.Leave()
	e.post(leaveAnnounced{})
	time.Sleep(min(settings.AddressLifetime+addressMargin, time.Until(end)/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := e.callers.Stop(ctx); err != nil {
		log.Failure("router stopped", err, decisionlog.Fields{"router": settings.Name})
		return
	}
	log.Lifecycle("router stopped", decisionlog.Fields{"router": settings.Name, "after_ms": time.Since(now).Milliseconds()})
}
