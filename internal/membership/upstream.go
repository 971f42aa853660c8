package membership

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
)

// upstream is what is known about an engine or a service instance.
type upstream struct {
	host hostlist.Host
	// listed is false if the upstream is no longer in the host list. It is kept for
	// a while, so that the hold-down survives a short absence.
	listed        bool
	listedLeaving bool
	condition     Condition
	since         time.Time
	version       uint64
	hold          holdDown
	// brokenConns is the number of connections that broke or timed out since the
	// last successful one.
	brokenConns int
	// localOnly is set while the condition is based on this daemon's connections
	// and not sent to other daemons.
	localOnly bool
	// lastReported is the condition in the last effect about the upstream.
	lastReported Condition
}

// effectiveCondition is the condition combined with the host list and the
// hold-down.
func (u *upstream) effectiveCondition(now time.Time) Condition {
	switch {
	case !u.listed:
		return Gone
	case u.listedLeaving || u.condition == Leaving:
		return Leaving
	case u.hold.active(now):
		return Suspect
	default:
		return u.condition
	}
}

func (u *upstream) unlist(now time.Time) {
	u.listed = false
	u.since = now
}

func (u *upstream) asUpdate() Update {
	return Update{Host: u.host.Name, Upstream: true, Condition: u.condition, Version: u.version}
}

func (m *Members) applyListedUpstream(now time.Time, host hostlist.Host) []Effect {
	u, known := m.upstreams[host.Name]
	if !known {
		u = &upstream{condition: Alive, since: now, lastReported: Gone}
		m.upstreams[host.Name] = u
	}
	leaving := host.State == hostlist.StateLeaving
	returned := known && !leaving && (!u.listed || u.listedLeaving)
	if returned {
		u.hold.fail(now, m.settings)
		u.condition = Alive
	}
	u.host = host
	if leaving && !u.listedLeaving {
		m.gossipLeaving(now, u)
	}
	u.listed, u.listedLeaving = true, leaving
	return u.report(now)
}

// gossipLeaving queues an update that the host list shows an upstream as leaving,
// since other daemons may poll the list later.
func (m *Members) gossipLeaving(now time.Time, u *upstream) {
	if u.condition == Leaving {
		return
	}
	u.version++
	u.condition, u.since = Leaving, now
	m.updates.put(u.asUpdate())
}

// report returns an effect if the effective condition has changed since the last
// effect.
func (u *upstream) report(now time.Time) []Effect {
	shown := u.effectiveCondition(now)
	if shown == u.lastReported {
		return nil
	}
	u.lastReported = shown
	return []Effect{{Kind: UpstreamChanged, Host: u.host.Name, Condition: shown}}
}

// brokenConnsBeforeSuspect is the number of consecutive connections that must
// break or time out before an upstream is suspect. A single one may be due to a
// network fault.
const brokenConnsBeforeSuspect = 2

// ReportUpstream processes the result of using a connection to an upstream.
func (m *Members) ReportUpstream(now time.Time, name string, result ConnResult) []Effect {
	u, ok := m.upstreams[name]
	if !ok || !u.listed {
		return nil
	}
	switch result {
	case ConnOK:
		u.brokenConns = 0
		return nil
	case ConnLeaving:
		return m.observeUpstream(now, u, Leaving)
	case ConnRefused:
		return m.observeUpstream(now, u, Suspect)
	default:
		u.brokenConns++
		if u.brokenConns < brokenConnsBeforeSuspect {
			return nil
		}
		return m.observeUpstream(now, u, Suspect)
	}
}

// observeUpstream changes the condition of an upstream after a connection result.
// It sends the change to other daemons unless it is local only. Repeated failures
// within a hold-down count once.
func (m *Members) observeUpstream(now time.Time, u *upstream, c Condition) []Effect {
	if u.condition == Leaving || u.effectiveCondition(now) == c {
		return nil
	}
	u.localOnly = c == Suspect && !m.shouldGossip(now, u)
	if !u.localOnly {
		u.version++
	}
	return m.setUpstream(now, u, c)
}

// shouldGossip reports whether failed connections of this daemon are evidence
// for other daemons. They are not if the upstream is in another region that has
// routers in use, since the network between the regions may be at fault.
func (m *Members) shouldGossip(now time.Time, u *upstream) bool {
	if u.host.Region == m.self.Region {
		return true
	}
	for _, r := range m.routers {
		if r.host.Region == u.host.Region && r.inUse(now) {
			return false
		}
	}
	return true
}

func (m *Members) setUpstream(now time.Time, u *upstream, c Condition) []Effect {
	u.condition, u.since, u.brokenConns = c, now, 0
	if c == Suspect {
		u.hold.fail(now, m.settings)
	}
	if !u.localOnly {
		m.updates.put(u.asUpdate())
	}
	return u.report(now)
}

// applyUpstreamUpdate applies an update with a higher version, or with the same
// version and a condition of higher precedence.
func (m *Members) applyUpstreamUpdate(now time.Time, update Update) []Effect {
	u, ok := m.upstreams[update.Host]
	if !ok || update.Version < u.version {
		return nil
	}
	if update.Version == u.version && precedence(update.Condition) <= precedence(u.condition) {
		return nil
	}
	u.version = update.Version
	u.localOnly = false
	if update.Condition == u.condition {
		return nil
	}
	return m.setUpstream(now, u, update.Condition)
}

func (m *Members) tickUpstream(now time.Time, u *upstream) []Effect {
	age := now.Sub(u.since)
	switch {
	case !u.listed && age >= m.settings.StableAfter.Std():
		delete(m.upstreams, u.host.Name)
		return nil
	case u.listed && u.condition == Suspect && !u.hold.active(now):
		return m.restoreUpstream(now, u)
	case u.listed && u.condition == Leaving && !u.listedLeaving && age >= m.settings.LeavingNotice.Std():
		return m.restoreUpstream(now, u)
	default:
		return u.report(now)
	}
}

// restoreUpstream makes an upstream alive again after its suspicion or leaving
// notice has expired. Each daemon does so independently, so no update is sent.
// The higher version makes late copies of the old update ineffective.
func (m *Members) restoreUpstream(now time.Time, u *upstream) []Effect {
	if !u.localOnly {
		u.version++
	}
	u.localOnly = false
	u.condition, u.since = Alive, now
	return u.report(now)
}
