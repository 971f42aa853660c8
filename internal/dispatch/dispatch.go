package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// Codec translates between calls and the instances' wire format.
type Codec interface {
	// EncodeRequest returns the headers of one send of a call.
	EncodeRequest(c *call.Call, s call.Send) http.Header
	// DecodeReply reads the head of an instance's answer.
	DecodeReply(status int, header http.Header) call.Reply
}

// Responder sends the answer of one call to its caller.
type Responder interface {
	// WriteResponse sends a whole answer of an instance.
	WriteResponse(status int, header http.Header, body []byte)
	// StartStream starts a stream of events.
	StartStream(status int, header http.Header)
	// WriteEvent sends one event; flush is set when no other is at hand. An error
	// means that the caller has left.
	WriteEvent(raw []byte, flush bool) error
	// EndStream ends a stream that is complete.
	EndStream()
	// Abort ends an answer so that it can't be taken for a complete one.
	Abort()
	// Refuse sends a refusal as the whole answer.
	Refuse(r *refusal.Refusal)
}

// Options configure a Dispatcher.
type Options struct {
	Balancer *Balancer
	Pool     *upstream.Pool
	Codec    Codec
	// Table returns the routes in force, nil before any are known.
	Table func() *routing.Table
	// Outage reports whether the platform can't be reached.
	Outage   func() bool
	Log      *decisionlog.Log
	Registry metrics.Registry
}

// Dispatcher serves calls. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	metrics *callMetrics
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{options: o, metrics: newCallMetrics(o.Registry)}
}

const (
	// defaultPatience bounds calls whose caller and route name no time.
	defaultPatience = time.Minute
	// startupRetryAfter is when a caller may come back to a router that has no
	// configuration yet: peers or the platform give one within moments.
	startupRetryAfter = 300 * time.Millisecond
	// outageRetryAfter is the same while the platform can't be reached: its
	// outages last seconds, and callers come back only once or twice.
	outageRetryAfter = 2 * time.Second
	// fullRetryAfter is when a place will probably be free at a service whose
	// instances are all full: a few answers of a model engine.
	fullRetryAfter = 250 * time.Millisecond
)

// Serve answers one call. The context ends when the caller has left.
func (d *Dispatcher) Serve(ctx context.Context, c *call.Call, out Responder) {
	ctx, span := telemetry.StartSpan(ctx, "call")
	defer telemetry.EndSpan(span, nil)
	d.metrics.calls.Inc(1)
	r, refused := d.admit(ctx, c, out)
	if refused != nil {
		d.refuse(c, out, refused)
		return
	}
	defer r.finish()
	r.serve()
}

// admit finds what a call may do; a refusal when it may not run.
func (d *Dispatcher) admit(ctx context.Context, c *call.Call, out Responder) (*run, *refusal.Refusal) {
	table := d.options.Table()
	if table == nil {
		return nil, d.noConfiguration()
	}
	route, err := table.Match(c.Host, c.Path)
	if err != nil {
		return nil, refusal.New(refusal.UnknownRoute, err.Error())
	}
	workspace, err := table.Workspace(route, c.Credential)
	if err != nil {
		return nil, refusal.New(refusal.UnknownKey, err.Error())
	}
	r := newRun(ctx, d, c, out, table.Revision, route, workspace)
	if verdict := d.options.Balancer.contained(r.fingerprint); verdict.Kind == containment.Refused {
		return nil, verdict.Refusal(d.options.Balancer.options.Now())
	}
	return r, nil
}

func (d *Dispatcher) noConfiguration() *refusal.Refusal {
	after := startupRetryAfter
	if d.options.Outage() {
		after = outageRetryAfter
	}
	return refusal.New(refusal.NoConfiguration,
		"this router has no configuration yet: send the call again after the pause").WithRetryAfter(after)
}

// refuse answers a call that is not sent to any instance.
func (d *Dispatcher) refuse(c *call.Call, out Responder, r *refusal.Refusal) {
	d.metrics.refusals(r.Kind).Inc(1)
	fields := decisionlog.Fields{"call": c.ID, "kind": string(r.Kind), "outcome": string(r.Outcome), "target": c.Target}
	if table := d.options.Table(); table != nil {
		fields["config"] = table.Revision
	}
	d.options.Log.Decision("call refused", fields)
	out.Refuse(r)
}
