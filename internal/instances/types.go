package instances

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/locality"
)

// Instance is one listed instance of a service.
type Instance struct {
	// ID is new at most starts of an instance.
	ID      string
	Service string
	Address string
	Place   locality.Place
	Slots   int
	// Draining instances finish their work and take none.
	Draining bool
	// StartedAt is the start of this run of the instance; an ID may start again.
	StartedAt time.Time
	// WarmUpEnd is when the instance reaches its full speed after its start.
	WarmUpEnd time.Time
}

// State tells whether an instance may take work.
type State int

// States of an instance, the most usable first.
const (
	// Healthy instances take work.
	Healthy State = iota
	// Degraded instances fail or delay more than their peers: they are used
	// when no healthy one has room.
	Degraded
	// Suspect instances could not be reached lately: they are used when there
	// is no other.
	Suspect
	// Draining instances take no work.
	Draining
	// Gone instances take no work.
	Gone
)

// String returns the state as logs write it.
func (s State) String() string {
	return [...]string{"healthy", "degraded", "suspect", "draining", "gone"}[s]
}

// Result is the outcome of one use of an instance.
type Result int

// Results of a use.
const (
	// Succeeded: a whole answer came.
	Succeeded Result = iota
	// Unreachable: no connection could be made.
	Unreachable
	// Broken: the connection ended before the answer did.
	Broken
	// Silent: nothing came in time.
	Silent
	// Failed: the instance answered with its own failure.
	Failed
	// Shed: the instance stated that it has not run the call.
	Shed
	// Replaced: another instance has the address.
	Replaced
	// Late: the call's time was over before an answer came.
	Late
)

// String returns the result as logs write it.
func (r Result) String() string {
	return [...]string{"succeeded", "unreachable", "broken", "silent", "failed", "shed", "replaced", "late"}[r]
}

// Candidate is an instance that may take work now.
type Candidate struct {
	Instance
	State State
}

// ReasonStarted is the reason of the first change of an instance, or of one that
// started again under its ID.
const ReasonStarted = "started"

// Change tells that an instance went to another state.
type Change struct {
	Instance Instance
	State    State
	Reason   string
	// Faults is the decayed number of faults that all routers have seen.
	Faults float64
}
