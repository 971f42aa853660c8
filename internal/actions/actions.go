// Package actions runs non-idempotent calls: the router that faces the caller
// finds the holder of the key's claim slot, and the holder claims the key
// before it sends the call, once.
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
	// maxHolders bounds the routers that are asked in turn to hold a slot.
	maxHolders        = 3
	retryAfterHolders = time.Second
)

// Remote asks another router to run an action.
type Remote interface {
	// Action returns relay.ErrOwnerUnreachable when the request surely didn't
	// reach the router, and relay.ErrLink when it may have.
	Action(ctx context.Context, router cluster.RouterView, request *peerpb.ActionRequest) (*peerpb.ActionResult, error)
}

var _ Remote = (*forward.Transport)(nil)

// Runner finds the holder of an action's slot. It is safe for concurrent use.
type Runner struct {
	self   string
	view   func() *cluster.View
	slotOf func(key uuid.UUID) int
	remote Remote
	local  forward.ActionServer
}

// NewRunner returns a runner; local serves the slots that this router holds.
func NewRunner(self string, view func() *cluster.View, slotOf func(uuid.UUID) int,
	remote Remote, local forward.ActionServer) *Runner {
	return &Runner{self: self, view: view, slotOf: slotOf, remote: remote, local: local}
}

// RunAction implements router.Actions. A holder that is leaving or can't be
// reached is replaced by the next in order: the journal keeps the former holder from
// claiming, so that asking another one never runs the action twice.
func (r *Runner) RunAction(ctx context.Context, request *peerpb.ActionRequest) (*peerpb.ActionResult, *refusal.Refusal) {
	key, err := uuid.Parse(request.GetActionKey())
	if err != nil {
		return nil, refusal.New(refusal.ActionKeyInvalid, "the action key is no UUID: make a new one")
	}
	reached := false
	for _, name := range r.holders(key) {
		result, err := r.ask(ctx, name, request)
		if err == nil {
			return result, nil
		}
		var refused *refusal.Refusal
		if errors.As(err, &refused) && refused.Kind != refusal.Leaving {
			return nil, withHistory(refused, reached)
		}
		reached = reached || mayHaveClaimed(err)
		if ctx.Err() != nil {
			break
		}
	}
	// Nobody has looked into the journal: an earlier request may have run it.
	return nil, refusal.NewUnknown(refusal.OwnerUnreachable,
		"no router can take the action: resend it with the same key after the given time").
		WithRetryAfter(retryAfterHolders)
}

// mayHaveClaimed reports whether a holder that gave no answer may have claimed
// the action. A leaving holder refuses before it claims.
func mayHaveClaimed(err error) bool {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused.Kind != refusal.Leaving
	}
	return !errors.Is(err, relay.ErrOwnerUnreachable)
}

// holders returns the routers to ask, the computed holder first.
func (r *Runner) holders(key uuid.UUID) []string {
	slot := claims.SlotName(r.slotOf(key))
	return placement.OwnersInOrder(slot, r.view().Owners, maxHolders)
}

func (r *Runner) ask(ctx context.Context, name string, request *peerpb.ActionRequest) (*peerpb.ActionResult, error) {
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

// withHistory keeps the outcome true: after a holder may have got the action,
// a later holder's "not run" concerns only its own part, unless that holder
// has looked into the journal and fenced the former one.
func withHistory(refused *refusal.Refusal, reached bool) *refusal.Refusal {
	if !reached || refused.Outcome != refusal.NotRun || isFenced(refused.Kind) {
		return refused
	}
	return refused.AsUnknown()
}

func isFenced(kind refusal.Kind) bool {
	return kind == refusal.ActionKeyReused
}
