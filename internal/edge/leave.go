package edge

import (
	"context"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
)

const (
	// exitMargin is the part of the grace period that is left for the end of the
	// process itself.
	exitMargin = 500 * time.Millisecond
	// addressSlack is the time beyond an address's lifetime in which callers may
	// still send calls to it.
	addressSlack = 500 * time.Millisecond
)

// leave stops without cutting a call: other routers and the directory stop
// naming this one at once, calls are taken as long as callers may have its
// address, and those in flight are waited for.
func (e *Edge) leave(now time.Time) {
	log, settings := e.options.Log, e.Settings()
	end := now.Add(settings.GracePeriod - exitMargin)
	log.Lifecycle("router leaving", decisionlog.Fields{"router": settings.Name, "grace": settings.GracePeriod.String()})
	e.leaving.Store(true)
	e.callers.Leave()
	e.post(leaveAnnounced{})
	time.Sleep(min(settings.AddressLifetime+addressSlack, time.Until(end)/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := e.callers.Stop(ctx); err != nil {
		log.Failure("router stopped", err, decisionlog.Fields{"router": settings.Name})
		return
	}
	log.Lifecycle("router stopped", decisionlog.Fields{"router": settings.Name, "after_ms": time.Since(now).Milliseconds()})
}
