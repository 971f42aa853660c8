package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/attempt"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/origins"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

const (
	// originTimeout bounds the time for which a call waits to learn where its stream began.
	originTimeout = 2 * time.Second
	// changeTimeout bounds the time for which a call waits before it is sent to another
	// version than before.
	changeTimeout = 300 * time.Millisecond
	// originRetryAfter is the retry delay for callers whose stream's version isn't known now,
	// versionRetryAfter for those whose version has no instance: one that has crashed is back
	// after seconds.
	originRetryAfter  = 500 * time.Millisecond
	versionRetryAfter = time.Second
)

// origin is what a call knows of the beginning of its stream.
type origin struct {
	origins.Origin
	// call is the ID of the call that brought the first event, empty if unknown.
	call string
}

// takenUp reports whether the caller goes on with a stream that an earlier call of it began.
func (r *run) takenUp() bool { return r.route.ResumableStream() && r.call.ResumeAfter != "" }

// requiredVersion returns the only version at which the stream may go on, empty for a call
// of which the caller has no event.
func (r *run) requiredVersion() string {
	if r.stream.lastID == "" {
		return ""
	}
	return r.origin.Version
}

// preferredVersions returns the versions at which a stream is better begun: those of which
// the other routers know, and of these the one to which the call was sent before.
func (r *run) preferredVersions() [][]string {
	if !r.route.ResumableStream() || r.stream.lastID != "" {
		return nil
	}
	versions := [][]string{r.dispatcher.options.Origins.Usable(r.service)}
	if r.origin.Version != "" {
		versions = append(versions, []string{r.origin.Version})
	}
	return versions
}

// findOrigin finds out which version began the stream that the caller takes up. It returns
// false if that isn't known, which ends the call.
func (r *run) findOrigin() bool {
	if !r.takenUp() {
		return true
	}
	ctx, cancel := context.WithTimeout(r.ctx, min(originTimeout, time.Until(r.deadline)))
	defer cancel()
	began := time.Now()
	r.origin.Origin = r.dispatcher.options.Origins.Find(ctx, r.streamBegunBy(r.origin.call), r.service)
	r.dispatcher.metrics.originLookup.Update(microseconds(time.Since(began)))
	if r.ctx.Err() != nil {
		r.endCanceled(attempt.Unsent)
		return false
	}
	if r.origin.Version == "" {
		r.refuseContinued("the version that began the stream isn't known", originRetryAfter)
		return false
	}
	return true
}

func (r *run) streamBegunBy(callID string) origins.Stream {
	return origins.StreamOf(r.workspaceName(), r.service, callID)
}

// refuseContinued refuses a call whose stream can't go on at the version that began it. At
// another one it would not fit to what the caller has.
func (r *run) refuseContinued(reason string, retryAfter time.Duration) {
	r.dispatcher.metrics.notContinued.Inc(1)
	fields := r.originFields()
	fields["reason"], fields["failed_sends"] = reason, r.attempts
	fields["took_ms"] = time.Since(r.call.ReceivedAt).Milliseconds()
	r.dispatcher.options.Log.Decision("stream not continued", fields)
	r.refuse(refusal.New(refusal.StreamLost, reason+": go on with the stream after the pause, or begin it anew").WithRetryAfter(retryAfter))
}

// originFields returns what the call knows of the beginning of its stream, for the log.
func (r *run) originFields() decisionlog.Fields {
	fields := decisionlog.Fields{
		"call": r.call.ID, "service": r.service, "begun_by": r.origin.call, "begun_version": r.origin.Version,
		"known_by": string(r.origin.Source), "after": r.stream.lastID,
	}
	if !r.origin.At.IsZero() {
		fields["known_age_ms"] = r.dispatcher.options.Origins.Age(r.origin.Origin).Milliseconds()
	}
	return fields
}

// sendRecorded sends the call after it has recorded at which version its stream begins or
// goes on, so that other routers know it as soon as the caller has an event.
func (r *run) sendRecorded(p *pick) attemptResult {
	if r.route.ResumableStream() && !r.recordVersion(p.instance.Version) {
		return failedAttempt(attempt.Unsent, instances.Late, "the store could not be told of the call's version in time")
	}
	return r.send(p)
}

// recordVersion records the version to which the call is sent. It returns false if another
// version is on record for it that can't be replaced.
func (r *run) recordVersion(version string) bool {
	o, lifetime := r.dispatcher.options.Origins, r.call.Timeout
	if lifetime <= 0 {
		lifetime = r.deadline.Sub(r.call.ReceivedAt)
	}
	if r.takenUp() && r.origin.call != "" {
		// The first call is what the caller names the next time, too.
		o.Begin(r.streamBegunBy(r.origin.call), r.service, version, lifetime)
	}
	if !o.Begin(r.streamBegunBy(r.call.ID), r.service, version, lifetime) {
		ctx, cancel := context.WithTimeout(r.ctx, changeTimeout)
		defer cancel()
		if !o.Change(ctx, r.streamBegunBy(r.call.ID), r.service, version, lifetime) {
			return false
		}
	}
	if r.stream.lastID == "" {
		r.origin.Version = version
	}
	return true
}

// errUnproved means that the process at an instance's address may be another one than the
// listed start of the instance, and so of another version.
var errUnproved = errors.New("the instance doesn't prove to be the listed one: the stream goes on at another")

// connectToVersion opens a connection to an instance whose process is of the listed version: an
// instance may start again as another version under its ID before its new entry is here. The
// connection is to the process that has answered. Its errors are upstream.ErrUnreachable and
// errUnproved.
func (r *run) connectToVersion(ctx context.Context, p *pick) (*upstream.Conn, error) {
	options := r.dispatcher.options
	conn, err := options.Pool.Dial(ctx, p.instance.Address)
	if err != nil {
		return nil, err
	}
	answer, err := conn.Query(ctx, r.stateQuery(), r.queryTimeout())
	if err == nil {
		err = checkIdentity(p.instance, options.Codec.DecodeIdentity(answer.Response.StatusCode, answer.Response.Header, answer.Body))
	}
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(errUnproved, err.Error())
	}
	if answer.Response.Close {
		conn.Close()
		return options.Pool.Dial(ctx, p.instance.Address)
	}
	return conn, nil
}

// recordOrigin records the beginning of a stream at its first event, and the instance that
// goes on with one at the first event after the caller's position.
func (e *exchange) recordOrigin() {
	r := e.run
	if e.after == "" {
		if r.stream.lastID == "" {
			r.origin = origin{call: r.call.ID, Origin: origins.Origin{
				Version: e.pick.instance.Version, Source: origins.Response, At: r.dispatcher.options.Origins.Now(),
			}}
		}
		return
	}
	if !e.reached || e.joined {
		return
	}
	e.joined = true
	m, version := r.dispatcher.metrics, e.pick.instance.Version
	switch r.origin.Version {
	case "":
		m.continuedUnknown.Inc(1)
	case version:
		m.continuedSame.Inc(1)
	default:
		m.continuedOther.Inc(1)
	}
	fields := r.originFields()
	fields["after"], fields["version"], fields["instance"], fields["failed_sends"] = e.after, version, e.pick.instance.ID, r.attempts
	r.dispatcher.options.Log.Decision("stream goes on", fields)
	if r.origin.Version == "" {
		r.origin.Version = version
	}
}
