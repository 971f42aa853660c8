package replay

import (
	"fmt"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// actionState combines the outcomes reported to the callers of one action with its
// executions at the service instances.
type actionState struct {
	executions int64
	// done, notRun and unknown count the sent calls by outcome.
	done, notRun, unknown int
}

func actionStates(r *Record) map[string]*actionState {
	states := make(map[string]*actionState)
	for _, call := range r.Calls {
		if call.ActionKey == "" {
			continue
		}
		state := states[call.ActionKey]
		if state == nil {
			state = &actionState{}
			states[call.ActionKey] = state
		}
		state.add(call.Outcome)
	}
	for _, e := range r.Executions {
		if state := states[e.ActionKey]; state != nil {
			state.executions += e.Count
		}
	}
	return states
}

func (s *actionState) add(outcome refusal.Outcome) {
	switch outcome {
	case refusal.Done:
		s.done++
	case refusal.NotRun:
		s.notRun++
	default:
		s.unknown++
	}
}

func measureActions(r *Record, m trace.Measure) (float64, string) {
	states := actionStates(r)
	if len(states) == 0 {
		return 0, "the replay sent no actions"
	}
	if len(r.ExecutionsMissing) > 0 {
		return 0, "executions of " + r.ExecutionsMissing[0] + " are unknown"
	}
	value := 0.0
	for _, s := range states {
		switch m {
		case trace.MeasureExecutions:
			value = max(value, float64(s.executions))
		case trace.MeasureNotRunExecutions:
			value += boolToFloat(s.notRun > 0 && s.executions > 0)
		case trace.MeasureDoneWithoutRun:
			value += boolToFloat(s.done > 0 && s.executions == 0)
		case trace.MeasureConfirmedActions:
			value += boolToFloat(s.done > 0) / float64(len(states))
		}
	}
	return value, ""
}

func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// contradictions lists the calls whose outcome is inconsistent with the executions
// of their action.
func contradictions(r *Record) []string {
	states := actionStates(r)
	var out []string
	for _, c := range r.Calls {
		s := states[c.ActionKey]
		if s == nil {
			continue
		}
		inconsistent := s.executions > 1 || (c.Outcome == refusal.Done && s.executions == 0) ||
			(c.Outcome == refusal.NotRun && s.executions > 0)
		if inconsistent {
			out = append(out, fmt.Sprintf("action %s (%s) ended %q with status %d after %d attempts, executed %d times",
				c.ID, c.ActionKey, c.Outcome, c.Status, c.Attempts, s.executions))
		}
	}
	return out
}
