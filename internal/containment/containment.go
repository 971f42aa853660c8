// Package containment stops requests that crash the engines which run them. It
// does no I/O and reads no clock.
//
// Every request in flight at an engine's crash gets a strike. A request with a
// strike is a suspect: an engine runs one suspect at a time, so that two
// suspects never share a crash. A suspect that finishes is cleared; one with
// enough strikes is refused for a time. Daemons exchange their strikes.
//
// A daemon answers or retries a request whose engine crashed only after
// SpreadTime, in which its strikes reach the other daemons: a caller that
// sends the request again through another host finds it known there.
package containment

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings are the limits of containment.
type Settings struct {
	// MaxStrikes is the number of crashes after which a request is refused.
	MaxStrikes int `yaml:"max_strikes" validate:"gte=1"`
	// StrikeLifetime is how long a strike makes its request a suspect.
	StrikeLifetime settings.Duration `yaml:"strike_lifetime" validate:"gt=0"`
	// RefusalTime is how long a request is refused after its last strike. It
	// is a suspect for StrikeLifetime after that.
	RefusalTime settings.Duration `yaml:"refusal_time" validate:"gt=0"`
	// SpreadTime is how long strikes need to reach the other daemons.
	SpreadTime settings.Duration `yaml:"spread_time" validate:"gt=0"`
	// MassCrashes is the number of upstreams crashed within MassWindow from
	// which on a first strike makes no suspect: a failure domain was lost.
	MassCrashes int               `yaml:"mass_crashes" validate:"gte=2"`
	MassWindow  settings.Duration `yaml:"mass_window" validate:"gt=0"`
	// MaxFingerprints bounds the requests in memory; the one that would be
	// forgotten first is dropped first.
	MaxFingerprints int `yaml:"max_fingerprints" validate:"gte=1"`
}

// Defaults of Settings.
const (
	defaultMaxStrikes      = 3
	defaultStrikeLifetime  = 5 * time.Minute
	defaultRefusalTime     = 10 * time.Minute
	defaultSpreadTime      = time.Second
	defaultMassCrashes     = 6
	defaultMassWindow      = 10 * time.Second
	defaultMaxFingerprints = 16384
)

// DefaultSettings returns limits under which a request crashes three engines.
func DefaultSettings() Settings {
	return Settings{
		MaxStrikes:      defaultMaxStrikes,
		StrikeLifetime:  settings.Duration(defaultStrikeLifetime),
		RefusalTime:     settings.Duration(defaultRefusalTime),
		SpreadTime:      settings.Duration(defaultSpreadTime),
		MassCrashes:     defaultMassCrashes,
		MassWindow:      settings.Duration(defaultMassWindow),
		MaxFingerprints: defaultMaxFingerprints,
	}
}

// Kind is the class of a Verdict.
type Kind int

// Kinds of Verdict.
const (
	// Allowed: the request runs as any other.
	Allowed Kind = iota
	// Isolated: the request is a suspect; see Containment.Start.
	Isolated
	// Refused: the request has crashed too many engines.
	Refused
)

// Verdict says how a request may run.
type Verdict struct {
	Kind Kind
	// Until is when a refusal ends.
	Until time.Time
	// Strikes is the number of crashes that are known.
	Strikes int
}

// Refusal returns what the caller of a refused request is told.
func (v Verdict) Refusal(now time.Time) *refusal.Refusal {
	return refusal.New(refusal.CrashContained,
		"each engine that ran this request crashed, it is not run for now: change the request, or send it again after the pause").
		WithRetryAfter(v.Until.Sub(now))
}

// Containment is the state of one daemon. It isn't safe for concurrent use.
type Containment struct {
	settings Settings
	records  map[uint64]*record
	crashes  recentCrashes
	// running is the suspect that each upstream runs.
	running map[string]uint64
}

// New returns an empty Containment.
func New(s Settings) *Containment {
	return &Containment{
		settings: s, records: make(map[uint64]*record), running: make(map[string]uint64),
		crashes: newRecentCrashes(s.MassWindow.Std()),
	}
}

// Check says how a request may run. An owner calls it before it starts the
// request, and the daemon that faces the caller before it places it.
func (c *Containment) Check(now time.Time, fingerprint uint64) Verdict {
	r := c.live(now, fingerprint)
	if r == nil || r.strikes() == 0 {
		return Verdict{Kind: Allowed}
	}
	v := Verdict{Kind: Isolated, Strikes: r.strikes()}
	until := r.last.Add(c.settings.RefusalTime.Std())
	switch {
	case r.strikes() >= c.settings.MaxStrikes && now.Before(until):
		v.Kind = Refused
		v.Until = until
	case r.strikes() == 1 && c.crashes.count(now) >= c.settings.MassCrashes:
		v.Kind = Allowed
	}
	return v
}

// Crash gives a strike to each request in flight at a crashed upstream, and
// returns the strikes to tell the other daemons at once. crashID is the same
// for all reports of one crash.
func (c *Containment) Crash(now time.Time, upstream string, crashID uint64, inFlight []uint64) []*peerpb.Strike {
	delete(c.running, upstream)
	var strikes []*peerpb.Strike
	for _, fingerprint := range inFlight {
		strike := &peerpb.Strike{Fingerprint: fingerprint, Upstream: upstream, CrashId: crashID}
		if c.Merge(now, strike) {
			strikes = append(strikes, strike)
		}
	}
	return strikes
}

// Merge takes in a strike from another daemon, and reports whether it was news
// that should be passed on.
func (c *Containment) Merge(now time.Time, s *peerpb.Strike) bool {
	c.crashes.add(now, s.GetCrashId())
	r := c.live(now, s.GetFingerprint())
	if r == nil {
		c.makeRoom(now)
		r = newRecord()
		c.records[s.GetFingerprint()] = r
	}
	if !r.add(s.GetCrashId(), c.maxCrashes()) {
		return false
	}
	r.last = now
	return true
}

// Finished clears a request that an engine has run to its end. Strikes that it
// had until then don't count again when other daemons tell them.
func (c *Containment) Finished(now time.Time, fingerprint uint64) {
	if r := c.live(now, fingerprint); r != nil && r.strikes() < c.settings.MaxStrikes {
		r.clear()
	}
}

// maxCrashes bounds the crashes that one record remembers.
func (c *Containment) maxCrashes() int { return 4 * c.settings.MaxStrikes }
