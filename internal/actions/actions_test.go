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

// holders answers for each router in the order in which they are asked.
type holders struct {
	errs  []error
	asked int
}

func (h *holders) Action(context.Context, cluster.RouterView, *peerpb.ActionRequest) (*peerpb.ActionResult, error) {
	err := h.errs[min(h.asked, len(h.errs)-1)]
	h.asked++
	if err != nil {
		return nil, err
	}
	return &peerpb.ActionResult{Status: 201}, nil
}

// A holder that leaves or is unreachable is replaced; once one may have claimed
// the action, a later "not run" is told as unknown.
func TestRunActionAsksTheNextHolder(t *testing.T) {
	leaving := refusal.New(refusal.Leaving, "leaving")
	outage := refusal.New(refusal.ClaimsUnavailable, "outage")
	cases := []struct {
		name    string
		errs    []error
		asked   int
		outcome refusal.Outcome
	}{
		{"answered", []error{nil}, 1, refusal.Done},
		{"leaving", []error{leaving, nil}, 2, refusal.Done},
		{"unreachable", []error{relay.ErrOwnerUnreachable, nil}, 2, refusal.Done},
		{"all leaving", []error{leaving}, 3, refusal.Unknown},
		{"not run at the first", []error{outage}, 1, refusal.NotRun},
		{"not run after a lost link", []error{relay.ErrConnectionLost, outage}, 2, refusal.Unknown},
		{"lost links", []error{relay.ErrConnectionLost}, 3, refusal.Unknown},
		{"not run after a leaving holder", []error{leaving, outage}, 2, refusal.NotRun},
		{"wrapped", []error{errors.WithStack(relay.ErrOwnerUnreachable), outage}, 2, refusal.NotRun},
	}
	view := &cluster.View{Self: "facing"}
	for _, name := range []string{"a", "b", "c", "d"} {
		view.Owners = append(view.Owners, name)
		view.Routers = append(view.Routers, cluster.RouterView{Name: name})
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			remote := &holders{errs: tc.errs}
			runner := NewRunner("facing", func() *cluster.View { return view }, func(uuid.UUID) int { return 3 }, remote, nil)
			_, refused := runner.RunAction(context.Background(), &peerpb.ActionRequest{ActionKey: uuid.Must(uuid.NewV7()).String()})
			outcome := refusal.Done
			if refused != nil {
				outcome = refused.Outcome
			}
			if outcome != tc.outcome || remote.asked != tc.asked {
				t.Errorf("outcome %q after %d holders, want %q after %d", outcome, remote.asked, tc.outcome, tc.asked)
			}
		})
	}
}
