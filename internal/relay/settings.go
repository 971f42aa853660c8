package relay

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings are the part of a router's settings about the placement of calls.
type Settings struct {
	// RememberedChats bounds the chats whose latest engines are remembered.
	RememberedChats int `yaml:"remembered_chats" validate:"gt=0"`
	// PrefillTokensPerSecond is the rate at which an engine computes a prompt
	// that isn't cached.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" validate:"gt=0"`
	// PatienceFactor scales how long a request waits for the engine that holds
	// its prompt, over the time to compute the prompt again.
	PatienceFactor float64 `yaml:"patience_factor" validate:"gte=0"`
	// MaxPatience bounds that wait.
	MaxPatience settings.Duration `yaml:"max_patience" validate:"gte=0"`
}

const (
	defaultRememberedChats        = 20_000
	defaultPrefillTokensPerSecond = 10_000
	defaultPatienceFactor         = 10
	defaultMaxPatience            = 1300 * time.Millisecond
)

// DefaultSettings returns the settings of a router that sets none.
func DefaultSettings() Settings {
	return Settings{
		RememberedChats:        defaultRememberedChats,
		PrefillTokensPerSecond: defaultPrefillTokensPerSecond,
		PatienceFactor:         defaultPatienceFactor,
		MaxPatience:            settings.Duration(defaultMaxPatience),
	}
}
