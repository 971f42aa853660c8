package attempt

import (
	"fmt"
	"testing"
	"time"
)

// forEachFailure calls check for each combination of the inputs of a verdict.
func forEachFailure(check func(f Failure, budget bool)) {
	flags := []bool{false, true}
	for _, progress := range []Progress{Unsent, NotRun, MayHaveRun} {
		for attempts := range 4 {
			for dials := range maxDials + 1 {
				for _, left := range []time.Duration{-time.Second, 0, 10 * time.Millisecond, time.Second} {
					for bits := range 16 {
						check(Failure{
							Progress: progress, Attempts: attempts, MaxAttempts: 2, FailedDials: dials, TimeLeft: left,
							MinTime: 20 * time.Millisecond, Repeatable: flags[bits&1], EarlierMayHaveRun: flags[bits>>1&1],
							ResponseStarted: flags[bits>>2&1],
						}, flags[bits>>3&1])
					}
				}
			}
		}
	}
}

// decide returns the verdict and how often the budget was called.
func decide(f Failure, budget bool) (verdict Verdict, budgetCalls int) {
	verdict = Decide(f, func() bool { budgetCalls++; return budget })
	return verdict, budgetCalls
}

func TestNonRepeatableCallsThatMayHaveRunAreNotRetried(t *testing.T) {
	forEachFailure(func(f Failure, budget bool) {
		verdict, _ := decide(f, budget)
		mayHaveRun := f.Progress == MayHaveRun || f.EarlierMayHaveRun && f.Progress == NotRun
		if verdict == Retry && mayHaveRun && !f.Repeatable {
			t.Errorf("%+v is retried", f)
		}
	})
}

func TestRefusedCallsHaveNotRun(t *testing.T) {
	forEachFailure(func(f Failure, budget bool) {
		verdict, _ := decide(f, budget)
		if verdict == Refuse && (f.Progress == MayHaveRun || f.EarlierMayHaveRun || f.ResponseStarted) {
			t.Errorf("%+v is refused as not run", f)
		}
	})
}

func TestAttemptsAndBudgetLimitRetries(t *testing.T) {
	forEachFailure(func(f Failure, budget bool) {
		verdict, budgetCalls := decide(f, budget)
		if budgetCalls > 1 {
			t.Errorf("%+v takes %d retries from the budget", f, budgetCalls)
		}
		if verdict != Retry {
			return
		}
		if f.Attempts >= f.MaxAttempts || f.TimeLeft <= f.MinTime {
			t.Errorf("%+v is retried", f)
		}
		unreached := f.Progress == Unsent && f.Attempts == 0
		if !unreached && (budgetCalls == 0 || !budget) {
			t.Errorf("%+v is retried without taking from the budget", f)
		}
	})
}

func TestStartedResponsesAreAborted(t *testing.T) {
	forEachFailure(func(f Failure, budget bool) {
		verdict, _ := decide(f, budget)
		if f.ResponseStarted != (verdict == Abort) && verdict != Retry {
			t.Errorf("%+v: %v", f, verdict)
		}
	})
}

func TestVerdicts(t *testing.T) {
	ample := Failure{MaxAttempts: 2, TimeLeft: time.Second, MinTime: 20 * time.Millisecond}
	with := func(change func(*Failure)) Failure {
		f := ample
		change(&f)
		return f
	}
	cases := []struct {
		name    string
		failure Failure
		want    Verdict
	}{
		{"first instance unreachable", with(func(f *Failure) { f.FailedDials = 1 }), Retry},
		{"many instances unreachable", with(func(f *Failure) { f.FailedDials = maxDials }), Refuse},
		{"shed once", with(func(f *Failure) { f.Progress, f.Attempts = NotRun, 1 }), Retry},
		{"shed as often as allowed", with(func(f *Failure) { f.Progress, f.Attempts = NotRun, 2 }), Refuse},
		{"no response, not repeatable", with(func(f *Failure) { f.Progress, f.Attempts = MayHaveRun, 1 }), Fail},
		{"no response, repeatable", with(func(f *Failure) { f.Progress, f.Attempts, f.Repeatable = MayHaveRun, 1, true }), Retry},
		{"no response at the deadline", with(func(f *Failure) { f.Progress, f.Attempts, f.TimeLeft = MayHaveRun, 1, 0 }), Expire},
	}
	for _, tc := range cases {
		if got, _ := decide(tc.failure, true); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

func ExampleDecide() {
	noResponse := Failure{Progress: MayHaveRun, Attempts: 1, MaxAttempts: 2, TimeLeft: time.Second}
	fmt.Println(Decide(noResponse, func() bool { return true }))
	noResponse.Repeatable = true
	fmt.Println(Decide(noResponse, func() bool { return true }))
	// Output:
	// fail
	// again
}
