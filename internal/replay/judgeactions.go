package replay

import (
	"fmt"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// actionState joins what the callers of one action were told with what the
// service instances executed.
type actionState struct {
	executions int64
	// done, notRun and unknown count the sendings that ended so.
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
		return 0, "no action was sent"
	}
	if len(r.ExecutionsMissing) > 0 {
		return 0, "executions of " + r.ExecutionsMissing[0] + " are not known"
	}
	value := 0.0
	for _, s := range states {
		switch m {
		case trace.MeasureExecutions:
			value = max(value, float64(s.executions))
		case trace.MeasureNotRunExecutions:
			value += countIf(s.notRun > 0 && s.executions > 0)
		case trace.MeasureDoneWithoutRun:
			value += countIf(s.done > 0 && s.executions == 0)
		case trace.MeasureConfirmedActions:
			value += countIf(s.done > 0) / float64(len(states))
		}
	}
	return value, ""
}

func countIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// contradictions names the sendings whose outcome the executions belie.
func contradictions(r *Record) []string {
	states := actionStates(r)
	var out []string
	for _, c := range r.Calls {
		s := states[c.ActionKey]
		if s == nil {
			continue
		}
		belied := s.executions > 1 || (c.Outcome == refusal.Done && s.executions == 0) ||
			(c.Outcome == refusal.NotRun && s.executions > 0)
		if belied {
			out = append(out, fmt.Sprintf("action %s (%s) ended %q with status %d after %d attempts, executed %d times",
				c.ID, c.ActionKey, c.Outcome, c.Status, c.Attempts, s.executions))
		}
	}
	return out
}
