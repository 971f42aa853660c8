// Package overload decides whether a call of a plain service is placed or rejected
// while the service is short of places, and when a rejected caller is to return. The
// instances' own queues are the only queues: a router sends what can be answered
// within its latency objective, and rejects the rest at once. It does no I/O, starts
// no goroutines and reads no clock.
//
// The load patterns and what answers them:
//
//   - A burst: calls are placed only up to the queue that an instance works off within
//     a share of the objective. A longer queue answers as many calls a second, but all
//     of them late.
//   - One workspace that sends many times its usual: calls beyond its max-min fair
//     share get no queue, those of the others a longer one.
//   - Callers that were all rejected at one moment: they return at random moments,
//     soon enough to be answered within their objective.
//   - A free slot: no call is rejected.
package overload

import (
	"math"
	"time"
)

const (
	// queueShare is the share of a call's objective within which an instance has to
	// work off its queue. The rest covers long calls, and calls that are placed
	// before the routers know of each other's.
	queueShare = 1.0 / 3
	// ProtectedFactor is the queue for calls of workspaces within their fair share while
	// others are beyond theirs, relative to that for all calls while none is.
	ProtectedFactor = 1.3
	// serviceTimeWeight is the weight of a new sample in the mean time that an
	// instance works on a call.
	serviceTimeWeight = 0.1
	// maxSampleFactor bounds a sample, in multiples of the mean: single calls take much
	// longer than others.
	maxSampleFactor = 2
	// earliestReturn and latestReturn bound the moment at which a rejected caller returns,
	// as shares of the objective. Together with the queue, the latest leaves a third of
	// the objective for the call itself.
	earliestReturn = 1.0 / 9
	latestReturn   = 1.0 / 3
	// maxWaitShare is the share of the time left that callers wait at most.
	maxWaitShare = 1.0 / 3
	// minReturn is the shortest time after which a caller returns.
	minReturn = 20 * time.Millisecond
)

// Call describes a call to be placed.
type Call struct {
	Workspace string
	// Objective is the latency within which the caller wants the answer.
	Objective time.Duration
	// TimeLeft is the time that the caller still waits.
	TimeLeft time.Duration
	// Random is a uniformly distributed value in [0, 1) of this call.
	Random float64
}

// Decision is the outcome for a call, with the inputs that decided it.
type Decision struct {
	Admitted bool
	// Load is the number of calls at the instance.
	Load int
	// Limit is the number of calls at an instance from which on the call is rejected.
	Limit int
	// ServiceTime is the mean time that an instance works on a call, zero if unknown.
	ServiceTime time.Duration
	// Share is how the call stands to its workspace's fair share.
	Share Share
	// RetryAfter is when a rejected caller is to return.
	RetryAfter time.Duration
}

// Service is the state of one service at one router. It isn't safe for concurrent use.
type Service struct {
	// serviceTime is the mean time that an instance works on a call, over a number of
	// answers.
	serviceTime time.Duration
	answers     int
	shares      *Shares
}

// NewService returns the state of a service that has had no calls.
func NewService() *Service {
	return &Service{shares: NewShares()}
}

// RecordAnswer records that an instance with a number of slots answered a call after
// a time, and the number of calls that it had then: those before this one took their
// share of the time.
func (s *Service) RecordAnswer(took time.Duration, load, slots int) {
	if slots <= 0 || took <= 0 {
		return
	}
	sample := time.Duration(float64(took) * float64(slots) / float64(max(slots, load+1)))
	if s.serviceTime > 0 {
		sample = min(sample, maxSampleFactor*s.serviceTime)
	}
	s.answers++
	weight := max(serviceTimeWeight, 1/float64(s.answers))
	s.serviceTime += time.Duration(weight * float64(sample-s.serviceTime))
}

// Decide decides on a call that would be placed at an instance with a number of slots
// and calls.
func (s *Service) Decide(now time.Time, c Call, load, slots int) Decision {
	d := Decision{Load: load, ServiceTime: s.serviceTime}
	s.shares.RecordDemand(now, c.Workspace)
	if load >= slots {
		d.Share = s.shares.Classify(now, c.Workspace, c.Random)
	}
	d.Limit = s.limit(c, d, slots)
	d.Admitted = load < d.Limit
	if d.Admitted {
		s.shares.RecordAdmitted(now)
		return d
	}
	d.RetryAfter = ReturnAfter(c)
	return d
}

// limit returns the number of calls at an instance from which on a call is rejected.
func (s *Service) limit(c Call, d Decision, slots int) int {
	if slots <= 0 || s.serviceTime == 0 || c.Objective <= 0 {
		return math.MaxInt
	}
	if d.Share == Surplus {
		return slots
	}
	limit := float64(slots) * queueShare * float64(c.Objective) / float64(s.serviceTime)
	if d.Share == Protected {
		limit *= ProtectedFactor
	}
	return max(int(limit), slots+1)
}

// ReturnAfter returns when the caller of a rejected call is to return.
func ReturnAfter(c Call) time.Duration {
	share := earliestReturn + (latestReturn-earliestReturn)*c.Random
	after := time.Duration(share * float64(c.Objective))
	return max(min(after, time.Duration(maxWaitShare*float64(c.TimeLeft))), minReturn)
}
