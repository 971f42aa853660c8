package claims

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/ledger"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings configure claims. Slots, Retention and ClockAllowance must be the
// same on all daemons of a fleet.
type Settings struct {
	// Slots is the number of journals. With CommitInterval it bounds the write
	// rate of the whole fleet: Slots / CommitInterval per second, plus
	// AppendBurst for each slot after a pause.
	Slots int `yaml:"slots" validate:"gte=1,lte=1024"`
	// CommitInterval is the mean time between two appends to one slot under
	// load.
	CommitInterval settings.Duration `yaml:"commit_interval" validate:"gt=0"`
	// AppendBurst is the number of appends to a slot that may follow each other
	// without delay after a pause.
	AppendBurst int `yaml:"append_burst" validate:"gte=1"`
	// OutcomeDelay is the longest time that an outcome is delayed so that it can
	// share a segment with claims.
	OutcomeDelay settings.Duration `yaml:"outcome_delay" validate:"gt=0"`
	// Retention is the age of an action key up to which resends are answered.
	Retention settings.Duration `yaml:"retention" validate:"gt=0"`
	// ClockAllowance is how far a key's issue time may lie in the future.
	ClockAllowance settings.Duration `yaml:"clock_allowance" validate:"gt=0"`
	// ClaimWait is the longest time that a request waits for its claim to be
	// committed.
	ClaimWait settings.Duration `yaml:"claim_wait" validate:"gt=0"`
	// DispatchTimeout bounds a dispatched action, even if its caller has
	// disconnected.
	DispatchTimeout settings.Duration `yaml:"dispatch_timeout" validate:"gt=0"`
	// CallTimeout bounds one call to the key-value service.
	CallTimeout settings.Duration `yaml:"call_timeout" validate:"gt=0"`
	// RetryPause is the pause after a failed call; it doubles up to
	// MaxRetryPause.
	RetryPause    settings.Duration `yaml:"retry_pause" validate:"gt=0"`
	MaxRetryPause settings.Duration `yaml:"max_retry_pause" validate:"gt=0"`
	// TrustTime is how long after the journal's head was last confirmed
	// unchanged an action that is missing from the journal is refused as not
	// run; later, it is refused as unknown. Set it below the time after which
	// the daemons consider another daemon failed.
	TrustTime settings.Duration `yaml:"trust_time" validate:"gte=0"`
	// CheckInterval is how often the head of an idle slot is read.
	CheckInterval settings.Duration `yaml:"check_interval" validate:"gt=0"`
	// HoldOff is the time that a daemon waits before it takes a slot back after
	// another daemon took it over.
	HoldOff settings.Duration `yaml:"hold_off" validate:"gt=0"`
	// CompactAfter is the number of segments that are compacted into one.
	CompactAfter int `yaml:"compact_after" validate:"gte=2"`
	// SegmentBytes bounds the new records of a segment. A compacted segment can
	// be up to three times as large and must fit into the largest value that
	// the key-value service accepts.
	SegmentBytes int `yaml:"segment_bytes" validate:"gte=4096,lte=300000"`
	// MaxActions bounds the actions kept in memory per slot.
	MaxActions int `yaml:"max_actions" validate:"gte=1"`
	// BodyBytes is the size of the largest response that is recorded in full.
	BodyBytes int `yaml:"body_bytes" validate:"gte=0,lte=65536"`
	// ResultBytes bounds the recorded responses kept in memory per slot.
	ResultBytes int `yaml:"result_bytes" validate:"gte=0"`
}

// Default values of Settings.
const (
	defaultSlots           = 16
	defaultCommitInterval  = 100 * time.Millisecond
	defaultAppendBurst     = 4
	defaultOutcomeDelay    = 250 * time.Millisecond
	defaultRetention       = 15 * time.Minute
	defaultClockAllowance  = 30 * time.Second
	defaultClaimWait       = 2 * time.Second
	defaultDispatchTimeout = time.Minute
	defaultCallTimeout     = time.Second
	defaultRetryPause      = 50 * time.Millisecond
	defaultMaxRetryPause   = 2 * time.Second
	defaultTrustTime       = 4 * time.Second
	defaultCheckInterval   = 3 * time.Second
	defaultHoldOff         = time.Second
	defaultCompactAfter    = 64
	defaultSegmentBytes    = 256 << 10
	defaultMaxActions      = 64 << 10
	defaultBodyBytes       = 2 << 10
	defaultResultBytes     = 2 << 20
)

// DefaultSettings returns the settings of a fleet that shares a key-value
// service of a few hundred writes per second.
func DefaultSettings() Settings {
	return Settings{
		Slots:           defaultSlots,
		CommitInterval:  settings.Duration(defaultCommitInterval),
		AppendBurst:     defaultAppendBurst,
		OutcomeDelay:    settings.Duration(defaultOutcomeDelay),
		Retention:       settings.Duration(defaultRetention),
		ClockAllowance:  settings.Duration(defaultClockAllowance),
		ClaimWait:       settings.Duration(defaultClaimWait),
		DispatchTimeout: settings.Duration(defaultDispatchTimeout),
		CallTimeout:     settings.Duration(defaultCallTimeout),
		RetryPause:      settings.Duration(defaultRetryPause),
		MaxRetryPause:   settings.Duration(defaultMaxRetryPause),
		TrustTime:       settings.Duration(defaultTrustTime),
		CheckInterval:   settings.Duration(defaultCheckInterval),
		HoldOff:         settings.Duration(defaultHoldOff),
		CompactAfter:    defaultCompactAfter,
		SegmentBytes:    defaultSegmentBytes,
		MaxActions:      defaultMaxActions,
		BodyBytes:       defaultBodyBytes,
		ResultBytes:     defaultResultBytes,
	}
}

func (s Settings) ledgerConfig(holder string) ledger.Config {
	return ledger.Config{
		Holder:         holder,
		Retention:      s.Retention.Std(),
		ClockAllowance: s.ClockAllowance.Std(),
		CommitInterval: s.CommitInterval.Std(),
		AppendBurst:    s.AppendBurst,
		OutcomeDelay:   s.OutcomeDelay.Std(),
		ClaimWait:      s.ClaimWait.Std(),
		RetryPause:     s.RetryPause.Std(),
		MaxRetryPause:  s.MaxRetryPause.Std(),
		TrustTime:      s.TrustTime.Std(),
		CheckInterval:  s.CheckInterval.Std(),
		HoldOff:        s.HoldOff.Std(),
		CompactAfter:   s.CompactAfter,
		SegmentBytes:   s.SegmentBytes,
		MaxActions:     s.MaxActions,
		BodyBytes:      s.BodyBytes,
		ResultBytes:    s.ResultBytes,
	}
}
