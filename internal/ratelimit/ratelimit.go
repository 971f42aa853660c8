// Package ratelimit shares out the calls that instances with a rate limit take from all
// routers together. For each service, one router of the fleet decides for all of them: it
// grants a permit for each send to an instance with a limit. It does no I/O, starts no
// goroutines and reads no clock.
//
// Guarantees, for the permits of one Allocator:
//
//   - In any span of T seconds, the sends to an instance with a limit of L calls a second
//     are at most L x T + 1 + max(1, BurstTime x L), by the times for which they were permitted.
//   - A new Allocator, and a new instance, begin with no saved permits, so that a router
//     that takes over the decision repeats nothing that the one before has granted.
//   - A call is denied only if no permit is due within its wait, or if its workspace is
//     beyond its fair share while permits are short.
package ratelimit

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/overload"
)

const (
	// BurstTime is the time whose unused permits an instance saves, one at least.
	BurstTime = 250 * time.Millisecond
	// preferredWaitDivisor sets the part of the longest wait, a quarter, within which the
	// permit of an instance with a higher preference is awaited.
	preferredWaitDivisor = 4
	// waitWindow is how long the shortest wait that a call allows bounds those of the
	// others, so that calls that can wait longer don't take all permits.
	waitWindow = 5 * time.Second
	// forgetAfter is the time without a request after which an instance is dropped.
	forgetAfter = time.Minute
)

// Limit is the rate limit of one run of an instance.
type Limit struct {
	// Instance is the hash of the instance's ID, StartedMS the start of the run in Unix
	// milliseconds.
	Instance  uint32
	StartedMS int64
	// Rate is in calls a second, above zero.
	Rate float64
}

// run identifies one run of an instance.
type run struct {
	instance  uint32
	startedMS int64
}

func (l Limit) run() run { return run{instance: l.Instance, startedMS: l.StartedMS} }

// Request asks for a permit for one send.
type Request struct {
	// Preferred are the instances to send to, in order of preference, Others those that
	// will do if permits are short.
	Preferred []Limit
	Others    []Limit
	// Last is set if no instance without a limit takes the call.
	Last bool
	// MaxWait is how long the call may wait for its permit.
	MaxWait   time.Duration
	Workspace string
	// Random is a uniformly distributed value in [0, 1) of the call.
	Random float64
}

// Decision is the outcome for a request, with the inputs that decided it.
type Decision struct {
	Granted bool
	// Limit is the instance that the permit is for, and Wait the time until the send.
	Limit Limit
	Wait  time.Duration
	// Next is, for a denied call, the time until a permit is due within its wait.
	Next time.Duration
	// MaxWait is how long the call could wait, after its workspace's share.
	MaxWait time.Duration
	Share   overload.Share
}

// Allocator decides on the permits of one service. It isn't safe for concurrent use.
type Allocator struct {
	schedules map[run]*schedule
	shares    *overload.Shares
	waits     shortestWait
	swept     time.Time
}

// NewAllocator returns an Allocator that has granted nothing.
func NewAllocator() *Allocator {
	return &Allocator{schedules: make(map[run]*schedule), shares: overload.NewShares()}
}

// Decide decides on a request and records the permit that it grants.
func (a *Allocator) Decide(now time.Time, r Request) Decision {
	a.sweep(now)
	maxWait := r.MaxWait
	if r.Last {
		a.shares.RecordDemand(now, r.Workspace)
		maxWait = a.waits.bound(now, maxWait)
	}
	limit, wait, found := a.choose(now, r, maxWait)
	if !found {
		return Decision{MaxWait: maxWait}
	}
	d := Decision{Limit: limit, Wait: wait, MaxWait: maxWait}
	if r.Last && wait > 0 {
		d.Share = a.shares.Classify(now, r.Workspace, r.Random)
		d.MaxWait = shareOfWait(d.Share, maxWait)
	}
	if wait > d.MaxWait {
		// Another instance's permit may be due within the wait of the share.
		d.Limit, d.Wait, _ = a.choose(now, r, d.MaxWait)
	}
	if d.Wait > d.MaxWait {
		d.Next = d.Wait - d.MaxWait
		return d
	}
	d.Granted = true
	a.schedules[d.Limit.run()].take(now.Add(d.Wait))
	if r.Last {
		a.shares.RecordAdmitted(now)
	}
	return d
}

// shareOfWait returns how long a call may wait by the share of its workspace.
func shareOfWait(s overload.Share, maxWait time.Duration) time.Duration {
	switch s {
	case overload.Surplus:
		return 0
	case overload.Protected:
		return time.Duration(overload.ProtectedFactor * float64(maxWait))
	default:
		return maxWait
	}
}

// choose returns the first instance in the order of preference whose permit is due soon,
// else the one whose permit is due first. It returns false if the request names none.
func (a *Allocator) choose(now time.Time, r Request, maxWait time.Duration) (best Limit, wait time.Duration, found bool) {
	for _, limits := range [][]Limit{r.Preferred, r.Others} {
		for _, l := range limits {
			due := a.schedule(now, l).due(now)
			if !found || due < wait {
				best, wait, found = l, due, true
			}
			if due <= maxWait/preferredWaitDivisor {
				return l, due, true
			}
		}
	}
	return best, wait, found
}

func (a *Allocator) schedule(now time.Time, l Limit) *schedule {
	s, ok := a.schedules[l.run()]
	if !ok {
		s = newSchedule(now, l.Rate)
		a.schedules[l.run()] = s
	}
	s.setRate(now, l.Rate)
	s.used = now
	return s
}

func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.swept) < forgetAfter {
		return
	}
	a.swept = now
	for key, s := range a.schedules {
		if now.Sub(s.used) >= forgetAfter {
			delete(a.schedules, key)
		}
	}
}

// shortestWait is the shortest of the longest waits of calls in the last one to two
// waitWindows.
type shortestWait struct {
	start             time.Time
	current, previous time.Duration
}

// bound records how long a call may wait at most, and returns how long all may.
func (s *shortestWait) bound(now time.Time, wait time.Duration) time.Duration {
	switch elapsed := now.Sub(s.start); {
	case s.start.IsZero() || elapsed >= 2*waitWindow:
		*s = shortestWait{start: now, current: wait, previous: wait}
	case elapsed >= waitWindow:
		s.start, s.previous, s.current = now, s.current, wait
	default:
		s.current = min(s.current, wait)
	}
	return min(s.current, s.previous)
}
