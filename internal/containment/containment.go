// Package containment stops requests that crash the upstreams that run them. It
// does no I/O and reads no clock.
//
// Every request in flight on an upstream when it crashes gets a strike. A request
// with a strike is a suspect. An upstream runs one suspect at a time, so that a crash
// can be attributed to one of them. A suspect that finishes is cleared; one with
// MaxStrikes strikes is refused for RefusalTime. Daemons exchange their strikes.
//
// A daemon answers or retries a request whose upstream crashed only after SpreadTime,
// during which the strikes reach the other daemons. Otherwise a caller could resend
// the request through a daemon that doesn't know its strikes yet.
package containment

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings configure containment.
type Settings struct {
	// MaxStrikes is the number of crashes after which a request is refused.
	MaxStrikes int `yaml:"max_strikes" validate:"gte=1"`
	// StrikeLifetime is how long a request is a suspect after its last strike.
	StrikeLifetime settings.Duration `yaml:"strike_lifetime" validate:"gt=0"`
	// RefusalTime is how long a request is refused after its last strike. After
	// that it is a suspect for StrikeLifetime.
	RefusalTime settings.Duration `yaml:"refusal_time" validate:"gt=0"`
	// SpreadTime is the time allowed for strikes to reach the other daemons.
	SpreadTime settings.Duration `yaml:"spread_time" validate:"gt=0"`
	// MassCrashes is the number of upstream crashes within MassWindow at which a
	// single strike no longer makes a request a suspect: so many crashes are
	// caused by the loss of a failure domain.
	MassCrashes int               `yaml:"mass_crashes" validate:"gte=2"`
	MassWindow  settings.Duration `yaml:"mass_window" validate:"gt=0"`
	// MaxFingerprints is the maximum number of requests with strikes in memory; the
	// one that expires first is evicted.
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

// DefaultSettings returns settings under which a request is refused after it has
// crashed three upstreams.
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
	// Allowed: the request runs without restrictions.
	Allowed Kind = iota
	// Isolated: the request is a suspect; see Containment.Start.
	Isolated
	// Refused: the request has at least MaxStrikes strikes and is not run.
	Refused
)

// Verdict says how a request may run.
type Verdict struct {
	Kind Kind
	// Until is when the refusal ends.
	Until time.Time
	// Strikes is the number of known strikes of the request.
	Strikes int
}

// Refusal returns the refusal to send to the caller of a refused request.
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
	// running maps each upstream to the suspect that it runs.
	running map[string]uint64
}

// New returns an empty Containment.
func New(s Settings) *Containment {
	return &Containment{
		settings: s, records: make(map[uint64]*record), running: make(map[string]uint64),
		crashes: newRecentCrashes(s.MassWindow.Std()),
	}
}

// Check returns how a request may run. The daemon that received the request calls it
// before placement, and the owner of the upstream before it starts the request.
func (c *Containment) Check(now time.Time, fingerprint uint64) Verdict {
	r := c.lookup(now, fingerprint)
	if r == nil || r.strikes() == 0 {
		return Verdict{Kind: Allowed}
	}
	v := Verdict{Kind: Isolated, Strikes: r.strikes()}
	until := r.lastCrash.Add(c.settings.RefusalTime.Std())
	switch {
	case r.strikes() >= c.settings.MaxStrikes && now.Before(until):
		v.Kind = Refused
		v.Until = until
	case r.strikes() == 1 && c.crashes.count(now) >= c.settings.MassCrashes:
		v.Kind = Allowed
	}
	return v
}

// Crash records a strike for each request in flight on a crashed upstream, and
// returns the new strikes, which must be sent to the other daemons immediately.
// crashID is the same for all reports of one crash.
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

// Merge records a strike reported by another daemon, and reports whether it was new
// and should be forwarded.
func (c *Containment) Merge(now time.Time, s *peerpb.Strike) bool {
	c.crashes.add(now, s.GetCrashId())
	r := c.lookup(now, s.GetFingerprint())
	if r == nil {
		c.evict(now)
		r = newRecord()
		c.records[s.GetFingerprint()] = r
	}
	if !r.add(s.GetCrashId(), c.maxCrashes()) {
		return false
	}
	r.lastCrash = now
	return true
}

// Finished clears the strikes of a request that an upstream has run to completion. They
// stay known, so that they don't count when other daemons report them again.
func (c *Containment) Finished(now time.Time, fingerprint uint64) {
	if r := c.lookup(now, fingerprint); r != nil && r.strikes() < c.settings.MaxStrikes {
		r.clear()
	}
}

// maxCrashes returns the maximum number of crashes in one record.
func (c *Containment) maxCrashes() int { return 4 * c.settings.MaxStrikes }
