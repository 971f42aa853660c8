// Package membership decides which routers and upstreams are in use, based on the
// platform's host list, which lags behind, direct and relayed probes, gossip, and
// the results of connections. It does no I/O and reads no clock: methods take
// events and the current time, and return effects for the caller to execute. A
// Members is not safe for concurrent use.
package membership

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Condition is the state of a host as known to this daemon.
type Condition int

// Conditions of a host. Failed hosts and hosts held down after flapping are not
// in use. Suspect routers are still in use.
const (
	Alive Condition = iota
	Suspect
	Failed
	Leaving
	Gone
)

// String returns the name of the condition for logs and metrics.
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

// Settings configure failure detection.
type Settings struct {
	// ProbeTimeout is the timeout of a direct probe, and then of a relayed probe.
	ProbeTimeout settings.Duration `yaml:"probe_timeout" validate:"gt=0"`
	// RelayCount is the number of routers that are asked to relay a probe.
	RelayCount int `yaml:"relay_count" validate:"gte=0"`
	// SuspectTimeout is how long a suspect router has to refute the suspicion
	// before it is declared failed.
	SuspectTimeout settings.Duration `yaml:"suspect_timeout" validate:"gt=0"`
	// HoldDown is how long a host stays out of use after a failure. It doubles
	// with each failure soon after the last one, up to MaxHoldDown.
	HoldDown settings.Duration `yaml:"hold_down" validate:"gt=0"`
	// MaxHoldDown is the longest hold-down.
	MaxHoldDown settings.Duration `yaml:"max_hold_down" validate:"gtefield=HoldDown"`
	// StableAfter is the time without a failure after which earlier failures no
	// longer count.
	StableAfter settings.Duration `yaml:"stable_after" validate:"gt=0"`
	// LeavingNotice is how long a host's own notice that it is leaving overrides a
	// host list that still shows it as live.
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

// EffectKind is the kind of an Effect.
type EffectKind int

// Kinds of effect.
const (
	// SendProbe: send a probe with Sequence to Host.
	SendProbe EffectKind = iota
	// SendRelayedProbe: ask Via to probe Host; the ack carries Sequence.
	SendRelayedProbe
	// RouterChanged: the router Host is now in Condition.
	RouterChanged
	// UpstreamChanged: the upstream Host is now in Condition.
	UpstreamChanged
)

// Effect is a probe for the caller to send, or a change of a host's condition.
type Effect struct {
	Kind      EffectKind
	Host      string
	Via       string
	Sequence  uint32
	Condition Condition
}

// Update is a gossip message about the condition of one host.
type Update struct {
	Host string
	// Upstream is true if the host is an engine or service instance, false if it
	// is a router.
	Upstream  bool
	Condition Condition
	// Incarnation orders updates about a router. Only the router itself increases
	// it.
	Incarnation uint64
	// Version orders updates about an upstream. Any daemon may increase it.
	Version uint64
}

// Options configure a Members.
type Options struct {
	Self hostlist.Host
	// Incarnation is the initial incarnation of this process. It must be higher
	// than all incarnations of the daemon's earlier processes.
	Incarnation uint64
	Settings    Settings
	// Seed determines the order of probes.
	Seed uint64
}

// ConnResult is the result of using a connection to an upstream.
type ConnResult int

// Results of a connection.
const (
	// ConnOK: the upstream answered a request.
	ConnOK ConnResult = iota
	// ConnRefused: the connection could not be established.
	ConnRefused
	// ConnCrashed: the connection broke while a request was running.
	ConnCrashed
	// ConnIncomplete: no complete response was received, for example because
	// of a timeout.
	ConnIncomplete
	// ConnLeaving: the upstream answered that it accepts no new requests.
	ConnLeaving
)
