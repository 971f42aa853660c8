package actions

import (
	"context"
	"testing"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
)

// fakeRemote returns one result per request, in order; the last one repeats.
type fakeRemote struct {
	errs     []error
	requests int
}

func (r *fakeRemote) Action(context.Context, cluster.RouterView, *peerpb.ActionRequest) (*peerpb.ActionResult, error) {
	err := r.errs[min(r.requests, len(r.errs)-1)]
	r.requests++
	if err != nil {
		return nil, err
	}
	return &peerpb.ActionResult{Status: 201}, nil
}

// If a holder is leaving or unreachable, the next one is tried. Once a holder may
// have claimed the action, a later "not run" must be reported as unknown.
func TestRunActionTriesNextHolder(t *testing.T) {
	leaving := refusal.New(refusal.Leaving, "leaving")
	outage := refusal.New(refusal.ClaimsUnavailable, "outage")
	cases := []struct {
		name     string
		errs     []error
		requests int
		outcome  refusal.Outcome
	}{
		{"answered", []error{nil}, 1, refusal.Done},
		{"leaving", []error{leaving, nil}, 2, refusal.Done},
		{"unreachable", []error{relay.ErrOwnerUnreachable, nil}, 2, refusal.Done},
		{"all leaving", []error{leaving}, 3, refusal.Unknown},
		{"not run at the first", []error{outage}, 1, refusal.NotRun},
		{"not run after a lost connection", []error{relay.ErrConnectionLost, outage}, 2, refusal.Unknown},
		{"lost connections", []error{relay.ErrConnectionLost}, 3, refusal.Unknown},
		{"not run after a leaving holder", []error{leaving, outage}, 2, refusal.NotRun},
		{"wrapped error", []error{errors.WithStack(relay.ErrOwnerUnreachable), outage}, 2, refusal.NotRun},
	}
	view := &cluster.View{Self: "self"}
	for _, name := range []string{"a", "b", "c", "d"} {
		view.Owners = append(view.Owners, name)
		view.Routers = append(view.Routers, cluster.RouterView{Name: name})
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			remote := &fakeRemote{errs: tc.errs}
			runner := NewRunner("self", func() *cluster.View { return view }, func(uuid.UUID) int { return 3 }, remote, nil)
			_, refused := runner.RunAction(context.Background(), &peerpb.ActionRequest{ActionKey: uuid.Must(uuid.NewV7()).String()})
			outcome := refusal.Done
			if refused != nil {
				outcome = refused.Outcome
			}
			if outcome != tc.outcome || remote.requests != tc.requests {
				t.Errorf("outcome %q after %d requests, want %q after %d", outcome, remote.requests, tc.outcome, tc.requests)
			}
		})
	}
}
