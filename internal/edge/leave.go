package edge

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
)

const (
	// exitMargin is the end of the grace period, in which calls in flight are ended and
	// the process exits.
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
	e.stopCallers(now, now.Add(settings.GracePeriod-exitMargin))
}

// leave shuts down without interrupting a call that can be completed: other routers and
// the directory stop returning this router's address at once. Calls are accepted for a
// part of the time in which callers may have the address, if they can be complete in the
// grace period; connections stay open for all of that time. Calls in flight are completed
// as long as the grace period allows.
func (e *Edge) leave(now time.Time) {
	settings := e.Settings()
	stopAt := now.Add(settings.GracePeriod - exitMargin)
	e.stopAt.Store(&stopAt)
	e.options.Log.Lifecycle("router leaving", decisionlog.Fields{"router": settings.Name, "grace": settings.GracePeriod.String()})
	e.leaving.Store(true)
	e.callers.Leave()
	e.post(leaveAnnounced{})
	known := settings.AddressLifetime + addressMargin
	time.Sleep(min(known, time.Until(stopAt)/2))
	e.callers.Refuse()
	time.Sleep(min(time.Until(now.Add(known)), time.Until(stopAt)))
	e.stopCallers(now, stopAt)
}

// stopCallers completes the calls in flight, ends those that are left at stopAt, and logs
// what has become of the calls since the router began to leave.
func (e *Edge) stopCallers(leftAt, stopAt time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), stopAt)
	defer cancel()
	fields := decisionlog.Fields{"router": e.Settings().Name}
	err := e.callers.Stop(ctx)
	for _, what := range []string{"taken", "refused", "ended"} {
		fields[what] = metrics.GetOrRegisterCounter("calls.stop."+what, e.options.Registry).Count()
	}
	fields["after_ms"] = time.Since(leftAt).Milliseconds()
	if err != nil {
		e.options.Log.Failure("router stopped", err, fields)
		return
	}
	e.options.Log.Lifecycle("router stopped", fields)
}

// stopTime returns when a router that leaves ends the calls in flight, the zero time if it
// doesn't leave.
func (e *Edge) stopTime() time.Time {
	if at := e.stopAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
