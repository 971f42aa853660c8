package replay

import (
	"fmt"

	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// Judgement is the result of checking one outcome.
type Judgement string

// Judgements.
const (
	Pass      Judgement = "pass"
	Fail      Judgement = "fail"
	NotJudged Judgement = "not-judged"
)

// Verdict is an outcome with its measured value and judgement.
type Verdict struct {
	Outcome   trace.Outcome `json:"outcome"`
	Value     float64       `json:"value"`
	Judgement Judgement     `json:"judgement"`
	// Reason says why the outcome could not be judged.
	Reason string `json:"reason,omitempty"`
}

// String returns the verdict as a line of key=value pairs.
func (v Verdict) String() string {
	bound := "<="
	if v.Outcome.AtLeast {
		bound = ">="
	}
	line := fmt.Sprintf("outcome=%s value=%.4g bound=%s%.4g verdict=%s",
		v.Outcome.Measure, v.Value, bound, v.Outcome.Bound, v.Judgement)
	if v.Reason != "" {
		line += " reason=" + fmt.Sprintf("%q", v.Reason)
	}
	return line
}

// Judge returns a verdict for each outcome of the trace.
func Judge(r *Record) []Verdict {
	verdicts := make([]Verdict, 0, len(r.Trace.Outcomes))
	for _, outcome := range r.Trace.Outcomes {
		verdicts = append(verdicts, judgeOutcome(r, outcome))
	}
	return verdicts
}

// Passed reports whether all outcomes passed. It is false if there are none.
func Passed(verdicts []Verdict) bool {
	for _, v := range verdicts {
		if v.Judgement != Pass {
			return false
		}
	}
	return len(verdicts) > 0
}

func judgeOutcome(r *Record, outcome trace.Outcome) Verdict {
	value, reason := measure(r, outcome.Measure)
	v := Verdict{Outcome: outcome, Value: value, Judgement: Fail, Reason: reason}
	switch {
	case reason != "":
		v.Judgement = NotJudged
	case outcome.AtLeast && value >= outcome.Bound, !outcome.AtLeast && value <= outcome.Bound:
		v.Judgement = Pass
	}
	return v
}

// measure returns the value of a measure, or the reason why it has none.
func measure(r *Record, m trace.Measure) (float64, string) {
	switch m {
	case trace.MeasureWholeAnswers:
		return shareOfTurns(r, func(t *TurnRecord) bool { return t.Whole })
	case trace.MeasureWrongAnswers:
		return countTurns(r, func(t *TurnRecord) bool { return t.Wrong }), ""
	case trace.MeasureRefusedTurns:
		return shareOfTurns(r, func(t *TurnRecord) bool { return t.Refused })
	case trace.MeasureExecutions, trace.MeasureNotRunExecutions,
		trace.MeasureDoneWithoutRun, trace.MeasureConfirmedActions:
		return measureActions(r, m)
	case trace.MeasureSkew:
		return measureSkew(r)
	case trace.MeasureCacheReuse:
		return measureReuse(r)
	case trace.MeasureCacheReuseOfPossible:
		return measureReuseOfPossible(r)
	case trace.MeasureNewWorkOfLeaving:
		return measureNewWorkOfLeaving(r)
	case trace.MeasureBrokenStreams:
		return measureBrokenStreams(r), ""
	case trace.MeasureCutConnections:
		return countLost(r), ""
	case trace.MeasureControlBytes:
		return measureControlBytes(r)
	case trace.MeasureConfigurationTime:
		return measureConfiguration(r)
	case trace.MeasureConfigurationReverts:
		return measureReverts(r), ""
	default:
		return 0, "unknown measure"
	}
}

func countTurns(r *Record, match func(*TurnRecord) bool) float64 {
	count := 0.0
	for i := range r.Turns {
		if match(&r.Turns[i]) {
			count++
		}
	}
	return count
}

func countLost(r *Record) float64 {
	lost := 0
	for _, t := range r.Turns {
		lost += t.Lost
	}
	for _, c := range r.Calls {
		lost += c.Lost
	}
	return float64(lost)
}

func shareOfTurns(r *Record, match func(*TurnRecord) bool) (float64, string) {
	if len(r.Trace.Turns) == 0 {
		return 0, "the trace has no turns"
	}
	return countTurns(r, match) / float64(len(r.Trace.Turns)), ""
}
