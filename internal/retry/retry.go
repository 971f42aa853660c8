// Package retry decides whether and when a failed request is sent again. It
// does no I/O and reads no clock; its randomness comes from a seed.
//
// Each workspace has a budget per pool: a token bucket that successes fill and
// retries drain. While a pool fails, nothing fills the bucket, so retries fade
// out and can't multiply the load. A non-idempotent call is never retried.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings are the limits of retries.
type Settings struct {
	// MaxAttempts bounds the sends of one request, the first included.
	MaxAttempts int `yaml:"max_attempts" validate:"gte=1"`
	// TokensPerSuccess is the part of a retry that each success pays for.
	TokensPerSuccess float64 `yaml:"tokens_per_success" validate:"gte=0"`
	// TokensPerSecond lets a quiet workspace retry at a low rate.
	TokensPerSecond float64 `yaml:"tokens_per_second" validate:"gte=0"`
	// Burst is the size of a budget in retries, and its first content.
	Burst float64 `yaml:"burst" validate:"gte=1"`
	// MaxBudgets bounds the budgets in memory; the least recently used one is
	// forgotten first.
	MaxBudgets int `yaml:"max_budgets" validate:"gte=1"`
	// BaseDelay is the bound of the first delay; it doubles up to MaxDelay.
	BaseDelay settings.Duration `yaml:"base_delay" validate:"gt=0"`
	MaxDelay  settings.Duration `yaml:"max_delay" validate:"gt=0"`
}

// Defaults of Settings.
const (
	defaultMaxAttempts      = 4
	defaultTokensPerSuccess = 0.1
	defaultTokensPerSecond  = 0.1
	defaultBurst            = 10
	defaultMaxBudgets       = 4096
	defaultBaseDelay        = 20 * time.Millisecond
	defaultMaxDelay         = 2 * time.Second
)

// DefaultSettings returns budgets of a tenth of the successes.
func DefaultSettings() Settings {
	return Settings{
		MaxAttempts:      defaultMaxAttempts,
		TokensPerSuccess: defaultTokensPerSuccess,
		TokensPerSecond:  defaultTokensPerSecond,
		Burst:            defaultBurst,
		MaxBudgets:       defaultMaxBudgets,
		BaseDelay:        settings.Duration(defaultBaseDelay),
		MaxDelay:         settings.Duration(defaultMaxDelay),
	}
}

// Key names a budget.
type Key struct {
	Workspace string
	Pool      string
}

// Failure is a request whose latest attempt failed.
type Failure struct {
	Key Key
	// Attempt is the number of sends so far, at least 1.
	Attempt int
	// Idempotent is false for calls that may not be repeated.
	Idempotent bool
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Reason says why a request is not sent again.
type Reason int

// Reasons of a Verdict.
const (
	// Allowed: the request may be sent again after the delay.
	Allowed Reason = iota
	// NotIdempotent: the call may not be repeated.
	NotIdempotent
	// AttemptsUsed: the request was sent often enough.
	AttemptsUsed
	// DeadlineNear: the caller gives up before the delay ends.
	DeadlineNear
	// BudgetEmpty: the workspace has used up its retries in the pool.
	BudgetEmpty
)

// Verdict is the decision about a Failure.
type Verdict struct {
	Reason Reason
	// Delay is the pause before the next attempt.
	Delay time.Duration
}

// Retry reports whether the request may be sent again.
func (v Verdict) Retry() bool { return v.Reason == Allowed }

// Policy holds the budgets of one daemon. It isn't safe for concurrent use.
type Policy struct {
	settings Settings
	budgets  budgets
	rng      *rand.Rand
}

// New returns a Policy with full budgets.
func New(s Settings, seed uint64) *Policy {
	return &Policy{
		settings: s, budgets: newBudgets(s),
		rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Succeeded fills the budget of a request that was answered.
func (p *Policy) Succeeded(now time.Time, key Key) {
	p.budgets.at(now, key).add(p.settings.TokensPerSuccess)
}

// Failed decides about the next attempt, and takes it from the budget when it
// is allowed.
func (p *Policy) Failed(now time.Time, f Failure) Verdict {
	if !f.Idempotent {
		return Verdict{Reason: NotIdempotent}
	}
	if f.Attempt >= p.settings.MaxAttempts {
		return Verdict{Reason: AttemptsUsed}
	}
	delay := p.delay(f.Attempt)
	if !f.Deadline.IsZero() && !now.Add(delay).Before(f.Deadline) {
		return Verdict{Reason: DeadlineNear}
	}
	if !p.budgets.at(now, f.Key).take() {
		return Verdict{Reason: BudgetEmpty}
	}
	return Verdict{Reason: Allowed, Delay: delay}
}

// delay draws from zero up to a bound that doubles with each attempt.
func (p *Policy) delay(attempt int) time.Duration {
	bound := p.settings.BaseDelay.Std()
	for range attempt - 1 {
		bound = min(2*bound, p.settings.MaxDelay.Std())
	}
	return time.Duration(p.rng.Int64N(int64(bound) + 1))
}
