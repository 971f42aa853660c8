package relay

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings are a router's settings for the placement of calls.
type Settings struct {
	// RememberedChats is the maximum number of chats whose latest engines are
	// remembered.
	RememberedChats int `yaml:"remembered_chats" validate:"gt=0"`
	// PrefillTokensPerSecond is the rate at which an engine computes a prompt
	// that isn't cached.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" validate:"gt=0"`
	// PatienceFactor is the longest wait for the engine that has a request's
	// prompt in its cache, as a multiple of the time to compute the prompt again.
	PatienceFactor float64 `yaml:"patience_factor" validate:"gte=0"`
	// MaxPatience is the upper bound of that wait, whatever the prompt's length.
	MaxPatience settings.Duration `yaml:"max_patience" validate:"gte=0"`
}

const (
	defaultRememberedChats        = 20_000
	defaultPrefillTokensPerSecond = 10_000
	defaultPatienceFactor         = 10
	defaultMaxPatience            = 1300 * time.Millisecond
)

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		RememberedChats:        defaultRememberedChats,
		PrefillTokensPerSecond: defaultPrefillTokensPerSecond,
		PatienceFactor:         defaultPatienceFactor,
		MaxPatience:            settings.Duration(defaultMaxPatience),
	}
}
