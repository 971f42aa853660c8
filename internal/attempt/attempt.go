// Package attempt decides what to do after a failed attempt of a call: retry it,
// resume its stream at another instance, or end it, and what the caller may be
// told about its execution. It keeps no state and does no I/O.
package attempt

import "time"

// Progress is how far a failed attempt got.
type Progress int

// Progress of a failed attempt.
const (
	// Unsent: no byte of the call reached the instance.
	Unsent Progress = iota
	// NotRun: the instance stated that it has not run the call.
	NotRun
	// MayHaveRun: the call was sent at least in part, and nothing proves that it
	// has not run.
	MayHaveRun
)

// String returns the progress as it appears in logs.
func (p Progress) String() string {
	return [...]string{"unsent", "not run", "may have run"}[p]
}

// Failure describes an attempt without a complete response and the state of its
// call.
type Failure struct {
	Progress Progress
	// Repeatable is set if the call may run more than once. Others are retried only
	// if they provably have not run.
	Repeatable bool
	// Attempts is the number of instances that the call has reached, including
	// the one of this attempt unless it is Unsent.
	Attempts int
	// MaxAttempts is the limit of Attempts.
	MaxAttempts int
	// FailedDials is the number of instances that could not be connected to.
	FailedDials int
	// EarlierMayHaveRun is set if an earlier attempt may have run the call.
	EarlierMayHaveRun bool
	// ResponseStarted is set once the caller has received part of the response.
	ResponseStarted bool
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// MinTime is the time that must be left for a retry to be worthwhile.
	MinTime time.Duration
}

// Verdict is what to do next.
type Verdict int

// Verdicts.
const (
	// Retry: send the call to another instance. The retry budget is not charged
	// while no instance has received the call.
	Retry Verdict = iota
	// Refuse: tell the caller that the call has not run and will not run.
	Refuse
	// Fail: tell the caller that it is unknown whether the call has run.
	Fail
	// Expire: tell the caller that the deadline is exceeded and that it is unknown
	// whether the call has run.
	Expire
	// Abort: end the response so that it can't be taken for a complete one.
	Abort
)

// String returns the verdict as it appears in logs.
func (v Verdict) String() string {
	return [...]string{"again", "refuse", "fail", "expire", "break"}[v]
}

// maxDials is the limit of failed dials of one call: after that many, the cause is
// more likely on this router's side.
const maxDials = 4

// Decide returns the verdict on a failure. Budget takes a retry from the retry
// budget and reports whether it was available. It is called at most once, and
// only if all other conditions allow a retry.
func Decide(f Failure, budget func() bool) Verdict {
	if f.mayRetry() && (f.Progress == Unsent && f.Attempts == 0 || budget()) {
		return Retry
	}
	return FinalVerdict(f)
}

func (f Failure) mayRetry() bool {
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

// FinalVerdict returns the verdict on a call that isn't retried.
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
