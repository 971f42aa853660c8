package attempt

import "time"

// TimeToStop compares the times of a call with that of a router that leaves. All are
// counted from the call's arrival.
type TimeToStop struct {
	// Repeatable is set if the call may run more than once.
	Repeatable bool
	// Deadline is when the caller or the route ends the call, Objective the latency that
	// the route aims at.
	Deadline, Objective time.Duration
	// Stop is when the router ends the calls in flight.
	Stop time.Duration
}

// Allows reports whether the router should take the call. If it ended a call that may run
// only once, the caller couldn't find out whether the call has run, while a call that is
// refused can be sent to another router. A repeatable call is lost time only if it isn't
// complete by then, and a stream can go on at another router.
func (t TimeToStop) Allows() bool {
	if t.Repeatable {
		return t.Objective < t.Stop
	}
	return t.Deadline <= t.Stop
}
