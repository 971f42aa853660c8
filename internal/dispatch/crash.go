package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

const (
	// restartWindow is how long after a broken connection a restart of the instance
	// shows that it had crashed. The listing tells of a restart within moments.
	restartWindow = 5 * time.Second
	// maxBrokenCalls bounds the calls in memory whose instance may have crashed.
	maxBrokenCalls = 256
)

// brokenCall is a call whose connection has ended, perhaps because its instance crashed.
type brokenCall struct {
	call     *call.Call
	identity containment.Request
	instance instances.Instance
	// sentAt is when the call was sent, at when its connection ended.
	sentAt, at time.Time
	// departs is set if the instance left as planned, which breaks its last calls, too.
	departs bool
}

// checkContainment returns whether a call may run, or is refused because instances
// that ran it, or calls with the same prompt part, have crashed.
func (b *Balancer) checkContainment(r containment.Request) containment.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.containment.Check(b.options.Now(), r)
}

// allowSend is checkContainment for a call that is sent now.
func (b *Balancer) allowSend(r containment.Request) containment.Verdict {
	b.mu.Lock()
	now := b.options.Now()
	v := b.containment.Check(now, r)
	trial := b.containment.BeginProbe(now, v)
	b.mu.Unlock()
	if trial != nil {
		b.options.Log.Decision("call probes whether it still crashes instances", decisionlog.Fields{
			"fingerprint": r.Fingerprint, "blamed": formatKeys(v.Blamed), "strikes": v.Strikes,
		})
		b.options.OnTrials([]*peerpb.Trial{trial})
	}
	return v
}

// recordCompletion clears the strikes of a call that an instance has run to
// completion.
func (b *Balancer) recordCompletion(c *call.Call, r containment.Request) {
	b.mu.Lock()
	trials := b.containment.Finished(b.options.Now(), r)
	b.mu.Unlock()
	if len(trials) == 0 {
		return
	}
	b.acquittals.Inc(1)
	keys := 0
	for _, trial := range trials {
		keys += len(trial.GetKeys())
	}
	b.options.Log.Decision("call cleared of crashes", decisionlog.Fields{
		"call": c.ID, "keys": formatKeys(trials[0].GetKeys()), "all_keys": keys, "crashes": len(trials[0].GetCrashIds()),
	})
	b.options.OnTrials(trials)
}

// recordCrash adds a strike to a call whose instance crashed while running it. A call
// that was sent after the crash was not in flight: something before the instance, such
// as a proxy, accepted it.
func (b *Balancer) recordCrash(c brokenCall, evidence string) {
	if c.departs {
		return
	}
	b.mu.Lock()
	now := b.options.Now()
	crash := crashID(c.instance)
	if at, known := b.containment.CrashedAt(crash); known && c.sentAt.After(at) {
		b.mu.Unlock()
		return
	}
	strikes := b.containment.Crash(now, c.at, c.instance.ID, crash, []containment.Request{c.identity})
	verdict := b.containment.Check(now, c.identity)
	b.mu.Unlock()
	if len(strikes) == 0 {
		return
	}
	b.strikes.Inc(1)
	b.options.Log.Decision("call suspected of a crash", decisionlog.Fields{
		"call": c.call.ID, "instance": c.instance.ID, "evidence": evidence, "fingerprint": c.identity.Fingerprint,
		"shared_parts": loggedParts(c.call.Prompt.SharedIDs()), "keys": len(c.identity.Keys), "strikes": verdict.Strikes,
		"blamed": formatKeys(verdict.Blamed), "blamed_parts": blamedParts(c.call, verdict.Blamed),
	})
	b.options.OnStrikes(strikes)
}

// maxLoggedKeys bounds the keys and the parts of a prompt in one log line.
const maxLoggedKeys = 24

// loggedParts returns the IDs of parts as they appear in logs.
func loggedParts(ids []string) []string { return ids[:min(len(ids), maxLoggedKeys)] }

// departs reports whether an instance leaves as planned.
func (b *Balancer) departs(i instances.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.Departs(i)
}

// crashID returns the ID of the crash of one run of an instance, the same at all
// routers.
func crashID(i instances.Instance) uint64 {
	return placement.Key(i.ID + "@" + strconv.FormatInt(startMillis(i.StartedAt), 10))
}

// awaitRestart remembers a call until its instance is found to have restarted.
func (b *Balancer) awaitRestart(c brokenCall) {
	if c.departs {
		return
	}
	b.mu.Lock()
	if len(b.broken) >= maxBrokenCalls {
		b.broken = b.broken[1:]
	}
	b.broken = append(b.broken, c)
	b.mu.Unlock()
	b.settleBroken("")
}

// settleBroken records the crashes of instances that have restarted since a call's
// connection broke. Replaced is the ID of an instance whose address was found to belong
// to another one, or empty.
func (b *Balancer) settleBroken(replaced string) {
	var crashed []brokenCall
	b.mu.Lock()
	oldest := b.options.Now().Add(-restartWindow)
	b.broken = slices.DeleteFunc(b.broken, func(c brokenCall) bool {
		restarted := c.instance.ID == replaced || b.registry.HasSuccessor(c.instance)
		if restarted {
			crashed = append(crashed, c)
		}
		return restarted || c.at.Before(oldest)
	})
	b.mu.Unlock()
	// The first connection that ended tells when the instance crashed.
	slices.SortFunc(crashed, func(a, c brokenCall) int { return a.at.Compare(c.at) })
	for _, c := range crashed {
		b.recordCrash(c, "the instance has restarted")
	}
}

// ApplyStrike merges a strike from another router, and reports whether it was
// new.
func (b *Balancer) ApplyStrike(s *peerpb.Strike) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.containment.Merge(b.options.Now(), s)
}

// ApplyTrial merges a trial from another router, and reports whether it was
// new.
func (b *Balancer) ApplyTrial(t *peerpb.Trial) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.containment.ApplyTrial(b.options.Now(), t)
}

// Strikes returns the strikes that count, at most limit of them.
func (b *Balancer) Strikes(limit int) []*peerpb.Strike {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.containment.Strikes(b.options.Now(), limit)
}

// BlamedStrikes returns the strikes for which calls are refused.
func (b *Balancer) BlamedStrikes() []*peerpb.Strike {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.containment.BlamedStrikes(b.options.Now())
}

// formatKeys returns the keys of containment as they appear in logs.
func formatKeys(keys []uint64) []string {
	var out []string
	for _, key := range keys[:min(len(keys), maxLoggedKeys)] {
		out = append(out, strconv.FormatUint(key, 16))
	}
	return out
}

// blamedParts returns the shared parts of a call's prompt that are among blamed keys.
func blamedParts(c *call.Call, blamed []uint64) []string {
	var out []string
	for _, part := range c.Prompt.SharedIDs() {
		if len(blamed) > 0 && slices.Contains(blamed, call.SharedKeys([]string{part}, nil)[0]) {
			out = append(out, part)
		}
	}
	return loggedParts(out)
}
