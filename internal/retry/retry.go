// Package retry decides whether and when a failed request is sent again. It
// does no I/O and reads no clock; its random numbers come from a seeded generator.
//
// Each workspace has a retry budget per pool: a token bucket that is filled by
// successes and drained by retries. While a pool fails, the bucket gets almost no
// tokens, so that retries stop instead of multiplying the load. A non-idempotent
// call is never retried.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings are the limits on retries.
type Settings struct {
	// MaxAttempts is the maximum number of attempts per request, including the
	// first.
	MaxAttempts int `yaml:"max_attempts" validate:"gte=1"`
	// TokensPerSuccess is the number of retries that each success adds to the
	// budget.
	TokensPerSuccess float64 `yaml:"tokens_per_success" validate:"gte=0"`
	// TokensPerSecond is the number of retries added to the budget per second. It
	// lets a workspace with little traffic retry at a low rate.
	TokensPerSecond float64 `yaml:"tokens_per_second" validate:"gte=0"`
	// Burst is the capacity of a budget in retries. Budgets start full.
	Burst float64 `yaml:"burst" validate:"gte=1"`
	// MaxBudgets is the maximum number of budgets in memory; the least recently
	// used one is evicted.
	MaxBudgets int `yaml:"max_budgets" validate:"gte=1"`
	// BaseDelay is the upper bound of the random delay before the first retry. It
	// doubles with each further retry, up to MaxDelay.
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

// DefaultSettings returns settings under which each success allows a tenth of a
// retry.
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

// Key identifies a budget.
type Key struct {
	Workspace string
	Pool      string
}

// Failure is a request whose latest attempt failed.
type Failure struct {
	Key Key
	// Attempt is the number of attempts so far, at least 1.
	Attempt int
	// Idempotent is false for calls that must not be retried.
	Idempotent bool
	// Deadline is when the caller gives up; zero means no deadline.
	Deadline time.Time
}

// Reason says why a request is or isn't retried.
type Reason int

// Reasons of a Verdict.
const (
	// Allowed: the request may be retried after the delay.
	Allowed Reason = iota
	// NotIdempotent: the call must not be retried.
	NotIdempotent
	// AttemptsUsed: the request has had MaxAttempts attempts.
	AttemptsUsed
	// DeadlineNear: the deadline is before the end of the delay.
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

// Retry reports whether the request may be retried.
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

// Succeeded adds the tokens of a successful request to the budget.
func (p *Policy) Succeeded(now time.Time, key Key) {
	p.budgets.get(now, key).add(p.settings.TokensPerSuccess)
}

// Failed decides whether a failed request is retried. An allowed retry is taken from
// the budget.
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
	if !p.budgets.get(now, f.Key).take() {
		return Verdict{Reason: BudgetEmpty}
	}
	return Verdict{Reason: Allowed, Delay: delay}
}

// delay returns a random delay (full jitter) between zero and a bound that doubles
// with each attempt up to MaxDelay.
func (p *Policy) delay(attempt int) time.Duration {
	bound := p.settings.BaseDelay.Std()
	for range attempt - 1 {
		bound = min(2*bound, p.settings.MaxDelay.Std())
	}
	return time.Duration(p.rng.Int64N(int64(bound) + 1))
}
