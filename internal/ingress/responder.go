package ingress

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// responder writes the answer of one call.
type responder struct {
	w       http.ResponseWriter
	codec   Codec
	call    *call.Call
	leaving *atomic.Bool
	broken  bool
}

func (o *responder) head(header http.Header) {
	call.StripHopByHopHeaders(header)
	to := o.w.Header()
	for name, values := range header {
		to[name] = values
	}
	if o.leaving.Load() {
		to.Set("Connection", "close")
	}
}

// WriteResponse implements dispatch.Responder.
func (o *responder) WriteResponse(status int, header http.Header, body []byte) {
	o.head(header)
	if o.call.Method != http.MethodHead {
		o.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	o.w.WriteHeader(status)
	if len(body) == 0 || o.call.Method == http.MethodHead {
		return
	}
	if _, err := o.w.Write(body); err != nil {
		o.broken = true
	}
}

// StartStream implements dispatch.Responder.
func (o *responder) StartStream(status int, header http.Header) {
	o.head(header)
	o.w.Header().Del("Content-Length")
	o.w.WriteHeader(status)
}

// WriteEvent implements dispatch.Responder.
func (o *responder) WriteEvent(raw []byte, flush bool) error {
	if _, err := o.w.Write(raw); err != nil {
		o.broken = true
		return errors.Wrap(err, "the caller left")
	}
	if !flush {
		return nil
	}
	if err := http.NewResponseController(o.w).Flush(); err != nil {
		o.broken = true
		return errors.Wrap(err, "the caller left")
	}
	return nil
}

// EndStream implements dispatch.Responder.
func (o *responder) EndStream() {}

// Abort implements dispatch.Responder.
func (o *responder) Abort() { o.broken = true }

// Refuse implements dispatch.Responder.
func (o *responder) Refuse(r *refusal.Refusal) { o.codec.WriteRefusal(o.w, o.call.ID, r) }
