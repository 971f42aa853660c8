package trace

import (
	"encoding/json"
	"io"
)

// Write writes a trace in the format that Read accepts.
func Write(w io.Writer, t *Trace) error {
	encoder := json.NewEncoder(w)
	for _, record := range records(t) {
		if err := encoder.Encode(record); err != nil {
			return err
		}
	}
	return nil
}

func records(t *Trace) []Record {
	out := []Record{{Kind: KindSettings, Settings: &t.Settings}}
	for i := range t.Workspaces {
		out = append(out, Record{Kind: KindWorkspace, Workspace: &t.Workspaces[i]})
	}
	for i := range t.Selectors {
		out = append(out, Record{Kind: KindSelector, Selector: &t.Selectors[i]})
	}
	for i := range t.Turns {
		out = append(out, Record{Kind: KindTurn, Turn: &t.Turns[i]})
	}
	for i := range t.Calls {
		out = append(out, Record{Kind: KindCall, Call: &t.Calls[i]})
	}
	for i := range t.Changes {
		out = append(out, Record{Kind: KindChange, Change: &t.Changes[i]})
	}
	for i := range t.Faults {
		out = append(out, Record{Kind: KindFault, Fault: &t.Faults[i]})
	}
	for i := range t.Outcomes {
		out = append(out, Record{Kind: KindOutcome, Outcome: &t.Outcomes[i]})
	}
	return out
}
