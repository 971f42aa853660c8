package prove

import (
	"fmt"
	"os"
	"testing"

	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/replay"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// All proofs run when the environment variable proveVariable is set to proveAll.
const (
	proveVariable = "VERBENATRAIL_PROVE"
	proveAll      = "all"
)

// Numbers of the promises, in the order of docs/PROOFS.md.
const (
	promiseEvenLoad = iota + 1
	promiseWholeAnswers
	promiseNotRun
	promiseAtMostOnce
	promiseNoNewWork
	promiseGracefulShutdown
	promiseConfiguration
)

// replayedProof is a proof that replays a short trace with faults.
type replayedProof struct {
	promise int
	fault   string
	// short marks a proof that a plain test run includes.
	short    bool
	faults   []trace.Fault
	changes  []trace.Change
	outcomes []trace.Outcome
	// effects must all be observed, as evidence that the faults took effect.
	effects []effect
	// adjust modifies the profile of the trace; it may be nil.
	adjust func(*trace.Profile)
}

func TestReplayedProofs(t *testing.T) {
	for _, p := range replayedProofs() {
		if !p.short && os.Getenv(proveVariable) != proveAll {
			continue
		}
		t.Run(fmt.Sprintf("%d/%s", p.promise, p.fault), func(t *testing.T) {
			t.Parallel()
			defer report(t, p.promise, p.fault)
			p.prove(t)
		})
	}
}

func (p replayedProof) prove(t *testing.T) {
	profile := smallProfile()
	profile.Faults, profile.Changes, profile.Outcomes = p.faults, p.changes, p.outcomes
	if p.adjust != nil {
		p.adjust(&profile)
	}
	f := startFleet(t, trace.Generate(profile, proofSeed, proofDuration), layout.Options{})
	record, verdicts := f.replay()
	for _, failed := range record.Faults {
		if failed.Failure != "" {
			t.Errorf("fault on %s couldn't be injected: %s", failed.Target, failed.Failure)
		}
	}
	for _, e := range p.effects {
		if !e.observed(f, record) {
			t.Errorf("fault had no effect: not observed that %s", e.description)
		}
	}
	for _, v := range verdicts {
		if v.Judgement != replay.Pass {
			t.Error(v)
		}
	}
	if t.Failed() {
		logFailures(t, record, verdicts)
	}
}

// logFailures logs the first failed requests and unevenly loaded samples.
func logFailures(t *testing.T, record *replay.Record, verdicts []replay.Verdict) {
	summary := replay.NewReport(record, verdicts)
	for i, failure := range summary.Failures {
		if i < 10 {
			t.Log(failure)
		}
	}
	for i, sample := range summary.Uneven {
		if i < 5 {
			t.Logf("uneven: %+v", sample)
		}
	}
}

// report prints the result line of a proof, which scripts/prove.sh collects.
func report(t *testing.T, promise int, fault string) {
	verdict := "pass"
	if t.Failed() {
		verdict = "fail"
	}
	if t.Skipped() {
		verdict = "not-proved"
	}
	fmt.Printf("promise=%d fault=%q verdict=%s\n", promise, fault, verdict)
}

func fault(atMS int64, target string, action trace.FaultAction) trace.Fault {
	return trace.Fault{AtMS: atMS, Target: target, Action: action}
}

func setFaults(atMS int64, target string, body map[string]any) trace.Fault {
	return trace.Fault{AtMS: atMS, Target: target, Action: trace.ActionSet, Body: body}
}

func performAction(atMS int64, target string, body map[string]any) trace.Fault {
	return trace.Fault{AtMS: atMS, Target: target, Action: trace.ActionPerform, Body: body}
}
