// Package membership decides which routers and upstreams are in use, from the
// platform's lagging list, direct and relayed probes, gossiped news and
// connection results. It is pure: events come in with their time, effects go
// out. A Members is not safe for concurrent use.
package membership

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Condition is what is known about a host.
type Condition int

// Conditions of a host. Failed hosts and hosts that are held down after they
// flapped are not in use; suspect routers still are.
const (
	Alive Condition = iota
	Suspect
	Failed
	Leaving
	Gone
)

// String returns the condition as logs write it.
func (c Condition) String() string {
	switch c {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Failed:
		return "failed"
	case Leaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Settings are the time spans of failure detection.
type Settings struct {
	// ProbeTimeout is the wait for a direct answer, and again for a relayed one.
	ProbeTimeout settings.Duration `yaml:"probe_timeout" validate:"gt=0"`
	// RelayCount is the number of routers that are asked to relay a probe.
	RelayCount int `yaml:"relay_count" validate:"gte=0"`
	// SuspectTimeout is how long a suspect can refute before it counts as
	// failed.
	SuspectTimeout settings.Duration `yaml:"suspect_timeout" validate:"gt=0"`
	// HoldDown is how long a host stays out of use after a failure; it doubles
	// with each failure that comes soon after the last, up to MaxHoldDown.
	HoldDown settings.Duration `yaml:"hold_down" validate:"gt=0"`
	// MaxHoldDown bounds the hold-down.
	MaxHoldDown settings.Duration `yaml:"max_hold_down" validate:"gtefield=HoldDown"`
	// StableAfter is the time without a failure after which earlier ones no
	// longer count.
	StableAfter settings.Duration `yaml:"stable_after" validate:"gt=0"`
	// LeavingNotice is how long a host's own notice that it leaves outlasts a
	// list that still shows it as live.
	LeavingNotice settings.Duration `yaml:"leaving_notice" validate:"gt=0"`
}

// DefaultSettings returns the settings of a production router.
func DefaultSettings() Settings {
	return Settings{
		ProbeTimeout:   settings.Duration(500 * time.Millisecond),
		RelayCount:     2,
		SuspectTimeout: settings.Duration(2 * time.Second),
		HoldDown:       settings.Duration(time.Second),
		MaxHoldDown:    settings.Duration(time.Minute),
		StableAfter:    settings.Duration(2 * time.Minute),
		LeavingNotice:  settings.Duration(time.Minute),
	}
}

// EffectKind tells what the shell has to do.
type EffectKind int

// Kinds of effect.
const (
	// SendProbe asks for a probe of Host with Sequence.
	SendProbe EffectKind = iota
	// SendRelayedProbe asks Via to probe Host; the answer carries Sequence.
	SendRelayedProbe
	// RouterChanged tells that Host, a router, went to Condition.
	RouterChanged
	// UpstreamChanged tells that Host, an upstream, went to Condition.
	UpstreamChanged
)

// Effect is an order to the shell, or a change that it should know of.
type Effect struct {
	Kind      EffectKind
	Host      string
	Via       string
	Sequence  uint32
	Condition Condition
}

// Update is gossip about one host.
type Update struct {
	Host string
	// Upstream tells news about an engine or instance from news about a router.
	Upstream  bool
	Condition Condition
	// Incarnation orders news about a router, as the router numbers itself.
	Incarnation uint64
	// Version orders news about an upstream.
	Version uint64
}

// Options configure a Members.
type Options struct {
	Self hostlist.Host
	// Incarnation of this process; it must exceed those of earlier starts.
	Incarnation uint64
	Settings    Settings
	// Seed determines the order of probes.
	Seed uint64
}

// ConnResult is the result of using a connection to an upstream.
type ConnResult int

// Results of a connection.
const (
	// ConnOK: a request was answered.
	ConnOK ConnResult = iota
	// ConnRefused: no connection could be made.
	ConnRefused
	// ConnCrashed: the connection broke while a request ran.
	ConnCrashed
	// ConnSilent: no byte came in time.
	ConnSilent
	// ConnLeaving: the upstream said that it takes no new work.
	ConnLeaving
)
