package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// passingRecord returns the record of a replay in which every outcome passes.
func passingRecord() *Record {
	t := &trace.Trace{
		Settings: trace.Settings{DurationMS: 10000},
		Turns:    make([]trace.Turn, 2),
		Changes:  []trace.Change{{ID: "drain", Upstream: "e1", Drain: true}},
	}
	for _, m := range trace.Measures {
		o := trace.Outcome{Measure: m}
		switch m {
		case trace.MeasureWholeAnswers, trace.MeasureConfirmedActions, trace.MeasureCacheReuse, trace.MeasureCacheReuseOfPossible:
			o.Bound, o.AtLeast = 0.9, true
		case trace.MeasureExecutions, trace.MeasureSkew:
			o.Bound = 1.25
		case trace.MeasureControlBytes, trace.MeasureConfigurationTime:
			o.Bound = 100
		}
		t.Outcomes = append(t.Outcomes, o)
	}
	r := &Record{
		Trace: t,
		Turns: []TurnRecord{
			{ID: "a", Chat: "c", At: time.Second, Upstream: "e1", Whole: true},
			{ID: "b", Chat: "c", At: 2 * time.Second, Upstream: "e1", Whole: true, Returning: true, PrefixTokens: 100, CachedTokens: 100},
		},
		Calls:      []CallRecord{{ID: "s", ActionKey: "k", Outcome: refusal.Done}, {ID: "s", ActionKey: "k", Outcome: refusal.Unknown}},
		Executions: []Execution{{ActionKey: "k", Count: 1}},
		Changes:    []ChangeRecord{{ID: "drain", Revision: 2, At: time.Second}},
	}
	for i := range 12 {
		r.Samples = append(r.Samples, Sample{
			At:      time.Duration(i) * time.Second,
			Engines: []EngineSample{{Name: "e1", Pool: "m", Live: true, InFlight: 10, Accepted: 5}, {Name: "e2", Pool: "m", Live: true, InFlight: 9}},
			Daemons: []DaemonSample{{Name: "r1", Revision: 2, ControlBytes: float64(i * 90)}},
		})
	}
	return r
}

func judgementOf(r *Record, m trace.Measure) Judgement {
	for _, v := range Judge(r) {
		if v.Outcome.Measure == m {
			return v.Judgement
		}
	}
	return NotJudged
}

func TestPassingRecordPasses(t *testing.T) {
	for _, v := range Judge(passingRecord()) {
		if v.Judgement != Pass {
			t.Error(v)
		}
	}
	if Passed(nil) {
		t.Error("passed without outcomes")
	}
}

func TestEachMeasureDetectsItsFailure(t *testing.T) {
	last := 11
	cases := []struct {
		measure trace.Measure
		modify  func(*Record)
	}{
		{trace.MeasureWholeAnswers, func(r *Record) { r.Turns[0].Whole = false }},
		{trace.MeasureWholeAnswers, func(r *Record) { r.Turns = r.Turns[:1] }},
		{trace.MeasureWrongAnswers, func(r *Record) { r.Turns[0].Wrong = true }},
		{trace.MeasureRefusedTurns, func(r *Record) { r.Turns[0].Refused = true }},
		{trace.MeasureExecutions, func(r *Record) { r.Executions[0].Count = 2 }},
		{trace.MeasureNotRunExecutions, func(r *Record) { r.Calls[1].Outcome = refusal.NotRun }},
		{trace.MeasureDoneWithoutRun, func(r *Record) { r.Executions = nil }},
		{trace.MeasureConfirmedActions, func(r *Record) { r.Calls = r.Calls[1:] }},
		{trace.MeasureSkew, func(r *Record) { r.Samples[3].Engines[0].InFlight = 20 }},
		{trace.MeasureCacheReuse, func(r *Record) { r.Turns[1].CachedTokens = 0 }},
		{trace.MeasureCacheReuseOfPossible, func(r *Record) { r.Turns[1].CachedTokens = 50 }},
		{trace.MeasureNewWorkOfLeaving, func(r *Record) { r.Samples[last].Engines[0].Accepted = 6 }},
		{trace.MeasureBrokenStreams, func(r *Record) { r.Samples[last].Daemons[0].BrokenStreams = 1 }},
		{trace.MeasureCutConnections, func(r *Record) { r.Calls[0].Lost = 1 }},
		{trace.MeasureControlBytes, func(r *Record) { r.Samples[last].Daemons[0].ControlBytes = 5000 }},
		{trace.MeasureConfigurationTime, func(r *Record) { r.Changes[0].Revision = 3 }},
		{trace.MeasureConfigurationReverts, func(r *Record) { r.Samples[last].Daemons[0].Revision = 1 }},
	}
	for _, c := range cases {
		r := passingRecord()
		c.modify(r)
		if got := judgementOf(r, c.measure); got != Fail {
			t.Errorf("%s: %s, want fail", c.measure, got)
		}
	}
}

func TestMissingExecutionsAreNotJudged(t *testing.T) {
	r := passingRecord()
	r.ExecutionsMissing = []string{"booking-1"}
	if got := judgementOf(r, trace.MeasureExecutions); got != NotJudged {
		t.Errorf("got %s", got)
	}
	if Passed(Judge(r)) {
		t.Error("passed with an outcome that was not judged")
	}
}

func TestSkewAllowsOneRequestAboveMean(t *testing.T) {
	cases := []struct{ mean, highest, want float64 }{
		{0, 0, 1}, {0.4, 1, 1}, {0.5, 2, 4}, {2.5, 3, 1}, {2, 4, 2}, {10, 12, 1.2}, {10, 11, 1},
	}
	for _, c := range cases {
		if got := (PoolLoad{Mean: c.mean, Highest: c.highest}).Skew(); got != c.want {
			t.Errorf("mean %v, highest %v: skew %v, want %v", c.mean, c.highest, got, c.want)
		}
	}
}

func TestWriteCreatesAllFiles(t *testing.T) {
	dir := t.TempDir()
	r := passingRecord()
	if err := Write(dir, r, NewReport(r, Judge(r))); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"report.json", "report.md", "turns.jsonl", "calls.jsonl", "samples.jsonl", plotLoad, plotReuse, plotControl} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || len(bytes.TrimSpace(data)) == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestTurnsByChatKeepsOrder(t *testing.T) {
	turns := []trace.Turn{{ID: "a0", Chat: "a"}, {ID: "b0", Chat: "b"}, {ID: "a1", Chat: "a", Turn: 1}}
	groups := turnsByChat(turns)
	if len(groups) != 2 || groups[0][1].ID != "a1" || groups[1][0].ID != "b0" {
		t.Errorf("groups %+v", groups)
	}
}
