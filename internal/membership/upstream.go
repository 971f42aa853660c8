package membership

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
)

// upstream is what is known about an engine or a service instance.
type upstream struct {
	host hostlist.Host
	// listed is false for a while after the upstream has gone, so that its
	// hold-down outlasts a short absence.
	listed        bool
	listedLeaving bool
	condition     Condition
	since         time.Time
	version       uint64
	hold          holdDown
	// broken counts connections that broke or went silent since one was good.
	broken int
	// private is set while the condition is this daemon's own finding that it
	// doesn't pass on.
	private bool
	// reported is the condition that the last effect told.
	reported Condition
}

// shown is the condition with the list's word and the hold-down taken in.
func (u *upstream) shown(now time.Time) Condition {
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

func (u *upstream) asNews() Update {
	return Update{Host: u.host.Name, Upstream: true, Condition: u.condition, Version: u.version}
}

func (m *Members) hearListedUpstream(now time.Time, host hostlist.Host) []Effect {
	u, known := m.upstreams[host.Name]
	if !known {
		u = &upstream{condition: Alive, since: now, reported: Gone}
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
		m.spreadLeaving(now, u)
	}
	u.listed, u.listedLeaving = true, leaving
	return u.report(now)
}

// spreadLeaving passes on that the list shows an upstream as leaving, since
// other daemons may read the list later.
func (m *Members) spreadLeaving(now time.Time, u *upstream) {
	if u.condition == Leaving {
		return
	}
	u.version++
	u.condition, u.since = Leaving, now
	m.news.put(u.asNews())
}

// report returns the effect of a condition that wasn't told yet.
func (u *upstream) report(now time.Time) []Effect {
	shown := u.shown(now)
	if shown == u.reported {
		return nil
	}
	u.reported = shown
	return []Effect{{Kind: UpstreamChanged, Host: u.host.Name, Condition: shown}}
}

// brokenBeforeSuspect is the number of connections in a row that must break or
// go silent; a single one may be the fault of the path.
const brokenBeforeSuspect = 2

// ReportUpstream takes the result of using a connection to an upstream.
func (m *Members) ReportUpstream(now time.Time, name string, result ConnResult) []Effect {
	u, ok := m.upstreams[name]
	if !ok || !u.listed {
		return nil
	}
	switch result {
	case ConnOK:
		u.broken = 0
		return nil
	case ConnLeaving:
		return m.changeUpstream(now, u, Leaving)
	case ConnRefused:
		return m.changeUpstream(now, u, Suspect)
	default:
		u.broken++
		if u.broken < brokenBeforeSuspect {
			return nil
		}
		return m.changeUpstream(now, u, Suspect)
	}
}

// changeUpstream records this daemon's own finding and passes it on if it may.
// Repeated findings within a hold-down count once.
func (m *Members) changeUpstream(now time.Time, u *upstream, c Condition) []Effect {
	if u.condition == Leaving || u.shown(now) == c {
		return nil
	}
	u.private = c == Suspect && !m.speaksFor(now, u)
	if !u.private {
		u.version++
	}
	return m.setUpstream(now, u, c)
}

// speaksFor reports whether this daemon's failed connections say something
// about an upstream to others: not if routers of the upstream's region know
// better, since regions can lose each other.
func (m *Members) speaksFor(now time.Time, u *upstream) bool {
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
	u.condition, u.since, u.broken = c, now, 0
	if c == Suspect {
		u.hold.fail(now, m.settings)
	}
	if !u.private {
		m.news.put(u.asNews())
	}
	return u.report(now)
}

// hearUpstreamNews adopts news with a higher version, or of the same version
// with a stronger condition.
func (m *Members) hearUpstreamNews(now time.Time, n Update) []Effect {
	u, ok := m.upstreams[n.Host]
	if !ok || n.Version < u.version {
		return nil
	}
	if n.Version == u.version && strength(n.Condition) <= strength(u.condition) {
		return nil
	}
	u.version = n.Version
	u.private = false
	if n.Condition == u.condition {
		return nil
	}
	return m.setUpstream(now, u, n.Condition)
}

func (m *Members) tickUpstream(now time.Time, u *upstream) []Effect {
	age := now.Sub(u.since)
	switch {
	case !u.listed && age >= m.settings.StableAfter.Std():
		delete(m.upstreams, u.host.Name)
		return nil
	case u.listed && u.condition == Suspect && !u.hold.active(now):
		return m.endUpstream(now, u)
	case u.listed && u.condition == Leaving && !u.listedLeaving && age >= m.settings.LeavingNotice.Std():
		return m.endUpstream(now, u)
	default:
		return u.report(now)
	}
}

// endUpstream returns an upstream to use after its suspicion or notice lapsed.
// Each daemon does so by itself, so nothing is passed on; the higher version
// keeps late copies of the old news out.
func (m *Members) endUpstream(now time.Time, u *upstream) []Effect {
	if !u.private {
		u.version++
	}
	u.private = false
	u.condition, u.since = Alive, now
	return u.report(now)
}
