package router

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings are the part of a router's settings about its callers.
type Settings struct {
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"gt=0,lte=8000000"`
	// MaxHeldBodyBytes bounds the bodies of all requests together.
	MaxHeldBodyBytes int64 `yaml:"max_held_body_bytes" validate:"gtefield=MaxBodyBytes"`
	// MaxResponseBytes bounds the response of a service.
	MaxResponseBytes int64 `yaml:"max_response_bytes" validate:"gt=0,lte=8000000"`
	// BodyTimeout bounds the time in which a body has to arrive.
	BodyTimeout settings.Duration `yaml:"body_timeout" validate:"gt=0"`
	// DefaultTimeout is the time limit of a call that names none.
	DefaultTimeout settings.Duration `yaml:"default_timeout" validate:"gt=0"`
	// MaxTimeout bounds the time limit that a call may name.
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

// DefaultSettings returns the settings of a router that sets none.
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
