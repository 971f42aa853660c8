// Package containment stops requests that crash the upstreams that run them. It
// does no I/O and reads no clock.
//
// A request is described by keys: the fingerprint of its content, which is that of its
// resends, too, and hashes of what it has in common with other requests, such as the
// parts of its prompt. Every key of every request in flight on an upstream when it
// crashes gets a strike. A whole response clears the keys of its request: what crashes
// each upstream that begins to respond can't have been among them.
//
// A key with MaxStrikes strikes, or one more if it has recently been in a whole response,
// is blamed. Crashes at which a blamed key with more strikes was in flight don't count for
// it: that one explains them. Those that two keys with as many strikes share count for
// neither, if each also has others. Keys that were in flight at the same crashes can't be told
// apart: only a request that has all of them is refused; one that has only some of them
// runs, and shows which it is. A request is refused for RefusalTime if its content is
// blamed. A refusal for what it shares with others, which may be wrong, begins with
// FirstRefusal and grows with each further crash up to RefusalTime. After it, one request
// in the whole fleet may run as a probe (see probe.go).
//
// A request with a strike on its fingerprint, or one strike short of a refusal, is a
// suspect. An upstream runs one suspect at a time, so that a crash can be attributed to
// one of them. Daemons exchange strikes and trials.
//
// A daemon answers or retries a request whose upstream crashed only after SpreadTime,
// during which the strikes reach the other daemons. Otherwise a caller could resend
// the request through a daemon that doesn't know its strikes yet.
package containment

