// Package cluster makes a daemon a member of the fleet: it probes routers,
// exchanges load averages and gossip over UDP within a byte budget, polls the
// platform's host list, and publishes an immutable view of the fleet. One
// goroutine owns the state. Packages membership and averaging contain the logic
// and do no I/O.
package cluster

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings configure a Manager.
type Settings struct {
	// BytesPerSecond is the maximum rate of control traffic, sent and received
	// bytes together, including IP and UDP headers.
	BytesPerSecond int `yaml:"bytes_per_second" validate:"gte=200"`
	// RoundInterval is the minimum time between rounds of probing and averaging.
	// With large datagrams the interval is longer, to stay within the byte budget.
	RoundInterval settings.Duration `yaml:"round_interval" validate:"gt=0"`
	// ListInterval is the minimum time between polls of the host list. With a
	// long list the interval is longer, to stay within the byte budget.
	ListInterval settings.Duration `yaml:"list_interval" validate:"gt=0"`
	// ListTimeout is the timeout of one poll of the host list.
	ListTimeout settings.Duration `yaml:"list_timeout" validate:"gt=0"`
	// Membership configures failure detection.
	Membership membership.Settings `yaml:"membership"`
}

// DefaultSettings returns the settings of a production daemon.
func DefaultSettings() Settings {
	return Settings{
		BytesPerSecond: 2000,
		RoundInterval:  settings.Duration(500 * time.Millisecond),
		ListInterval:   settings.Duration(time.Second),
		ListTimeout:    settings.Duration(2 * time.Second),
		Membership:     membership.DefaultSettings(),
	}
}
