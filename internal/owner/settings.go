package owner

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/admission"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings configure how a router serves the upstreams it owns.
type Settings struct {
	Admission admission.Settings `yaml:"admission"`
	// FirstTokenTimeout is the maximum time until an engine's first token.
	FirstTokenTimeout settings.Duration `yaml:"first_token_timeout" validate:"gt=0"`
	// StallTimeout is the maximum time between two tokens.
	StallTimeout settings.Duration `yaml:"stall_timeout" validate:"gt=0"`
	// ServiceTimeout is the maximum duration of one service call.
	ServiceTimeout settings.Duration `yaml:"service_timeout" validate:"gt=0"`
}

const (
	defaultFirstTokenTimeout = 10 * time.Second
	defaultStallTimeout      = time.Second
	defaultServiceTimeout    = 30 * time.Second
)

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Admission:         admission.DefaultSettings(),
		FirstTokenTimeout: settings.Duration(defaultFirstTokenTimeout),
		StallTimeout:      settings.Duration(defaultStallTimeout),
		ServiceTimeout:    settings.Duration(defaultServiceTimeout),
	}
}
