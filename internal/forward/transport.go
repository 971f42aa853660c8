// Package forward sends a call from the router that received it to the router that
// owns its upstream, which may be the same one.
package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/owner"
	"github.com/verbenatrail/verbenatrail/internal/peer"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
)

// stallTimeout is the longest time between two events of a forwarded call
// before its connection counts as failed. Owners send keep-alive events more
// often, see keepAliveInterval.
const stallTimeout = 4 * time.Second

// Reporter records whether connections to other routers work.
type Reporter interface {
	ReportPeer(name string, ok bool)
}

// Transport implements relay.Transport.
type Transport struct {
	self     string
	local    *owner.Owner
	pool     *peer.Pool
	reporter Reporter
}

// NewTransport returns the transport of the router named self. Requests to self are
// served by local in this process, the others are sent through pool.
func NewTransport(self string, local *owner.Owner, pool *peer.Pool, reporter Reporter) *Transport {
	return &Transport{self: self, local: local, pool: pool, reporter: reporter}
}

// Forward implements relay.Transport.
func (t *Transport) Forward(ctx context.Context, router cluster.RouterView, request *peerpb.ForwardRequest,
	receive func(*peerpb.ForwardEvent) error) error {
	request.Via = append(request.Via, t.self)
	if router.Name == t.self {
		return t.forwardLocal(ctx, request, receive)
	}
	return t.forwardRemote(ctx, router, request, receive)
}

// forwardLocal returns an error of receive unchanged, so that the relay can tell
// a caller that has disconnected from an upstream that failed.
func (t *Transport) forwardLocal(ctx context.Context, request *peerpb.ForwardRequest,
	receive func(*peerpb.ForwardEvent) error) error {
	var receiveErr error
	err := t.local.Serve(ctx, request, func(event *peerpb.ForwardEvent) error {
		receiveErr = receive(event)
		return receiveErr
	})
	if receiveErr != nil {
		return receiveErr
	}
	return err
}

func (t *Transport) forwardRemote(ctx context.Context, router cluster.RouterView, request *peerpb.ForwardRequest,
	receive func(*peerpb.ForwardEvent) error) error {
	header := &peerpb.StreamHeader{Request: &peerpb.StreamHeader_Forward{Forward: request}}
	stream, err := t.open(ctx, router, header)
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	return t.readEvents(ctx, router, stream, receive)
}

func (t *Transport) readEvents(ctx context.Context, router cluster.RouterView, stream *peer.Stream,
	receive func(*peerpb.ForwardEvent) error) error {
	for {
		event := &peerpb.ForwardEvent{}
		if err := stream.Receive(event, stallTimeout); err != nil {
			return t.connectionLost(ctx, router, err)
		}
		if refused := event.GetRefusal(); refused != nil {
			return refusal.FromProto(refused)
		}
		if err := receive(event); err != nil {
			return err
		}
		if event.GetEnd() != nil || event.GetAction() != nil {
			return nil
		}
	}
}

// connectionLost discards and reports the connection of a broken stream, and
// returns relay.ErrConnectionLost. If the call's own context is done, it only
// returns the context's error.
func (t *Transport) connectionLost(ctx context.Context, router cluster.RouterView, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	t.pool.Discard(router.PeerAddress)
	t.reporter.ReportPeer(router.Name, false)
	return errors.Wrap(relay.ErrConnectionLost, err.Error())
}
