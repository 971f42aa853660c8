// Package cluster joins a daemon to the fleet: it probes routers, exchanges
// averages and news over UDP within a byte budget, polls the platform's host
// list, and publishes an immutable view. One goroutine owns the state; the
// decisions are in packages membership and averaging.
package cluster

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings configure a Manager.
type Settings struct {
	// BytesPerSecond bounds what the daemon sends and receives for control, with
	// IP and UDP headers.
	BytesPerSecond int `yaml:"bytes_per_second" validate:"gte=200"`
	// RoundInterval is the shortest time between rounds of probing and
	// averaging; large datagrams stretch it to keep the budget.
	RoundInterval settings.Duration `yaml:"round_interval" validate:"gt=0"`
	// ListInterval is the shortest time between polls of the host list; a long
	// list stretches it to keep the budget.
	ListInterval settings.Duration `yaml:"list_interval" validate:"gt=0"`
	// ListTimeout bounds one poll.
	ListTimeout settings.Duration `yaml:"list_timeout" validate:"gt=0"`
	// Membership are the time spans of failure detection.
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
