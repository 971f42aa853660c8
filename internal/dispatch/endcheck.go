package dispatch

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// errEndUnproven means that a response ended with its connection, and that its instance may
// have ended, too.
var errEndUnproven = errors.New("the response ended with its connection and may not be whole: " +
	"the instance should name a length or send chunks")

// confirmEnd returns nil if the end of a response was meant as such. A length or the last
// chunk proves it. The end of the connection alone doesn't: the kernel closes the connections
// of a process that is killed in the same way. It counts if the same instance still runs
// afterwards. The error is errEndUnproven.
func (e *exchange) confirmEnd() error {
	if e.framing != upstream.UntilClose {
		return nil
	}
	e.timeout.stop()
	askedAt := time.Now()
	found, err := e.askInstance()
	if err != nil {
		found, err = err.Error(), errors.Wrap(errEndUnproven, err.Error())
	}
	d := e.run.dispatcher
	if err == nil {
		d.metrics.confirmedEnds.Inc(1)
	} else {
		d.metrics.unprovenEnds.Inc(1)
	}
	d.options.Log.Decision("response ended with its connection", decisionlog.Fields{
		"call": e.run.call.ID, "instance": e.pick.instance.ID, "address": e.pick.instance.Address,
		"events": e.run.stream.events, "found": found, "whole": err == nil, "took_ms": time.Since(askedAt).Milliseconds(),
	})
	return err
}

// askInstance returns in words what shows that the instance still runs, or an error.
func (e *exchange) askInstance() (string, error) {
	r, options := e.run, e.run.dispatcher.options
	answer, err := options.Pool.Ask(r.ctx, e.pick.instance.Address, r.stateQuery(), r.queryTimeout())
	switch {
	case err != nil:
		return "", err
	case answer.Response == nil:
		return "the instance accepts connections", nil
	}
	identity := options.Codec.DecodeIdentity(answer.Response.StatusCode, answer.Response.Header, answer.Body)
	err = checkIdentity(e.pick.instance, identity)
	if err == nil && identity.StartedAt.After(e.startedAt) {
		err = errors.Errorf("the instance started at %s, after the call was sent", identity.StartedAt.UTC())
	}
	if err != nil {
		return "", errors.Wrapf(err, "status %d", answer.Response.StatusCode)
	}
	options.Balancer.recordReply(e.pick, options.Codec.DecodeReply(answer.Response.StatusCode, answer.Response.Header))
	return "the instance answers", nil
}

// stateQuery is the query of an instance for its state.
func (r *run) stateQuery() *upstream.Request {
	options := r.dispatcher.options
	return &upstream.Request{
		Method: http.MethodGet, Host: r.call.Host, Header: http.Header{},
		Target: options.Codec.StateTarget(options.Table().Service(r.service)),
	}
}

// queryTimeout bounds the wait for the answer.
func (r *run) queryTimeout() time.Duration {
	return min(upstream.EndCheckTimeout, time.Until(r.deadline)/2)
}

// checkIdentity returns an error unless the listed instance has answered, in the start that
// is listed. What it doesn't tell isn't compared.
func checkIdentity(listed instances.Instance, identity call.Identity) error {
	told := identity.StartedAt
	switch {
	case !identity.IsInstance:
		return errors.New("something else than an instance answers at the address")
	case identity.Instance != "" && identity.Instance != listed.ID:
		return errors.Errorf("instance %s answers at the address, expected %s", identity.Instance, listed.ID)
	case !told.IsZero() && !listed.StartedAt.IsZero() && !told.Equal(listed.StartedAt):
		return errors.Errorf("the instance started at %s, expected %s", told.UTC(), listed.StartedAt.UTC())
	default:
		return nil
	}
}
