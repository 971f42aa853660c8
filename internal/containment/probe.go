package containment

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// probeTime, in units of SpreadTime, is how long a probe lasts for the other daemons:
	// long enough for a request to begin its response and for its strike to spread.
	probeTime = 5
	// probeSpread, in the same unit, is the time over which the daemons may begin to
	// probe, so that few do before they hear of the first probe.
	probeSpread = 5
)

// probes decides when a daemon may run a request with blamed keys after the refusal.
type probes struct {
	// rank is this daemon's place among the live daemons, count their number.
	rank, count int
	// begun maps the first of the blamed keys to when the last known probe began.
	begun map[uint64]time.Time
	// trials is the number of probes that this daemon has begun.
	trials uint64
}

func newProbes() probes { return probes{count: 1, begun: make(map[uint64]time.Time)} }

// SetFleet sets this daemon's place among the live daemons and their number.
func (c *Containment) SetFleet(rank, count int) {
	c.probes.rank, c.probes.count = max(rank, 0), max(count, 1)
}

// next returns the earliest time at which this daemon may probe.
func (p *probes) next(refusedUntil time.Time, blamed []uint64, spread time.Duration) time.Time {
	place := (uint64(p.rank) + hashOf(blamed[:1])) % uint64(p.count)
	at := refusedUntil.Add(probeSpread * spread * time.Duration(place) / time.Duration(p.count))
	if begun, ok := p.begun[blamed[0]]; ok && at.Before(begun.Add(probeTime*spread)) {
		return begun.Add(probeTime * spread)
	}
	return at
}

// begin records that a probe begins, and drops those that can't matter any more.
func (p *probes) begin(now time.Time, blamed []uint64, lifetime time.Duration) {
	for key, begun := range p.begun {
		if now.Sub(begun) > lifetime {
			delete(p.begun, key)
		}
	}
	p.begun[blamed[0]] = now
}

// BeginProbe records that a request is about to run. If the verdict on it makes it a
// probe, it returns the trial to send to the other daemons, and nil otherwise.
func (c *Containment) BeginProbe(now time.Time, v Verdict) *peerpb.Trial {
	if v.Kind != Isolated || len(v.Blamed) == 0 {
		return nil
	}
	c.probes.begin(now, v.Blamed, c.settings.StrikeLifetime.Std())
	c.probes.trials++
	// The first key identifies the probe; all of them may not fit in a datagram.
	keys := v.Blamed[:min(len(v.Blamed), maxKeysPerMessage)]
	return &peerpb.Trial{Keys: keys, Id: hashOf([]uint64{uint64(c.probes.rank), c.probes.trials, uint64(now.UnixNano())})}
}

// ApplyTrial applies the trial of another daemon, and reports whether it changed anything.
func (c *Containment) ApplyTrial(now time.Time, t *peerpb.Trial) bool {
	if len(t.GetKeys()) == 0 {
		return false
	}
	if len(t.GetCrashIds()) == 0 {
		if c.lookup(now, t.GetKeys()[0]) == nil {
			return false
		}
		c.probes.begin(now, t.GetKeys(), c.settings.StrikeLifetime.Std())
		return true
	}
	keys := t.GetKeys()[:min(len(t.GetKeys()), maxKeysPerMessage+1)]
	c.sound.add(now, keys)
	isNew := false
	for _, key := range keys {
		for _, crashID := range t.GetCrashIds()[:min(len(t.GetCrashIds()), maxClearedCrashes)] {
			if c.clear(now, key, crashID) {
				isNew = true
			}
		}
	}
	return isNew
}
