package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Parameters of BenchmarkLabelMove.
const (
	moveStep = 5 * time.Millisecond
	// moveRequestRate is the request rate of one daemon in requests/s.
	moveRequestRate = 7.6
	// moveShare is the fraction of requests that a change moves to another engine.
	moveShare = 0.1
	moveLimit = time.Minute
)

// moveScheme is how the ingress daemon, which receives the caller's request, and the
// daemon that owns the chosen engine handle differing revisions.
type moveScheme int

const (
	// moveUnchecked: the owner trusts the ingress daemon's choice.
	moveUnchecked moveScheme = iota
	// moveChecked: the owner refuses requests that its own revision doesn't allow.
	moveChecked
	// moveAnnounced: the request announces the ingress daemon's revision to the owner,
	// which trusts the choice.
	moveAnnounced
	// moveStamped: the request carries the ingress daemon's revision, and both daemons
	// first update to the higher of their revisions.
	moveStamped
	// moveOrdered: the move is made as three changes, each committed once the previous
	// one is in force on all daemons: owners accept the new placement, ingress daemons use
	// it, owners stop accepting the old placement.
	moveOrdered
)

func (s moveScheme) String() string {
	return [...]string{"unchecked", "checked", "announced", "stamped", "ordered"}[s]
}

// moveResult counts the affected requests of one change, and the time until it is in
// force on all daemons.
type moveResult struct {
	refused, oldPlacement, reassigned int
	duration                          time.Duration
}

// labelMove simulates a fleet with traffic in virtual time.
type labelMove struct {
	random   *rand.Rand
	scheme   moveScheme
	revision []int
	target   int
	result   moveResult
}

func (m *labelMove) run(daemons, watchers int) moveResult {
	m.revision = make([]int, daemons)
	m.commit(watchers)
	last := 1
	if m.scheme == moveOrdered {
		last = 3
	}
	for m.result.duration < moveLimit {
		if m.appliedByAll() {
			if m.target == last {
				break
			}
			m.commit(watchers)
		}
		m.result.duration += moveStep
		m.step()
	}
	return m.result
}

// commit increments the target revision and delivers it to the watchers.
func (m *labelMove) commit(watchers int) {
	m.target++
	for i := range watchers {
		m.revision[i] = m.target
	}
}

func (m *labelMove) appliedByAll() bool {
	for _, revision := range m.revision {
		if revision < m.target {
			return false
		}
	}
	return true
}

// step simulates the datagrams and requests of one time step.
func (m *labelMove) step() {
	n := len(m.revision)
	for range m.count(float64(n) * moveStep.Seconds() / spreadRound.Seconds()) {
		m.exchange(m.random.IntN(n), m.random.IntN(n))
	}
	for range m.count(float64(n) * moveRequestRate * moveStep.Seconds()) {
		m.request(m.random.IntN(n), m.random.IntN(n))
	}
}

// count rounds a mean up or down at random, so that the expected value is the mean.
func (m *labelMove) count(mean float64) int {
	whole := int(mean)
	if m.random.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}

func (m *labelMove) exchange(a, b int) {
	higher := max(m.revision[a], m.revision[b])
	m.revision[a], m.revision[b] = higher, higher
}

// request simulates one request. The fraction moveShare of the requests is affected by
// the move.
func (m *labelMove) request(ingress, owner int) {
	affected := m.random.Float64() < moveShare
	usesNew, acceptsNew, acceptsOld := m.admits(m.revision[ingress]).uses, m.admits(m.revision[owner]).acceptsNew, m.admits(m.revision[owner]).acceptsOld
	behind := m.revision[ingress] < m.revision[owner]
	switch m.scheme {
	case moveAnnounced:
		m.revision[owner] = max(m.revision[owner], m.revision[ingress])
	case moveStamped:
		m.exchange(ingress, owner)
	}
	if !affected {
		return
	}
	switch {
	case m.scheme == moveStamped && behind:
		m.result.reassigned++
	case m.scheme == moveStamped && usesNew:
	case m.checks() && usesNew && !acceptsNew, m.checks() && !usesNew && !acceptsOld:
		m.result.refused++
	case !usesNew:
		m.result.oldPlacement++
	}
}

// checks reports whether owners refuse requests that their own revision doesn't allow.
func (m *labelMove) checks() bool { return m.scheme == moveChecked || m.scheme == moveOrdered }

// admission is which placements a daemon uses and accepts at a revision.
type admission struct{ uses, acceptsNew, acceptsOld bool }

func (m *labelMove) admits(revision int) admission {
	if m.scheme == moveOrdered {
		return admission{uses: revision >= 2, acceptsNew: revision >= 1, acceptsOld: revision < 3}
	}
	return admission{uses: revision >= 1, acceptsNew: revision >= 1, acceptsOld: revision < 1}
}

// BenchmarkLabelMove reports how a change of labels affects the requests that it moves:
// how many are refused, served at the old placement, and reassigned within the fleet.
func BenchmarkLabelMove(b *testing.B) {
	for _, daemons := range []int{32, 410} {
		for scheme := moveUnchecked; scheme <= moveOrdered; scheme++ {
			b.Run(fmt.Sprintf("daemons=%d/%s", daemons, scheme), func(b *testing.B) {
				var total moveResult
				for round := range b.N {
					m := &labelMove{random: rand.New(rand.NewPCG(uint64(round), 3)), scheme: scheme}
					one := m.run(daemons, spreadDomains*DefaultWatchers)
					total.refused += one.refused
					total.oldPlacement += one.oldPlacement
					total.reassigned += one.reassigned
					total.duration += one.duration
				}
				n := float64(b.N)
				b.ReportMetric(float64(total.refused)/n, "refused/move")
				b.ReportMetric(float64(total.oldPlacement)/n, "old-place/move")
				b.ReportMetric(float64(total.reassigned)/n, "placed-again/move")
				b.ReportMetric(total.duration.Seconds()/n, "s/move")
			})
		}
	}
}
