// Package owner serves forwarded calls on the router that owns their engine or
// service instance. It handles admission, the connection to the upstream, and
// the recovery from connection failures.
package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/engineclient"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/serviceclient"
	"github.com/verbenatrail/verbenatrail/internal/status"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

const (
	retryAfterBusy    = 500 * time.Millisecond
	retryAfterFailure = time.Second
)

// Sink receives the events of one response. It returns an error once they are no
// longer read.
type Sink func(*peerpb.ForwardEvent) error

// CrashGuard limits requests that crash engines.
type CrashGuard interface {
	// Check returns a refusal if the request has crashed too many engines.
	Check(now time.Time, request containment.Request) *refusal.Refusal
	// Start records that an upstream runs a request, or returns a refusal if the
	// request may not run there now.
	Start(now time.Time, upstream string, request containment.Request) *refusal.Refusal
	// Finish records that an upstream no longer runs a request.
	Finish(now time.Time, upstream string, request containment.Request, end End)
	// Crash records that an upstream crashed while it ran its current requests.
	Crash(now time.Time, upstream string)
}

// End is how a request at an upstream ended.
type End int

// Ends of a request.
const (
	// EndComplete: the upstream sent the complete response.
	EndComplete End = iota
	// EndIncomplete: the upstream failed or the caller disconnected.
	EndIncomplete
)

// Options are the dependencies and settings of an Owner. All fields are required.
type Options struct {
	Self       string
	Settings   Settings
	Config     func() *fleet.Snapshot
	View       func() *cluster.View
	ReportConn func(upstream string, result membership.ConnResult)
	Engines    *engineclient.Client
	Services   *serviceclient.Client
	Guard      CrashGuard
	Metrics    *Metrics
	Logger     *logrus.Logger
}

// Owner serves forwarded calls. It is safe for concurrent use.
type Owner struct {
	Options
	gates *gateSet
	// detached are streams whose caller disconnected and may resume them.
	detached *detachedStreams
	// abandoned are streams given up on an unresponsive engine and still to be
	// cancelled there.
	abandoned *abandonedStreams
}

// New returns an Owner. Run must be running for its timers to work.
func New(options Options) *Owner {
	return &Owner{Options: options, gates: newGateSet(options), detached: newDetachedStreams(), abandoned: newAbandonedStreams()}
}

// Run runs the timers of all gates, and the probes and overlap watches that they
// trigger, until ctx is done.
func (o *Owner) Run(ctx context.Context) error {
	go o.abandoned.run(ctx, o.Engines)
	ticker := time.NewTicker(gateTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			o.gates.tick(now)
			for _, g := range o.gates.takeOverlaps() {
				go o.watchOverlap(ctx, g)
			}
			for _, g := range o.gates.takeRecovering() {
				go o.probe(ctx, g)
			}
		}
	}
}

// PoolLoads returns the number of requests in flight by pool hash.
func (o *Owner) PoolLoads() map[uint32]int { return o.gates.load() }

// Serve runs one forwarded call and sends its events to sink. It returns nil after
// a complete response; otherwise a *refusal.Refusal, or the sink's error.
func (o *Owner) Serve(ctx context.Context, request *peerpb.ForwardRequest, sink Sink) error {
	ctx, span := telemetry.StartSpan(telemetry.WithTraceparent(ctx, request.GetTraceparent()), "owner.serve",
		attribute.String("upstream", request.GetUpstream()))
	err := o.serve(ctx, request, sink)
	telemetry.EndSpan(span, err)
	return err
}

func (o *Owner) serve(ctx context.Context, request *peerpb.ForwardRequest, sink Sink) error {
	t, refused := o.resolveTarget(request)
	if refused != nil {
		return refused
	}
	if refused := o.Guard.Check(time.Now(), identityOf(request)); refused != nil {
		return refused
	}
	switch call := request.GetCall().(type) {
	case *peerpb.ForwardRequest_Chat:
		return o.serveChat(ctx, request, t, call.Chat, sink)
	case *peerpb.ForwardRequest_Resume:
		return o.serveResume(ctx, request, t, call.Resume, sink)
	case *peerpb.ForwardRequest_Service:
		return o.serveService(ctx, request, t, call.Service, sink)
	default:
		return refusal.New(refusal.BadRequest, "the forwarded call has no content: update this router")
	}
}

// identityOf returns what the crash guard knows of a request.
func identityOf(request *peerpb.ForwardRequest) containment.Request {
	return containment.Request{Fingerprint: request.GetFingerprint(), Keys: request.GetKeys()}
}

// resolveTarget returns the requested upstream, or a refusal if this router lacks
// its declaration or its address.
func (o *Owner) resolveTarget(request *peerpb.ForwardRequest) (*target, *refusal.Refusal) {
	name := request.GetUpstream()
	snapshot := o.Config()
	if snapshot == nil {
		return nil, refusal.New(refusal.NoLiveUpstream, "the owner has no configuration yet: try another upstream").
			WithRetryAfter(retryAfterFailure)
	}
	declared := snapshot.Upstreams[name]
	state, known := o.View().Upstreams[name]
	if declared == nil || !known {
		return nil, refusal.New(refusal.NoLiveUpstream, "upstream "+name+" is not known to its owner: try another").
			WithRetryAfter(retryAfterFailure)
	}
	return &target{declared: declared, address: state.Address, leaving: state.State == cluster.Leaving, snapshot: snapshot}, nil
}

// target is a declared upstream with its current address.
type target struct {
	declared *fleet.Upstream
	address  string
	leaving  bool
	snapshot *fleet.Snapshot
}

// UpstreamLoads returns the load of each upstream that this router has served,
// sorted by name.
func (o *Owner) UpstreamLoads() []status.Load { return o.gates.loads(time.Now()) }

// WaitIdle waits until this router has no requests in flight or ctx is done.
func (o *Owner) WaitIdle(ctx context.Context) {
	ticker := time.NewTicker(gateTick)
	defer ticker.Stop()
	for o.gates.inFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
