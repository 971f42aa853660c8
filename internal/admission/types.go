// Package admission decides at an engine's owner which requests run now, wait
// or are refused. One Scheduler holds the state of one engine; it is not safe
// for concurrent use. Time is an argument.
package admission

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings are the limits of a Scheduler.
type Settings struct {
	// Multiple is the highest load over the mean of the pool.
	Multiple float64 `yaml:"multiple" validate:"gt=1"`
	// Headroom is the part of Multiple that is kept free at admission, because
	// the mean can fall while requests run.
	Headroom float64 `yaml:"headroom" validate:"gte=0"`
	// MaxQueue is the highest number of waiting requests.
	MaxQueue int `yaml:"max_queue" validate:"gte=0"`
	// DefaultWait bounds the wait of a request that has no deadline.
	DefaultWait settings.Duration `yaml:"default_wait" validate:"gt=0"`
	// AgeingStep is the time without service after which the waiting requests
	// of a workspace and class count as one class higher.
	AgeingStep settings.Duration `yaml:"ageing_step" validate:"gt=0"`
	// ReserveFactor sizes the places that are kept free of workspaces over their
	// share: the factor times the square root of the places that the others hold.
	ReserveFactor float64 `yaml:"reserve_factor" validate:"gte=0"`
}

// DefaultSettings returns the settings of a production router.
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

// Request asks for a place at the engine.
type Request struct {
	// ID is unique among the requests that the Scheduler holds.
	ID        uint64
	Workspace string
	// Weight is the workspace's share; less than 1 counts as 1.
	Weight int
	Class  fleet.Priority
	// Deadline is the latest time to start; zero means DefaultWait from now.
	Deadline time.Time
	// MayWait allows queueing; without it a full engine refuses at once.
	MayWait bool
	// Cost is the expected work in any unit that all requests share; zero and
	// less count as 1.
	Cost float64
	// Flexible says that the request loses nothing by running elsewhere, since no
	// part of its prompt is cached here. It starts only below the mean, so that
	// the places up to the bound are left to returning chats.
	Flexible bool
	// PoolFull says that all other engines of the pool have refused this
	// request for their bound just now. It proves that the mean is at least
	// this engine's bound, before any average arrives.
	PoolFull bool
	// PoolMean is the expected load of this engine by the loads that all owners
	// of the pool named just now, in requests in flight; zero when unknown.
	PoolMean float64
}

// Verdict is the kind of a Decision.
type Verdict int

// Verdicts.
const (
	Refused Verdict = iota
	Queued
	Admitted
)

// Reason says why a request was refused.
type Reason int

// Reasons of refusal.
const (
	ReasonNone Reason = iota
	// ReasonOverBound: the engine is at its bound and the request may not wait.
	ReasonOverBound
	// ReasonAboveMean: the engine has room, but not for a flexible request.
	ReasonAboveMean
	// ReasonQueueFull: too many requests wait.
	ReasonQueueFull
	// ReasonDeadline: the request can't start before its deadline.
	ReasonDeadline
	// ReasonDraining: the engine takes no new work.
	ReasonDraining
	// ReasonDuplicate: the Scheduler holds a request of the same ID.
	ReasonDuplicate
)

// String returns the reason as logs and metrics write it.
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

// Decision answers Offer.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the expected time until the engine can take a request; set
	// unless the reason is ReasonDraining or ReasonDuplicate.
	RetryAfter time.Duration
	// Effects concern other requests than the offered one.
	Effects []Effect
}

// EffectKind tells what to do with a request that waited.
type EffectKind int

// Kinds of effect.
const (
	Start EffectKind = iota
	Refuse
)

// Effect is an order concerning a request that waited.
type Effect struct {
	Kind       EffectKind
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}
