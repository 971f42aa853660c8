package router

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings are a router's settings for its callers.
type Settings struct {
	// MaxBodyBytes is the maximum size of one request's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"gt=0,lte=8000000"`
	// MaxHeldBodyBytes is the maximum size of all requests' bodies that are held
	// in memory at a time.
	MaxHeldBodyBytes int64 `yaml:"max_held_body_bytes" validate:"gtefield=MaxBodyBytes"`
	// MaxResponseBytes is the maximum size of a service's response.
	MaxResponseBytes int64 `yaml:"max_response_bytes" validate:"gt=0,lte=8000000"`
	// BodyTimeout is the time within which a request's body has to be received.
	BodyTimeout settings.Duration `yaml:"body_timeout" validate:"gt=0"`
	// DefaultTimeout is the timeout of a call that sets none.
	DefaultTimeout settings.Duration `yaml:"default_timeout" validate:"gt=0"`
	// MaxTimeout is the longest timeout that a call may set; a longer one is
	// reduced to it.
	MaxTimeout settings.Duration `yaml:"max_timeout" validate:"gtefield=DefaultTimeout"`
}

const (
	defaultMaxBodyBytes     = 2 << 20
	defaultMaxHeldBodyBytes = 48 << 20
	defaultMaxResponseBytes = 2 << 20
	defaultBodyTimeout      = 10 * time.Second
	defaultTimeout          = 2 * time.Minute
	defaultMaxTimeout       = 15 * time.Minute
)

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxBodyBytes:     defaultMaxBodyBytes,
		MaxHeldBodyBytes: defaultMaxHeldBodyBytes,
		MaxResponseBytes: defaultMaxResponseBytes,
		BodyTimeout:      settings.Duration(defaultBodyTimeout),
		DefaultTimeout:   settings.Duration(defaultTimeout),
		MaxTimeout:       settings.Duration(defaultMaxTimeout),
	}
}