import (
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// Settings configure containment.
type Settings struct {
	// MaxStrikes is the number of crashes after which requests are refused.
	MaxStrikes int `yaml:"max_strikes" validate:"gte=1"`
	// StrikeLifetime is how long a key is suspected after its last strike.
	StrikeLifetime settings.Duration `yaml:"strike_lifetime" validate:"gt=0"`
	// RefusalTime is how long requests with a blamed key are refused after its last
	// strike. After that the key is suspected for StrikeLifetime.
	RefusalTime settings.Duration `yaml:"refusal_time" validate:"gt=0"`
	// FirstRefusal is the same for the first refusal on account of keys that other
	// requests share.
	FirstRefusal settings.Duration `yaml:"first_refusal" validate:"gt=0"`
	// SpreadTime is the time allowed for strikes to reach the other daemons.
	SpreadTime settings.Duration `yaml:"spread_time" validate:"gt=0"`
	// MassCrashes is the number of upstream crashes within MassWindow at which a
	// single strike no longer makes a request a suspect: so many crashes are
	// caused by the loss of a failure domain.
	MassCrashes int               `yaml:"mass_crashes" validate:"gte=2"`
	MassWindow  settings.Duration `yaml:"mass_window" validate:"gt=0"`
	// MaxFingerprints is the maximum number of keys with strikes in memory; the one
	// with the fewest strikes, and of these the one that expires first, is evicted.
	MaxFingerprints int `yaml:"max_fingerprints" validate:"gte=1"`
}

// Defaults of Settings.
const (
	defaultMaxStrikes      = 3
	defaultStrikeLifetime  = 5 * time.Minute
	defaultRefusalTime     = 10 * time.Minute
	defaultFirstRefusal    = 5 * time.Second
	defaultSpreadTime      = time.Second
	defaultMassCrashes     = 6
	defaultMassWindow      = 10 * time.Second
	defaultMaxFingerprints = 32768
)

// DefaultSettings returns settings under which requests are refused after three
// crashes.
func DefaultSettings() Settings {
	return Settings{
		MaxStrikes:      defaultMaxStrikes,
		StrikeLifetime:  settings.Duration(defaultStrikeLifetime),
		RefusalTime:     settings.Duration(defaultRefusalTime),
		FirstRefusal:    settings.Duration(defaultFirstRefusal),
		SpreadTime:      settings.Duration(defaultSpreadTime),
		MassCrashes:     defaultMassCrashes,
		MassWindow:      settings.Duration(defaultMassWindow),
		MaxFingerprints: defaultMaxFingerprints,
	}
}

// Request is what containment knows of a request.
type Request struct {
	// Fingerprint is the hash of the request's content.
	Fingerprint uint64
	// Keys are hashes of what other requests may have in common with it.
	Keys []uint64
}

// all returns the fingerprint and the keys.
func (r Request) all() []uint64 { return append([]uint64{r.Fingerprint}, r.Keys...) }

// Kind is the class of a Verdict.
type Kind int

// Kinds of Verdict.
const (
	// Allowed: the request runs without restrictions.
	Allowed Kind = iota
	// Isolated: the request is a suspect; see Containment.Start.
	Isolated
	// Refused: the request has a blamed key and is not run.
	Refused
)

// Verdict says how a request may run.
type Verdict struct {
	Kind Kind
	// Until is when the refusal ends.
	Until time.Time
	// Strikes is the highest number of known strikes of the request's keys.
	Strikes int
	// Blamed are the keys for which the request is refused or, after the refusal,
	// isolated.
	Blamed []uint64
}

// Refusal returns the refusal to send to the caller of a refused request.
func (v Verdict) Refusal(now time.Time) *refusal.Refusal {
	return refusal.New(refusal.CrashContained,
		"each engine that ran this request, or others with the same part of their prompts, crashed, it is not run for now: "+
			"change the request, or send it again after the pause").
		WithRetryAfter(v.Until.Sub(now))
}

// Containment is the state of one daemon. It isn't safe for concurrent use.
type Containment struct {
	settings Settings
	records  map[uint64]*record
	// heavy are the records with at least MaxStrikes strikes, by key.
	heavy map[uint64]*record
	// struck maps the IDs of crashes to the keys that have strikes for them.
	struck  map[uint64]*struckKeys
	crashes recentCrashes
	// running maps each upstream to the suspect that it runs.
	running map[string]uint64
	probes  probes
	// sound are the keys that have recently been in a whole response.
	sound soundKeys
}

// New returns an empty Containment.
func New(s Settings) *Containment {
	return &Containment{
		settings: s, records: make(map[uint64]*record), heavy: make(map[uint64]*record), struck: make(map[uint64]*struckKeys),
		running: make(map[string]uint64), crashes: newRecentCrashes(s.MassWindow.Std()), probes: newProbes(), sound: newSoundKeys(s.StrikeLifetime.Std()),
	}
}

// Check returns how a request may run. The daemon that received the request calls it
// before placement, and the owner of the upstream before it starts the request.
func (c *Containment) Check(now time.Time, request Request) Verdict {
	v := Verdict{Kind: Allowed}
	if len(c.records) == 0 {
		return v
	}
	for _, key := range request.all() {
		r := c.lookup(now, key)
		if r == nil || r.strikes() == 0 {
			continue
		}
		v.Strikes = max(v.Strikes, r.strikes())
		if v.Kind == Allowed && now.Before(r.lastCrash.Add(c.settings.StrikeLifetime.Std())) && c.suspected(now, r, key == request.Fingerprint) {
			v.Kind = Isolated
		}
	}
	if len(c.heavy) == 0 {
		return v
	}
	if blamed := c.blamed(now, request); blamed != nil {
		return c.blamedVerdict(now, blamed)
	}
	return v
}

// suspected reports whether a key's strikes make a request a suspect.
func (c *Containment) suspected(now time.Time, r *record, isFingerprint bool) bool {
	if !isFingerprint {
		return c.distinct(r, now) >= max(c.needed(r)-1, 1)
	}
	return r.strikes() > 1 || c.crashes.count(now) < c.settings.MassCrashes
}

// blamedVerdict returns the verdict on a request with blamed keys.
func (c *Containment) blamedVerdict(now time.Time, blamed []uint64) Verdict {
	r := c.records[blamed[0]]
	v := Verdict{Kind: Refused, Strikes: r.strikes(), Blamed: blamed, Until: r.lastCrash.Add(c.refusalTime(blamed))}
	if now.Before(v.Until) {
		return v
	}
	v.Until = c.probes.next(v.Until, blamed, c.settings.SpreadTime.Std())
	if !now.Before(v.Until) {
		v.Kind = Isolated
	}
	return v
}

// Crash records a strike for each request in flight on an upstream that crashed at a
// time, and returns the new strikes, which must be sent to the other daemons immediately.
// crashID is the same for all reports of one crash.
func (c *Containment) Crash(now, at time.Time, upstream string, crashID uint64, inFlight []Request) []*peerpb.Strike {
	delete(c.running, upstream)
	var strikes []*peerpb.Strike
	for _, request := range inFlight {
		for _, strike := range strikesOf(request) {
			strike.Upstream, strike.CrashId, strike.AgeMs = upstream, crashID, uint32(max(now.Sub(at), 0).Milliseconds())
			if c.Merge(now, strike) {
				strikes = append(strikes, strike)
			}
		}
	}
	return strikes
}

// strikesOf returns strikes for the fingerprint and all keys of a request, each with as
// many keys as a message may have.
func strikesOf(request Request) []*peerpb.Strike {
	strikes := []*peerpb.Strike{{Fingerprint: request.Fingerprint}}
	for keys := range slices.Chunk(request.Keys, maxKeysPerMessage) {
		last := strikes[len(strikes)-1]
		if len(last.Keys) > 0 {
			last = &peerpb.Strike{}
			strikes = append(strikes, last)
		}
		last.Keys = keys
	}
	return strikes
}

// CrashedAt returns when an upstream crashed, if the crash has been reported within
// MassWindow.
func (c *Containment) CrashedAt(crashID uint64) (at time.Time, known bool) {
	at, known = c.crashes.seen[crashID]
	return at, known
}

// maxKeysPerMessage bounds the keys in one strike or trial, so that it fits in a datagram.
// What has more keys takes several messages.
const maxKeysPerMessage = 24

// Merge records a strike reported by another daemon, and reports whether it was new
// and should be forwarded.
func (c *Containment) Merge(now time.Time, s *peerpb.Strike) bool {
	at := now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
	c.crashes.add(at, s.GetCrashId())
	isNew := s.GetFingerprint() != 0 && c.strike(now, at, s.GetFingerprint(), s.GetCrashId(), false)
	for _, key := range s.GetKeys()[:min(len(s.GetKeys()), maxKeysPerMessage)] {
		isNew = c.strike(now, at, key, s.GetCrashId(), true) || isNew
	}
	return isNew
}

// maxClearedCrashes bounds the crashes in a trial, so that it fits in a datagram.
const maxClearedCrashes = 24

// Finished clears the strikes of a request that an upstream has run to completion, and
// returns the trials to send to the other daemons, none if no strike was cleared.
// The strikes stay known, so that they don't count when other daemons report them again.
// A fingerprint that is refused stays so: the request had crashed upstreams alone.
func (c *Containment) Finished(now time.Time, request Request) []*peerpb.Trial {
	c.sound.add(now, request.Keys)
	if len(c.records) == 0 {
		return nil
	}
	var keys, crashIDs []uint64
	for _, key := range request.all() {
		r := c.lookup(now, key)
		if r == nil || r.strikes() == 0 || key == request.Fingerprint && c.refusedAlone(now, r) {
			continue
		}
		keys = append(keys, key)
		for crashID, s := range r.crashes {
			if s.counts && !slices.Contains(crashIDs, crashID) && len(crashIDs) < maxClearedCrashes {
				crashIDs = append(crashIDs, crashID)
			}
		}
	}
	// In this order the trials of daemons that clear the same are one message.
	slices.Sort(crashIDs)
	var trials []*peerpb.Trial
	for some := range slices.Chunk(keys, maxKeysPerMessage) {
		trial := &peerpb.Trial{Keys: some, CrashIds: crashIDs}
		c.ApplyTrial(now, trial)
		trials = append(trials, trial)
	}
	return trials
}

// refusedAlone reports whether a fingerprint has all strikes for a refusal.
func (c *Containment) refusedAlone(now time.Time, r *record) bool {
	return r.strikes() >= c.settings.MaxStrikes && now.Before(r.lastCrash.Add(c.settings.RefusalTime.Std()))
}

// Strikes returns the strikes that count, each with its age, at most limit of them: the
// keys with the most strikes first. A daemon that starts gets them from another one.
func (c *Containment) Strikes(now time.Time, limit int) []*peerpb.Strike {
	return c.export(now, c.byStrikes(now), limit)
}

// MaxBlamedStrikes bounds the strikes that BlamedStrikes returns.
const MaxBlamedStrikes = 32

// BlamedStrikes returns the strikes of the blamed keys, each with its age, as far as those
// of all keys that can't be told apart fit into MaxBlamedStrikes.
func (c *Containment) BlamedStrikes(now time.Time) []*peerpb.Strike {
	return c.export(now, c.exportable(now, c.blamedKeys(now), MaxBlamedStrikes), MaxBlamedStrikes)
}
