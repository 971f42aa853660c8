package dispatch

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
)

// originSource is how the version that began a stream is known.
type originSource string

// fromResponse: the stream began in the response of the call itself.
const fromResponse originSource = "response"

// origin is the beginning of a stream.
type origin struct {
	// call is the ID of the call that brought the first event, empty if unknown.
	call string
	// version is the software version of the instance that made it, empty if unknown.
	version string
	// source is how the version is known, at since when.
	source originSource
	at     time.Time
}

// recordOrigin records the beginning of a stream at its first event, and the instance that
// goes on with one at the first event after the caller's position.
func (e *exchange) recordOrigin() {
	r := e.run
	if e.after == "" {
		if r.stream.lastID == "" {
			r.origin = origin{call: r.call.ID, version: e.pick.instance.Version, source: fromResponse, at: time.Now()}
		}
		return
	}
	if !e.reached || e.joined {
		return
	}
	e.joined = true
	m, version := r.dispatcher.metrics, e.pick.instance.Version
	fields := decisionlog.Fields{
		"call": r.call.ID, "begun_by": r.origin.call, "begun_version": r.origin.version, "known_by": string(r.origin.source),
		"version": version, "instance": e.pick.instance.ID, "service": r.service, "after": e.after, "failed_sends": r.attempts,
	}
	switch r.origin.version {
	case "":
		m.continuedUnknown.Inc(1)
	case version:
		m.continuedSame.Inc(1)
	default:
		m.continuedOther.Inc(1)
	}
	if !r.origin.at.IsZero() {
		fields["known_age_ms"] = time.Since(r.origin.at).Milliseconds()
	}
	r.dispatcher.options.Log.Decision("stream goes on", fields)
}
