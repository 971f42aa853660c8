package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

const (
	// crashCheckWait bounds the wait for the check of an instance before its call is sent
	// again. A host on which nothing listens refuses at once.
	crashCheckWait = 100 * time.Millisecond
	// resendDelay is how long a call waits for other routers' strikes and trials if
	// it is one strike short of a refusal and would be sent again.
	resendDelay = 300 * time.Millisecond
)

// brokenCall returns the call of an exchange whose connection has ended.
func (e *exchange) brokenCall() brokenCall {
	return brokenCall{
		call: e.run.call, identity: e.run.identity, instance: e.pick.instance, sentAt: e.startedAt, at: time.Now(),
		departs: e.run.dispatcher.options.Balancer.departs(e.pick.instance),
	}
}

// checkBroken checks the instance of a broken connection. One that accepts a new one is
// sound, or has restarted.
func (e *exchange) checkBroken() {
	c := e.brokenCall()
	err := e.dialAgain(c)
	e.logDial(c, err)
	if err == nil {
		e.run.dispatcher.options.Balancer.awaitRestart(c)
	}
}

// dialAgain opens a connection to the instance of one that has ended, for later calls. If
// nothing listens at its address any more, it has crashed, and the call may be the cause.
// An instance that can't be reached may be cut off. The error is upstream.ErrUnreachable.
func (e *exchange) dialAgain(c brokenCall) error {
	options := e.run.dispatcher.options
	conn, err := options.Pool.Dial(context.WithoutCancel(e.run.ctx), c.instance.Address)
	if err == nil {
		options.Pool.Release(conn, 0)
		return nil
	}
	options.Balancer.report(e.pick, e.run.route, instances.Unreachable, 0)
	if errors.Is(err, upstream.ErrNotListening) {
		options.Balancer.recordCrash(c, "nothing listens at the address")
	}
	return err
}

func (e *exchange) logDial(c brokenCall, err error) {
	found := "accepts connections"
	if err != nil {
		found = err.Error()
	}
	e.run.dispatcher.options.Log.Decision("instance dialed after a broken connection", decisionlog.Fields{
		"call": c.call.ID, "instance": c.instance.ID, "address": c.instance.Address, "found": found,
		"departs": c.departs, "shared_parts": loggedParts(c.call.Prompt.SharedIDs()), "response_began": !e.firstByte.IsZero(),
	})
}

// mayResend reports whether a call may be sent again after its connection broke. It waits
// for the check of the instance, and a moment for news from other routers if the call is
// one crash short of a refusal: each further send may crash an instance.
func (r *run) mayResend(s attemptResult) bool {
	if s.crashChecked == nil || r.strikes() < r.suspectStrikes()-1 {
		// One crash more doesn't make the call a suspect.
		return true
	}
	timer := time.NewTimer(crashCheckWait)
	defer timer.Stop()
	select {
	case <-s.crashChecked:
	case <-timer.C:
	case <-r.ctx.Done():
		return false
	}
	if r.isSuspect() && pause.For(r.ctx, resendDelay) != nil {
		return false
	}
	return !r.isSuspect()
}

// strikes returns the highest number of strikes of the call's keys.
func (r *run) strikes() int {
	return r.dispatcher.options.Balancer.checkContainment(r.identity).Strikes
}

// suspectStrikes is the number of strikes that is one short of a refusal.
func (r *run) suspectStrikes() int {
	return r.dispatcher.options.Balancer.options.Containment.MaxStrikes - 1
}

// isSuspect reports whether a call is at most one strike short of a refusal.
func (r *run) isSuspect() bool { return r.strikes() >= r.suspectStrikes() }

// refuseContained ends a call that would be sent again if its keys weren't blamed.
func (r *run) refuseContained(v containment.Verdict) {
	r.logContained(v)
	if r.attempts == 0 {
		r.refuse(v.Refusal(r.dispatcher.options.Balancer.options.Now()))
		return
	}
	r.end(r.finalVerdict(), attemptResult{result: instances.Shed})
}

// logContained logs for which crashes a call is refused.
func (r *run) logContained(v containment.Verdict) {
	r.dispatcher.options.Log.Decision("call would crash instances", decisionlog.Fields{
		"call": r.call.ID, "route": r.route.Name, "service": r.service, "workspace": r.workspaceName(), "strikes": v.Strikes,
		"blamed": formatKeys(v.Blamed), "blamed_parts": blamedParts(r.call, v.Blamed), "fingerprint": r.identity.Fingerprint,
		"refused_for_ms": time.Until(v.Until).Milliseconds(), "failed_sends": r.attempts,
	})
}
