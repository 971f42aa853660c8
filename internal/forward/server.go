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
	// noticeInterval is the time between two notices on a stream that carries
	// no other events.
	noticeInterval = time.Second
	// maxHops bounds the routers that may handle one request.
	maxHops = 3
)

// ConfigServer answers peers that ask for configuration.
type ConfigServer interface {
	ServePeer(request *peerpb.ConfigRequest) *peerpb.ConfigResponse
}

// ActionServer runs actions as the holder of their claim slots.
type ActionServer interface {
	ServeAction(ctx context.Context, request *peerpb.ActionRequest) (*peerpb.ActionResult, *refusal.Refusal)
}

// Handler implements peer.Handler: it serves the streams of other daemons.
type Handler struct {
	Owner   *owner.Owner
	Config  ConfigServer
	Actions ActionServer
	// OnPeerRevision is told of the configuration revision of a router that sent a
	// request; nil means nobody is.
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

// cancelOnClose ends the request when the other side closes its stream. The
// other side sends nothing after the header.
func cancelOnClose(cancel context.CancelFunc, stream *peer.Stream) {
	_ = stream.Receive(&peerpb.ForwardEvent{}, 0)
	cancel()
}

// announce reports the revision that the last router placed a request under.
func (h *Handler) announce(via []string, revision uint64) {
	if h.OnPeerRevision != nil && len(via) > 0 {
		h.OnPeerRevision(via[len(via)-1], revision)
	}
}

func (h *Handler) serveForward(ctx context.Context, request *peerpb.ForwardRequest, stream *peer.Stream) {
	h.announce(request.GetVia(), request.GetConfigRevision())
	events := &eventSender{stream: stream}
	stop := events.keepNoticing(ctx)
	defer stop()
	if len(request.GetVia()) > maxHops {
		events.refuse(refusal.New(refusal.TooManyHops, "routers disagree about the owner: retry after the given time").
			WithRetryAfter(noticeInterval))
		return
	}
	err := h.Owner.Serve(ctx, request, events.send)
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		events.refuse(refused)
	}
}

func (h *Handler) serveAction(ctx context.Context, request *peerpb.ActionRequest, stream *peer.Stream) {
	h.announce(request.GetVia(), request.GetConfigRevision())
	events := &eventSender{stream: stream}
	stop := events.keepNoticing(ctx)
	defer stop()
	result, refused := h.Actions.ServeAction(ctx, request)
	if refused != nil {
		events.refuse(refused)
		return
	}
	_ = events.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Action{Action: result}})
}

// eventSender writes the events of one stream, with notices in between.
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

// keepNoticing sends notices until the returned function is called.
func (e *eventSender) keepNoticing(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(noticeInterval)
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
