package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/loadshare"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// resumeSpread and minResumeSpread set the range over which the routers of a fleet
	// use an instance again after its pause: half of the pause, but at least this
	// long. So the first calls are few and their number grows.
	resumeSpread    = 2
	minResumeSpread = 500 * time.Millisecond
	// maxResumeSpread bounds this range, so that no router leaves a place unused for
	// long.
	maxResumeSpread = 2 * time.Second
)

// recordStatements applies what an instance says in a response: that it leaves, or
// that it wants a pause. The caller holds the lock.
func (b *Balancer) recordStatements(now time.Time, id string, reply call.Reply) []instances.Change {
	var changes []instances.Change
	if reply.Leaving {
		changes = b.registry.Leaving(now, id)
	}
	if reply.Pause > 0 {
		spread := min(max(reply.Pause/resumeSpread, minResumeSpread), maxResumeSpread)
		changes = append(changes, b.registry.Pause(now, id, now.Add(reply.Pause+rand.N(spread)))...)
	}
	return changes
}

// RecordLeaving records that an instance has said that it leaves, in a response to
// something other than a call.
func (b *Balancer) RecordLeaving(id string) {
	b.mu.Lock()
	changes := b.registry.Leaving(b.options.Now(), id)
	b.mu.Unlock()
	b.logChanges(changes)
	if len(changes) > 0 {
		b.options.OnDigestChange()
	}
}

// pauseLeft returns the time until an instance of a service may be used again, if all
// that could take calls are paused. It returns false otherwise.
func (b *Balancer) pauseLeft(service string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.PauseLeft(b.options.Now(), service)
}

// digestNotices returns the statements of instances for a digest. The caller holds
// the lock.
func (b *Balancer) digestNotices() []*peerpb.InstanceNotice {
	notices := b.registry.Notices(b.options.Now())
	var out []*peerpb.InstanceNotice
	for _, n := range notices[:min(len(notices), maxDigestNotices)] {
		out = append(out, &peerpb.InstanceNotice{
			Instance: loadshare.Hash(n.ID), StartedMs: startMillis(n.StartedAt), Leaving: n.Leaving,
			PauseMs: uint32(n.Pause.Milliseconds()),
		})
	}
	return out
}

// applyNotices applies the statements that another router passes on. Instances that
// are not listed are ignored. The caller holds the lock.
func (b *Balancer) applyNotices(notices []*peerpb.InstanceNotice) []instances.Change {
	var changes []instances.Change
	for _, n := range notices {
		id, ok := b.idByHash[n.GetInstance()]
		if !ok {
			continue
		}
		changes = append(changes, b.registry.ApplyNotice(b.options.Now(), instances.Notice{
			ID: id, StartedAt: startTimeOf(n.GetStartedMs()), Leaving: n.GetLeaving(),
			Pause: min(time.Duration(n.GetPauseMs())*time.Millisecond, maxPeerPause),
		})...)
	}
	return changes
}

// maxPeerPause bounds a pause that another router reports. Each digest repeats the
// pauses that last, so a longer one is not needed.
const maxPeerPause = 5 * time.Second

// logNotices logs the changes due to statements that another router passed on.
func (b *Balancer) logNotices(changes []instances.Change, router string) {
	for _, c := range changes {
		b.options.Log.Decision("instance changed by another router's notice", decisionlog.Fields{
			"instance": c.Instance.ID, "service": c.Instance.Service, "state": c.State.String(), "reason": c.Reason,
			"router": router,
		})
	}
}

// startMillis returns a start time in Unix milliseconds, zero if it is unknown.
func startMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// startTimeOf reverses startMillis.
func startTimeOf(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
