package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/owner"
	"github.com/verbenatrail/verbenatrail/internal/peer"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

const (
	// keepAliveInterval is the time between two keep-alive events on a stream,
	// by which the peer knows that a stream without other events isn't broken.
	keepAliveInterval = time.Second
	// maxHops bounds the routers that may handle one request.
	maxHops = 3
)

// ConfigServer serves configuration to peers.
type ConfigServer interface {
	ServePeer(request *peerpb.ConfigRequest) *peerpb.ConfigResponse
}

// ActionServer runs actions at the holder of their claim slots.
type ActionServer interface {
	ServeAction(ctx context.Context, request *peerpb.ActionRequest) (*peerpb.ActionResult, *refusal.Refusal)
}

// Handler implements peer.Handler: it serves the streams of other daemons.
type Handler struct {
	Owner   *owner.Owner
	Config  ConfigServer
	Actions ActionServer
	// OnPeerRevision is called with the name of a router that sent a request and
	// the configuration revision of the request. It may be nil.
	OnPeerRevision func(router string, revision uint64)
}

// ServeStream implements peer.Handler.
func (h *Handler) ServeStream(ctx context.Context, header *peerpb.StreamHeader, stream *peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOnClose(cancel, stream)
	switch request := header.GetRequest().(type) {
	case *peerpb.StreamHeader_Forward:
		h.serveForward(ctx, request.Forward, stream)
	case *peerpb.StreamHeader_Action:
		h.serveAction(ctx, request.Action, stream)
	case *peerpb.StreamHeader_Config:
		_ = stream.Send(h.Config.ServePeer(request.Config))
	}
}

// cancelOnClose cancels the request when the peer closes its stream. The peer
// sends nothing after the header, so that Receive returns only then.
func cancelOnClose(cancel context.CancelFunc, stream *peer.Stream) {
	_ = stream.Receive(&peerpb.ForwardEvent{}, 0)
	cancel()
}

// reportRevision calls OnPeerRevision for the last router on the request's path.
func (h *Handler) reportRevision(via []string, revision uint64) {
	if h.OnPeerRevision != nil && len(via) > 0 {
		h.OnPeerRevision(via[len(via)-1], revision)
	}
}

func (h *Handler) serveForward(ctx context.Context, request *peerpb.ForwardRequest, stream *peer.Stream) {
	h.reportRevision(request.GetVia(), request.GetConfigRevision())
	events := &eventSender{stream: stream}
	stop := events.sendKeepAlives(ctx)
	defer stop()
	if len(request.GetVia()) > maxHops {
		events.refuse(refusal.New(refusal.TooManyHops, "routers disagree about the owner: retry after the given time").
			WithRetryAfter(keepAliveInterval))
		return
	}
	err := h.Owner.Serve(ctx, request, events.send)
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		events.refuse(refused)
	}
}

func (h *Handler) serveAction(ctx context.Context, request *peerpb.ActionRequest, stream *peer.Stream) {
	h.reportRevision(request.GetVia(), request.GetConfigRevision())
	events := &eventSender{stream: stream}
	stop := events.sendKeepAlives(ctx)
	defer stop()
	result, refused := h.Actions.ServeAction(ctx, request)
	if refused != nil {
		events.refuse(refused)
		return
	}
	_ = events.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Action{Action: result}})
}

// eventSender writes the events of one stream, with keep-alive events in between.
// It is safe for concurrent use.
type eventSender struct {
	mu     sync.Mutex
	stream *peer.Stream
}

func (e *eventSender) send(event *peerpb.ForwardEvent) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stream.Send(event)
}

func (e *eventSender) refuse(refused *refusal.Refusal) {
	_ = e.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Refusal{Refusal: refused.ToProto()}})
}

// sendKeepAlives starts sending keep-alive events, until ctx is done or the
// returned function is called.
func (e *eventSender) sendKeepAlives(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(keepAliveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_ = e.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Waiting{Waiting: &peerpb.Waiting{}}})
			}
		}
	}()
	return cancel
}
