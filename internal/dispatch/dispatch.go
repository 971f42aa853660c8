package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/memquota"
	"github.com/verbenatrail/verbenatrail/internal/origins"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/routing"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// Codec translates between calls and the wire format of instances.
type Codec interface {
	// EncodeRequest returns the request headers of one attempt of a call.
	EncodeRequest(c *call.Call, a call.Attempt) http.Header
	// DecodeReply decodes the head of an instance's response.
	DecodeReply(status int, header http.Header) call.Reply
	// StateTarget returns the target of the GET request by which an instance of a service
	// is asked for its state. The service is nil if the configuration doesn't list it.
	StateTarget(service *routing.Service) string
	// DecodeIdentity decodes who has answered that request, whatever the status.
	DecodeIdentity(status int, header http.Header, body []byte) call.Identity
}

// Responder sends the response of one call to its caller.
type Responder interface {
	// SetDeadline bounds the time for which the caller may take to read the response.
	SetDeadline(t time.Time)
	// WriteResponse sends a complete, buffered response of an instance.
	WriteResponse(status int, header http.Header, body []byte)
	// StartStream sends the head of an event stream.
	StartStream(status int, header http.Header)
	// WriteEvent sends one event; flush is set if no further event is buffered. An
	// error means that the caller has disconnected.
	WriteEvent(raw []byte, flush bool) error
	// Flush sends what has been written so far. An error means that the caller has
	// disconnected.
	Flush() error
	// EndStream ends a complete stream.
	EndStream()
	// Abort ends a partial response so that it can't be taken for a complete one.
	Abort()
	// Refuse sends a refusal as the response.
	Refuse(r *refusal.Refusal)
}

// Options configure a Dispatcher.
type Options struct {
	Balancer *Balancer
	Pool     *upstream.Pool
	// Origins knows at which versions streams have begun; nil means that only the streams
	// of this process are known.
	Origins *origins.Tracker
	// Permits decides on sends to instances with a rate limit; nil means that Balancer
	// decides alone.
	Permits Permits
	Codec   Codec
	// Table returns the current routing table, or nil before the first
	// configuration.
	Table func() *routing.Table
	// Buffers bounds the memory of responses that are read before they are forwarded.
	Buffers *memquota.Quota
	// Outage reports whether the platform is unreachable.
	Outage func() bool
	// StopAt returns when a router that leaves ends the calls in flight, the zero time if
	// it doesn't leave; nil means that it never does.
	StopAt   func() time.Time
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
	if o.Permits == nil {
		o.Permits = o.Balancer
	}
	if o.Origins == nil {
		o.Origins = origins.NewTracker(nil, time.Now, o.Registry)
	}
	if o.StopAt == nil {
		o.StopAt = func() time.Time { return time.Time{} }
	}
	return &Dispatcher{options: o, metrics: newCallMetrics(o.Registry)}
}

const (
	// defaultTimeout applies to calls for which neither caller nor route sets a
	// timeout.
	defaultTimeout = time.Minute
	// startupRetryAfter is the retry delay for callers of a router that has no
	// configuration yet: peers or the platform normally provide one within
	// moments.
	startupRetryAfter = 300 * time.Millisecond
	// outageRetryAfter is the same delay while the platform is unreachable:
	// outages last seconds, and callers retry only once or twice.
	outageRetryAfter = 2 * time.Second
	// unreachableRetryAfter is the retry delay when no instance of a service can be
	// reached: the first backoff of an unreachable instance is over by then.
	unreachableRetryAfter = 250 * time.Millisecond
)

// Serve handles one call. The context ends when the caller disconnects, or with the cause
// serving.ErrStopping when the router ends its calls.
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

// admit resolves route and workspace of a call. It returns a refusal if the call
// may not run.
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
	if verdict := d.options.Balancer.checkContainment(r.identity); verdict.Kind == containment.Refused {
		r.logContained(verdict)
		return nil, verdict.Refusal(d.options.Balancer.options.Now())
	}
	if refused := r.checkStop(d.options.StopAt()); refused != nil {
		return nil, refused
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

// refuse responds to a call that is not sent to any instance.
func (d *Dispatcher) refuse(c *call.Call, out Responder, r *refusal.Refusal) {
	d.metrics.refusals(r.Kind).Inc(1)
	fields := decisionlog.Fields{"call": c.ID, "kind": string(r.Kind), "outcome": string(r.Outcome), "target": c.Target}
	if table := d.options.Table(); table != nil {
		fields["config"] = table.Revision
	}
	d.options.Log.Decision("call refused", fields)
	out.Refuse(r)
}
