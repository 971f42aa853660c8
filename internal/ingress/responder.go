package ingress

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/serving"
)

// responder writes the response to one call.
type responder struct {
	w       http.ResponseWriter
	request *http.Request
	codec   Codec
	call    *call.Call
	leaving *atomic.Bool
	log     *decisionlog.Log
	// begun is set once the head of the response is written, whole once all of it is.
	begun   bool
	whole   bool
	aborted bool
	// stopReset is set while the connection is reset if it ends.
	stopReset func()
}

// complete reports whether the caller may take the response for a whole one.
func (r *responder) complete() bool { return r.whole && !r.aborted }

// errSecondResponse means that a call got a response although it already has one, or the
// beginning of one.
var errSecondResponse = errors.New("a response has already begun: it is aborted, and the call must be sent again")

// begin reports whether the head of a response may be written. Once one has begun,
// another would become a part of its body: the first one is then aborted.
func (r *responder) begin(kind string) bool {
	if r.begun {
		r.aborted = true
		r.log.Failure("second response to a call", errSecondResponse, decisionlog.Fields{"call": r.call.ID, "kind": kind})
		return false
	}
	r.begun = true
	return true
}

// readSlack is the time after a call's deadline in which the caller may still read the end
// of its response.
const readSlack = time.Second

// SetDeadline implements dispatch.Responder.
func (r *responder) SetDeadline(t time.Time) {
	// The error is ignored: a connection that takes no deadline is closed already.
	_ = http.NewResponseController(r.w).SetWriteDeadline(t.Add(readSlack))
}

func (r *responder) copyHeader(header http.Header) {
	call.StripHopByHopHeaders(header)
	to := r.w.Header()
	for name, values := range header {
		to[name] = values
	}
	if r.leaving.Load() {
		to.Set("Connection", "close")
	}
}

// WriteResponse implements dispatch.Responder.
func (r *responder) WriteResponse(status int, header http.Header, body []byte) {
	if !r.begin("response of an instance") {
		return
	}
	r.copyHeader(header)
	if r.call.Method != http.MethodHead {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.whole = true
	r.w.WriteHeader(status)
	if len(body) == 0 || r.call.Method == http.MethodHead {
		return
	}
	if _, err := r.w.Write(body); err != nil {
		r.aborted = true
	}
}

// StartStream implements dispatch.Responder. For a caller that speaks HTTP/1.0 the stream
// ends with its connection, so that any other end must be a reset.
func (r *responder) StartStream(status int, header http.Header) {
	if !r.begin("stream") {
		return
	}
	r.copyHeader(header)
	r.w.Header().Del("Content-Length")
	if !r.request.ProtoAtLeast(1, 1) {
		r.stopReset = serving.ResetOnClose(r.request)
	}
	r.w.WriteHeader(status)
}

// WriteEvent implements dispatch.Responder.
func (r *responder) WriteEvent(raw []byte, flush bool) error {
	if _, err := r.w.Write(raw); err != nil {
		r.aborted = true
		return errors.Wrap(err, "write to caller")
	}
	if !flush {
		return nil
	}
	return r.Flush()
}

// Flush implements dispatch.Responder.
func (r *responder) Flush() error {
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		r.aborted = true
		return errors.Wrap(err, "flush to caller")
	}
	return nil
}

// EndStream implements dispatch.Responder.
func (r *responder) EndStream() {
	if r.stopReset != nil && !r.aborted {
		if r.Flush() != nil {
			return
		}
		r.stopReset()
	}
	r.whole = true
}

// Abort implements dispatch.Responder. What has been written so far still reaches the
// caller, who may go on after it.
func (r *responder) Abort() {
	if r.begun {
		// The error is ignored: the response is incomplete in any case.
		_ = r.Flush()
	}
	r.aborted = true
}

// Refuse implements dispatch.Responder.
func (r *responder) Refuse(refused *refusal.Refusal) {
	if !r.begin("refusal") {
		return
	}
	r.whole = true
	if r.leaving.Load() {
		r.w.Header().Set("Connection", "close")
	}
	r.codec.WriteRefusal(r.w, r.call.ID, refused)
}
