package actions

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
	"github.com/verbenatrail/verbenatrail/internal/serviceclient"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// Holder runs the actions of the claim slots that this router holds.
type Holder struct {
	Claims     *claims.Claims
	Planner    *relay.Planner
	View       func() *cluster.View
	Services   *serviceclient.Client
	ReportConn func(upstream string, result membership.ConnResult)
	// Timeout limits all attempts to send one call, including its response.
	Timeout time.Duration
}

// ServeAction implements forward.ActionServer.
func (h *Holder) ServeAction(ctx context.Context, request *peerpb.ActionRequest) (*peerpb.ActionResult, *refusal.Refusal) {
	key, err := uuid.Parse(request.GetActionKey())
	if err != nil {
		return nil, refusal.New(refusal.ActionKeyInvalid, "the action key is no UUID: make a new one")
	}
	action := claims.Action{Key: key, Workspace: request.GetWorkspace(), Fingerprint: callFingerprint(request)}
	ctx, span := telemetry.StartSpan(telemetry.WithTraceparent(ctx, request.GetTraceparent()), "holder.action",
		attribute.String("service", request.GetCall().GetService()))
	defer span.End()
	result, refused := h.Claims.Do(ctx, action, func(ctx context.Context) (claims.Result, error) {
		return h.dispatch(ctx, key, request)
	})
	if refused != nil {
		return nil, refused
	}
	return &peerpb.ActionResult{
		Status: uint32(result.Status), Headers: result.Headers, Body: result.Body,
		Replayed: result.Recorded, BodyOmitted: result.BodyOmitted,
	}, nil
}

// dispatch sends the call to the first reachable instance. Once connected, it
// tries no other instance. Instances are selected after the claim, so that a
// repeated request gets the recorded outcome even if the configuration no longer
// admits the call.
func (h *Holder) dispatch(ctx context.Context, key uuid.UUID, request *peerpb.ActionRequest) (claims.Result, error) {
	service := request.GetCall()
	plan, refused := h.Planner.Plan(request.GetWorkspace(), service.GetService(), key.String(), fleet.KindService)
	if refused != nil {
		return claims.Result{}, refused
	}
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	for _, name := range plan.Ranked {
		address, ok := h.address(name)
		if !ok {
			continue
		}
		response, err := h.Services.DoOnce(ctx, address, service)
		if errors.Is(err, upstream.ErrUnreachable) {
			h.ReportConn(name, membership.ConnRefused)
			continue
		}
		if err != nil {
			return claims.Result{}, err
		}
		return claims.Result{Status: response.Status, Headers: response.Headers, Body: response.Body}, nil
	}
	return claims.Result{}, claims.ErrNotDispatched
}

func (h *Holder) address(upstream string) (string, bool) {
	state, known := h.View().Upstreams[upstream]
	return state.Address, known && state.State == cluster.Live
}

// callFingerprint identifies the content of an action. It distinguishes a repeated
// request from a different action under the same key.
func callFingerprint(request *peerpb.ActionRequest) uint64 {
	c := request.GetCall()
	return call.Fingerprint(c.GetBody(), request.GetWorkspace(), c.GetService(), c.GetMethod(), c.GetPath())
}
