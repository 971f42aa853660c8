// Package attempt decides what to do after a send of a call has failed: send it
// again, let its stream go on elsewhere, or end it, and what its caller may be
// told about its execution. It is pure.
package attempt

import "time"

// Progress is how far a failed send got.
type Progress int

// Progress of a send.
const (
	// Unsent: no byte of the call reached the instance.
	Unsent Progress = iota
	// NotRun: the instance stated that it has not run the call.
	NotRun
	// MayHaveRun: the call was sent, and nothing proves that it has not run.
	MayHaveRun
)

// String returns the progress as logs write it.
func (p Progress) String() string {
	return [...]string{"unsent", "not run", "may have run"}[p]
}

// Failure is a send that gave no whole answer, with what led to it.
type Failure struct {
	Progress Progress
	// Repeatable calls may run more than once.
	Repeatable bool
	// Attempts is the number of instances that the call has reached, this one
	// included unless it is Unsent.
	Attempts int
	// MaxAttempts bounds Sends.
	MaxAttempts int
	// FailedDials is the number of instances that could not be reached.
	FailedDials int
	// EarlierMayHaveRun is set when an earlier send may have run.
	EarlierMayHaveRun bool
	// ResponseStarted is set once the caller has a part of the answer.
	ResponseStarted bool
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// MinTime is the least time in which another send is worth while.
	MinTime time.Duration
}

// Verdict is what to do next.
type Verdict int

// Verdicts.
const (
	// Retry: send the call to another instance. An Unsent failure costs no
	// repeat of the budget.
	Retry Verdict = iota
	// Refuse: tell the caller that the call has not run and never will.
	Refuse
	// Fail: tell the caller that nothing is known about the execution.
	Fail
	// Expire: tell the caller that its time is over.
	Expire
	// Abort: end the answer in a way that can't be taken for its end.
	Abort
)

// String returns the verdict as logs write it.
func (v Verdict) String() string {
	return [...]string{"again", "refuse", "fail", "expire", "break"}[v]
}

// maxDials bounds the instances that one call tries to reach: after that many
// failures the fault is more likely on this side.
const maxDials = 4

// Decide returns the verdict on a failure. Budget is asked at most once, and
// only when all else allows a repeat; it counts the repeat.
func Decide(f Failure, budget func() bool) Verdict {
	if f.mayRepeat() && (f.Progress == Unsent && f.Attempts == 0 || budget()) {
		return Retry
	}
	return FinalVerdict(f)
}

func (f Failure) mayRepeat() bool {
	if f.TimeLeft <= f.MinTime {
		return false
	}
	switch f.Progress {
	case Unsent:
		return f.FailedDials < maxDials && f.Attempts < max(f.MaxAttempts, 1)
	case NotRun:
		return f.Attempts < f.MaxAttempts && (f.Repeatable || !f.EarlierMayHaveRun)
	default:
		return f.Repeatable && f.Attempts < f.MaxAttempts
	}
}

// FinalVerdict returns the verdict on a call that isn't sent again.
func FinalVerdict(f Failure) Verdict {
	switch {
	case f.ResponseStarted:
		return Abort
	case f.Progress != MayHaveRun && !f.EarlierMayHaveRun:
		return Refuse
	case f.TimeLeft <= 0:
		return Expire
	default:
		return Fail
	}
}
