package owner

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/serviceclient"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

func (o *Owner) serveService(ctx context.Context, request *peerpb.ForwardRequest, t *target,
	call *peerpb.ServiceCall, sink Sink) error {
	if t.leaving {
		return refusal.New(refusal.Leaving, "instance "+t.declared.Name+" is leaving: try another").WithRetryAfter(retryAfterBusy)
	}
	slot, refused := o.admit(ctx, request, t, sink)
	if refused != nil {
		return refused
	}
	response, err := o.callService(ctx, t, call)
	slot.release(endOf(response, err))
	if err != nil {
		return o.serviceFailure(ctx, t, err)
	}
	o.ReportConn(t.declared.Name, membership.ConnOK)
	return sendResponse(sink, t.declared.Name, response)
}

func (o *Owner) callService(ctx context.Context, t *target, call *peerpb.ServiceCall) (*serviceclient.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Settings.ServiceTimeout.Std())
	defer cancel()
	return o.Services.Do(ctx, t.address, call)
}

// endOf returns how a service's call ended. A response that is no success says nothing
// about what the request does to the instance.
func endOf(response *serviceclient.Response, err error) End {
	if err == nil && response.Status < http.StatusMultipleChoices {
		return EndComplete
	}
	return EndIncomplete
}

func (o *Owner) serviceFailure(ctx context.Context, t *target, err error) error {
	name := t.declared.Name
	switch {
	case errors.Is(err, upstream.ErrUnreachable):
		o.ReportConn(name, membership.ConnRefused)
		return refusal.New(refusal.UpstreamFailed, "instance "+name+" can't be reached: try another").WithRetryAfter(retryAfterFailure)
	case errors.Is(err, serviceclient.ErrTooLarge):
		return refusal.NewUnknown(refusal.UpstreamFailed, err.Error())
	case ctx.Err() != nil:
		return refusal.NewUnknown(refusal.DeadlineExceeded, "the call's time limit passed at instance "+name+": retry with a longer one")
	default:
		o.ReportConn(name, membership.ConnIncomplete)
		return refusal.NewUnknown(refusal.UpstreamFailed, "instance "+name+" sent no whole answer: try another").WithRetryAfter(retryAfterFailure)
	}
}

func sendResponse(sink Sink, instance string, response *serviceclient.Response) error {
	head := &peerpb.ResponseHead{Status: uint32(response.Status), Headers: response.Headers, Upstream: instance}
	events := []*peerpb.ForwardEvent{
		{Event: &peerpb.ForwardEvent_Head{Head: head}},
		{Event: &peerpb.ForwardEvent_Body{Body: &peerpb.BodyChunk{Data: response.Body}}},
		{Event: &peerpb.ForwardEvent_End{End: &peerpb.AnswerEnd{}}},
	}
	for _, event := range events {
		if err := sink(event); err != nil {
			return sinkError(err)
		}
	}
	return nil
}
