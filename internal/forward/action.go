package forward

import (
	"context"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/peer"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/relay"
)

// Action asks another router to run an action, which is a non-idempotent call of a
// service. It returns relay.ErrOwnerUnreachable when the request certainly didn't
// reach the router, relay.ErrConnectionLost when it may have, and the router's
// refusal otherwise.
func (t *Transport) Action(ctx context.Context, router cluster.RouterView, request *peerpb.ActionRequest) (*peerpb.ActionResult, error) {
	request.Via = append(request.Via, t.self)
	header := &peerpb.StreamHeader{Request: &peerpb.StreamHeader_Action{Action: request}}
	stream, err := t.open(ctx, router, header)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	var result *peerpb.ActionResult
	err = t.readEvents(ctx, router, stream, func(event *peerpb.ForwardEvent) error {
		result = event.GetAction()
		return nil
	})
	return result, err
}

// open starts a stream to a router. A failure is also reported to the reporter.
func (t *Transport) open(ctx context.Context, router cluster.RouterView, header *peerpb.StreamHeader) (*peer.Stream, error) {
	stream, err := t.pool.Open(ctx, router.PeerAddress, header)
	if err == nil {
		return stream, nil
	}
	t.reporter.ReportPeer(router.Name, false)
	if errors.Is(err, peer.ErrUnreachable) {
		return nil, errors.Wrap(relay.ErrOwnerUnreachable, err.Error())
	}
	return nil, errors.Wrap(relay.ErrConnectionLost, err.Error())
}
