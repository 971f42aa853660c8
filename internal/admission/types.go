// Package admission decides, at the router that owns an engine, which requests
// run now, wait in the queue or are refused. One Scheduler holds the state of
// one engine; it is not safe for concurrent use. The current time is always
// passed in.
package admission

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings are the limits of a Scheduler.
type Settings struct {
	// Multiple is the highest allowed ratio of an engine's load to the mean load
	// of its pool.
	Multiple float64 `yaml:"multiple" validate:"gt=1"`
	// Headroom is subtracted from Multiple at admission, because the mean can
	// fall while requests run.
	Headroom float64 `yaml:"headroom" validate:"gte=0"`
	// MaxQueue is the maximum number of queued requests.
	MaxQueue int `yaml:"max_queue" validate:"gte=0"`
	// DefaultWait is the maximum queueing time of a request without a deadline.
	DefaultWait settings.Duration `yaml:"default_wait" validate:"gt=0"`
	// AgeingStep is the time without service after which the queued requests
	// of a workspace and priority class are promoted by one class.
	AgeingStep settings.Duration `yaml:"ageing_step" validate:"gt=0"`
	// ReserveFactor sets the number of slots that workspaces over their fair
	// share must leave free: the factor times the square root of the slots that
	// the other workspaces hold.
	ReserveFactor float64 `yaml:"reserve_factor" validate:"gte=0"`
}

// DefaultSettings returns the default settings of a production router.
func DefaultSettings() Settings {
	return Settings{
		Multiple:      1.25,
		Headroom:      0.15,
		MaxQueue:      256,
		DefaultWait:   settings.Duration(30 * time.Second),
		AgeingStep:    settings.Duration(5 * time.Second),
		ReserveFactor: 1.5,
	}
}

// Request asks for a slot at the engine.
type Request struct {
	// ID is unique among the running and queued requests of the Scheduler.
	ID        uint64
	Workspace string
	// Weight is the workspace's fair-queueing weight; less than 1 counts as 1.
	Weight int
	Class  fleet.Priority
	// Deadline is the latest start time; zero means DefaultWait from now.
	Deadline time.Time
	// MayWait allows queueing; without it a full engine refuses immediately.
	MayWait bool
	// Cost is the expected work, in a unit common to all requests; zero and
	// negative values count as 1.
	Cost float64
	// Flexible marks a request that can run elsewhere at no loss, because no
	// part of its prompt is cached here. It starts only below the mean load, so
	// that the slots between the mean and the limit stay available to chats with
	// a cached prefix.
	Flexible bool
	// PoolFull is set when all other engines of the pool have just refused this
	// request at their concurrency limit. The mean load is then at least this
	// engine's limit, even if the gossiped average does not show it yet.
	PoolFull bool
	// PoolMean is the expected load of this engine in requests in flight,
	// computed from the loads that all owners of the pool have just reported;
	// zero when unknown.
	PoolMean float64
}

// Verdict is the outcome of a Decision.
type Verdict int

// Possible verdicts.
const (
	Refused Verdict = iota
	Queued
	Admitted
)

// Reason is the cause of a refusal.
type Reason int

// Refusal reasons.
const (
	ReasonNone Reason = iota
	// ReasonOverBound: the engine is at its concurrency limit and the request
	// may not wait.
	ReasonOverBound
	// ReasonAboveMean: the engine is below its limit, but its load is not below
	// the mean and the request is flexible.
	ReasonAboveMean
	// ReasonQueueFull: the queue holds MaxQueue requests.
	ReasonQueueFull
	// ReasonDeadline: the request cannot start before its deadline.
	ReasonDeadline
	// ReasonDraining: the engine accepts no new requests.
	ReasonDraining
	// ReasonDuplicate: a request with the same ID is running or queued.
	ReasonDuplicate
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonOverBound:
		return "over_bound"
	case ReasonAboveMean:
		return "above_mean"
	case ReasonQueueFull:
		return "queue_full"
	case ReasonDeadline:
		return "deadline"
	case ReasonDraining:
		return "draining"
	case ReasonDuplicate:
		return "duplicate"
	default:
		return "none"
	}
}

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the expected time until the engine can accept a request. It
	// is set on a refusal, except for ReasonDraining and ReasonDuplicate.
	RetryAfter time.Duration
	// Effects apply to requests other than the offered one.
	Effects []Effect
}

// EffectKind is the action to take on a queued request.
type EffectKind int

// Kinds of effects.
const (
	Start EffectKind = iota
	Refuse
)

// Effect tells the caller to start or refuse a request that was queued.
type Effect struct {
	Kind       EffectKind
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}
