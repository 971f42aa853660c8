package membership

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
)

// router is what is known about another router.
type router struct {
	host        hostlist.Host
	incarnation uint64
	condition   Condition
	// since is when condition began.
	since time.Time
	// round is the number of this daemon's probe rounds when condition began.
	round         int
	listedLeaving bool
	// probedHere is set while this daemon's own probe raised the suspicion; it
	// then probes on.
	probedHere bool
	hold       holdDown
	// reported is the condition that the last effect told.
	reported Condition
}

func (r *router) inUse(now time.Time) bool { return r.shown(now) != Failed }

// shown is the condition with the list's word and the hold-down taken in.
func (r *router) shown(now time.Time) Condition {
	switch {
	case r.condition == Failed || r.hold.active(now):
		return Failed
	case r.listedLeaving:
		return Leaving
	default:
		return r.condition
	}
}

// report returns the effect of a condition that wasn't told yet.
func (r *router) report(now time.Time) []Effect {
	shown := r.shown(now)
	if shown == r.reported {
		return nil
	}
	r.reported = shown
	return []Effect{{Kind: RouterChanged, Host: r.host.Name, Condition: shown}}
}

func (r *router) asNews() Update {
	return Update{Host: r.host.Name, Condition: r.condition, Incarnation: r.incarnation}
}

// strength orders conditions of one incarnation: the stronger wins.
func strength(c Condition) int {
	switch c {
	case Alive:
		return 0
	case Suspect:
		return 1
	case Leaving:
		return 2
	default:
		return 3
	}
}

func (m *Members) selfCondition() Condition {
	if m.leaving {
		return Leaving
	}
	return Alive
}

func (m *Members) hearListedRouter(now time.Time, host hostlist.Host) []Effect {
	if host.Name == m.self.Name {
		return nil
	}
	r, known := m.routers[host.Name]
	if !known {
		r = &router{condition: Alive, since: now, reported: Gone}
		m.routers[host.Name] = r
	}
	r.host = host
	leaving := host.State == hostlist.StateLeaving
	if leaving && !r.listedLeaving && r.condition != Failed {
		m.news.put(Update{Host: host.Name, Condition: Leaving, Incarnation: r.incarnation})
	}
	r.listedLeaving = leaving
	return r.report(now)
}

// Leave announces that this daemon leaves.
func (m *Members) Leave() {
	m.leaving = true
	m.announceSelf()
}

// announceSelf spreads this daemon's condition under a higher incarnation.
func (m *Members) announceSelf() {
	m.incarnation++
	m.news.put(Update{Host: m.self.Name, Condition: m.selfCondition(), Incarnation: m.incarnation})
}

// hearRouterNews takes news about a router. Only the list makes a router
// known; news about others is dropped.
func (m *Members) hearRouterNews(now time.Time, n Update) []Effect {
	if n.Host == m.self.Name {
		m.refute(n)
		return nil
	}
	r, ok := m.routers[n.Host]
	if !ok || !r.superseded(n) {
		return nil
	}
	r.incarnation = n.Incarnation
	r.probedHere = false
	return m.setRouter(now, r, n.Condition)
}

// refute answers wrong news about this daemon.
func (m *Members) refute(n Update) {
	if n.Condition == m.selfCondition() {
		m.incarnation = max(m.incarnation, n.Incarnation)
		return
	}
	if n.Incarnation < m.incarnation {
		return
	}
	m.incarnation = n.Incarnation
	m.announceSelf()
}

// superseded reports whether news replaces what is known.
func (r *router) superseded(n Update) bool {
	if n.Incarnation != r.incarnation {
		return n.Incarnation > r.incarnation
	}
	return strength(n.Condition) > strength(r.condition)
}

// RecordHeartbeat takes a datagram from a router as a sign of life. A suspect of
// the same incarnation stays one until it refutes, so that all daemons decide
// alike.
func (m *Members) RecordHeartbeat(now time.Time, name string, incarnation uint64) []Effect {
	r, ok := m.routers[name]
	if !ok || incarnation <= r.incarnation {
		return nil
	}
	if r.incarnation == 0 && r.condition == Alive {
		r.incarnation = incarnation
		return nil
	}
	return m.hearRouterNews(now, Update{Host: name, Condition: Alive, Incarnation: incarnation})
}

// setRouter changes the condition and passes it on.
func (m *Members) setRouter(now time.Time, r *router, c Condition) []Effect {
	before := r.condition
	r.condition = c
	r.since = now
	r.round = m.prober.rounds
	m.news.put(r.asNews())
	switch {
	case c == Failed && before != Failed:
		r.hold.fail(now, m.settings)
	case c != Failed && before == Failed:
		r.hold.restartHold(now, m.settings)
	}
	return r.report(now)
}

// suspect takes a probe that nobody answered. A leaving router that stops
// answering has left.
func (m *Members) suspect(now time.Time, r *router) []Effect {
	switch r.condition {
	case Alive:
		r.probedHere = true
		return m.setRouter(now, r, Suspect)
	case Leaving:
		return m.setRouter(now, r, Failed)
	default:
		return nil
	}
}

// suspectRounds is the number of probe rounds that a suspicion lasts at least;
// rounds are long when the byte budget is short.
const suspectRounds = 3

// suspicionOver reports whether a suspect had its time to refute.
func (m *Members) suspicionOver(now time.Time, r *router) bool {
	return now.Sub(r.since) >= m.settings.SuspectTimeout.Std() && m.prober.rounds-r.round >= suspectRounds
}

func (m *Members) tickRouter(now time.Time, r *router) []Effect {
	age := now.Sub(r.since)
	switch {
	case r.condition == Suspect && m.suspicionOver(now, r):
		r.probedHere = false
		return m.setRouter(now, r, Failed)
	case r.condition == Leaving && !r.listedLeaving && age >= m.settings.LeavingNotice.Std():
		return m.setRouter(now, r, Alive)
	default:
		return r.report(now)
	}
}
