// Package actions runs non-idempotent calls, which it calls actions. The router
// that receives the call determines which router holds the claim slot of its
// action key. That holder claims the key and then sends the call at most once.
package actions

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/forward"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
)

const (
	// maxHolders limits the number of routers that are tried in turn as the holder.
	maxHolders        = 3
	retryAfterHolders = time.Second
)

// Remote runs actions on other routers.
type Remote interface {
	// Action returns relay.ErrOwnerUnreachable if the request definitely didn't
	// reach the router, and relay.ErrConnectionLost if it may have.
	Action(ctx context.Context, router cluster.RouterView, request *peerpb.ActionRequest) (*peerpb.ActionResult, error)
}

var _ Remote = (*forward.Transport)(nil)

// Runner sends actions to the holders of their claim slots. It is safe for
// concurrent use.
type Runner struct {
	self   string
	view   func() *cluster.View
	slotOf func(key uuid.UUID) int
	remote Remote
	local  forward.ActionServer
}

// NewRunner returns a Runner. local serves the slots that this router holds.
func NewRunner(self string, view func() *cluster.View, slotOf func(uuid.UUID) int,
	remote Remote, local forward.ActionServer) *Runner {
	return &Runner{self: self, view: view, slotOf: slotOf, remote: remote, local: local}
}

// RunAction implements router.Actions. If a holder is leaving or unreachable, the
// next router in order is tried. This never runs an action twice, because the
// journal prevents the earlier holder from claiming it afterwards.
func (r *Runner) RunAction(ctx context.Context, request *peerpb.ActionRequest) (*peerpb.ActionResult, *refusal.Refusal) {
	key, err := uuid.Parse(request.GetActionKey())
	if err != nil {
		return nil, refusal.New(refusal.ActionKeyInvalid, "the action key is no UUID: make a new one")
	}
	maybeClaimed := false
	for _, name := range r.holders(key) {
		result, err := r.sendTo(ctx, name, request)
		if err == nil {
			return result, nil
		}
		var refused *refusal.Refusal
		if errors.As(err, &refused) && refused.Kind != refusal.Leaving {
			return nil, adjustOutcome(refused, maybeClaimed)
		}
		maybeClaimed = maybeClaimed || mayHaveClaimed(err)
		if ctx.Err() != nil {
			break
		}
	}
	// No holder has checked the journal, so an earlier request with this key may
	// have run the action.
	return nil, refusal.NewUnknown(refusal.OwnerUnreachable,
		"no router can take the action: resend it with the same key after the given time").
		WithRetryAfter(retryAfterHolders)
}

// mayHaveClaimed reports whether a holder that returned err may have claimed the
// action. A leaving holder refuses the request before it claims.
func mayHaveClaimed(err error) bool {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused.Kind != refusal.Leaving
	}
	return !errors.Is(err, relay.ErrOwnerUnreachable)
}

// holders returns the routers to try in order, starting with the computed holder.
func (r *Runner) holders(key uuid.UUID) []string {
	slot := claims.SlotName(r.slotOf(key))
	return placement.OwnersInOrder(slot, r.view().Owners, maxHolders)
}

func (r *Runner) sendTo(ctx context.Context, name string, request *peerpb.ActionRequest) (*peerpb.ActionResult, error) {
	if name == r.self {
		result, refused := r.local.ServeAction(ctx, request)
		if refused != nil {
			return nil, refused
		}
		return result, nil
	}
	router, ok := r.view().Router(name)
	if !ok {
		return nil, relay.ErrOwnerUnreachable
	}
	return r.remote.Action(ctx, router, request)
}

// adjustOutcome changes the outcome "not run" to unknown if an earlier holder may
// have run the action. The later holder can answer only for itself, unless it has
// checked the journal and fenced the earlier holder.
func adjustOutcome(refused *refusal.Refusal, maybeClaimed bool) *refusal.Refusal {
	if !maybeClaimed || refused.Outcome != refusal.NotRun || isFenced(refused.Kind) {
		return refused
	}
	return refused.AsUnknown()
}

func isFenced(kind refusal.Kind) bool {
	return kind == refusal.ActionKeyReused
}
