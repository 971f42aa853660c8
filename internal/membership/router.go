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
	// sinceRound is the number of this daemon's probe rounds when condition began.
	sinceRound    int
	listedLeaving bool
	// locallySuspected is set if this daemon's own probe raised the suspicion. It
	// then probes the router again in the next rounds.
	locallySuspected bool
	hold             holdDown
	// lastReported is the condition in the last effect about the router.
	lastReported Condition
}

func (r *router) inUse(now time.Time) bool { return r.effectiveCondition(now) != Failed }

// effectiveCondition is the condition combined with the host list and the
// hold-down.
func (r *router) effectiveCondition(now time.Time) Condition {
	switch {
	case r.condition == Failed || r.hold.active(now):
		return Failed
	case r.listedLeaving:
		return Leaving
	default:
		return r.condition
	}
}

// report returns an effect if the effective condition has changed since the last
// effect.
func (r *router) report(now time.Time) []Effect {
	shown := r.effectiveCondition(now)
	if shown == r.lastReported {
		return nil
	}
	r.lastReported = shown
	return []Effect{{Kind: RouterChanged, Host: r.host.Name, Condition: shown}}
}

func (r *router) asUpdate() Update {
	return Update{Host: r.host.Name, Condition: r.condition, Incarnation: r.incarnation}
}

// precedence orders conditions with the same incarnation or version: the update
// with the higher precedence wins.
func precedence(c Condition) int {
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

func (m *Members) applyListedRouter(now time.Time, host hostlist.Host) []Effect {
	if host.Name == m.self.Name {
		return nil
	}
	r, known := m.routers[host.Name]
	if !known {
		r = &router{condition: Alive, since: now, lastReported: Gone}
		m.routers[host.Name] = r
	}
	r.host = host
	leaving := host.State == hostlist.StateLeaving
	if leaving && !r.listedLeaving && r.condition != Failed {
		m.updates.put(Update{Host: host.Name, Condition: Leaving, Incarnation: r.incarnation})
	}
	r.listedLeaving = leaving
	return r.report(now)
}

// Leave queues an update that announces that this daemon is leaving.
func (m *Members) Leave() {
	m.leaving = true
	m.announceSelf()
}

// announceSelf queues an update with this daemon's condition and a higher
// incarnation.
func (m *Members) announceSelf() {
	m.incarnation++
	m.updates.put(Update{Host: m.self.Name, Condition: m.selfCondition(), Incarnation: m.incarnation})
}

// applyRouterUpdate processes an update about a router. Routers are added only by
// the host list; updates about unlisted routers are ignored.
func (m *Members) applyRouterUpdate(now time.Time, update Update) []Effect {
	if update.Host == m.self.Name {
		m.refute(update)
		return nil
	}
	r, ok := m.routers[update.Host]
	if !ok || !r.supersededBy(update) {
		return nil
	}
	r.incarnation = update.Incarnation
	r.locallySuspected = false
	return m.setRouter(now, r, update.Condition)
}

// refute processes an update about this daemon. If the condition in it is wrong
// and the incarnation isn't outdated, refute queues an update with a higher one.
func (m *Members) refute(update Update) {
	if update.Condition == m.selfCondition() {
		m.incarnation = max(m.incarnation, update.Incarnation)
		return
	}
	if update.Incarnation < m.incarnation {
		return
	}
	m.incarnation = update.Incarnation
	m.announceSelf()
}

// supersededBy reports whether an update overrides the known condition.
func (r *router) supersededBy(update Update) bool {
	if update.Incarnation != r.incarnation {
		return update.Incarnation > r.incarnation
	}
	return precedence(update.Condition) > precedence(r.condition)
}

// RecordHeartbeat records that a datagram from a router arrived, as evidence that
// it is alive. A suspect router stays suspect until it refutes the suspicion with
// a higher incarnation, so that all daemons reach the same decision.
func (m *Members) RecordHeartbeat(now time.Time, name string, incarnation uint64) []Effect {
	r, ok := m.routers[name]
	if !ok || incarnation <= r.incarnation {
		return nil
	}
	if r.incarnation == 0 && r.condition == Alive {
		r.incarnation = incarnation
		return nil
	}
	return m.applyRouterUpdate(now, Update{Host: name, Condition: Alive, Incarnation: incarnation})
}

// setRouter changes the condition and queues an update about it.
func (m *Members) setRouter(now time.Time, r *router, c Condition) []Effect {
	before := r.condition
	r.condition = c
	r.since = now
	r.sinceRound = m.prober.rounds
	m.updates.put(r.asUpdate())
	switch {
	case c == Failed && before != Failed:
		r.hold.fail(now, m.settings)
	case c != Failed && before == Failed:
		r.hold.restart(now, m.settings)
	}
	return r.report(now)
}

// suspect processes a probe that got no ack, neither directly nor through a
// relay. A leaving router that stops answering has left and fails at once.
func (m *Members) suspect(now time.Time, r *router) []Effect {
	switch r.condition {
	case Alive:
		r.locallySuspected = true
		return m.setRouter(now, r, Suspect)
	case Leaving:
		return m.setRouter(now, r, Failed)
	default:
		return nil
	}
}

// minSuspectRounds is the minimum number of probe rounds before a suspect is
// declared failed. SuspectTimeout alone isn't enough, since rounds are long when
// the byte budget is small.
const minSuspectRounds = 3

// suspicionExpired reports whether a suspect has not refuted the suspicion in
// time.
func (m *Members) suspicionExpired(now time.Time, r *router) bool {
	return now.Sub(r.since) >= m.settings.SuspectTimeout.Std() && m.prober.rounds-r.sinceRound >= minSuspectRounds
}

func (m *Members) tickRouter(now time.Time, r *router) []Effect {
	age := now.Sub(r.since)
	switch {
	case r.condition == Suspect && m.suspicionExpired(now, r):
		r.locallySuspected = false
		return m.setRouter(now, r, Failed)
	case r.condition == Leaving && !r.listedLeaving && age >= m.settings.LeavingNotice.Std():
		return m.setRouter(now, r, Alive)
	default:
		return r.report(now)
	}
}
