package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Sizes of BenchmarkLabelMove.
const (
	moveStep = 5 * time.Millisecond
	// moveRequestRate is the requests per second of one daemon.
	moveRequestRate = 7.6
	// moveShare is the share of requests that a change moves.
	moveShare = 0.1
	moveLimit = time.Minute
)

// moveScheme is how the daemon that faces a caller and the owner of the chosen
// engine deal with differing revisions.
type moveScheme int

const (
	// moveUnchecked has the owner trust the facing daemon's choice.
	moveUnchecked moveScheme = iota
	// moveChecked has the owner refuse what its own revision doesn't admit.
	moveChecked
	// moveAnnounced has the owner learn of the facing daemon's revision, and
	// trust its choice.
	moveAnnounced
	// moveStamped has both sides bring each other to the higher revision first.
	moveStamped
	// moveOrdered makes three changes, each when the one before is in force
	// everywhere: owners accept the new place, facing daemons use it, owners
	// stop accepting the old place.
	moveOrdered
)

func (s moveScheme) String() string {
	return [...]string{"unchecked", "checked", "announced", "stamped", "ordered"}[s]
}

// moveResult counts the requests of one change.
type moveResult struct {
	refused, stale, replaced int
	took                     time.Duration
}

// labelMove is a fleet in virtual time with traffic.
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
	for m.result.took < moveLimit {
		if m.everywhere() {
			if m.target == last {
				break
			}
			m.commit(watchers)
		}
		m.result.took += moveStep
		m.step()
	}
	return m.result
}

// commit raises the target and has the watches deliver it.
func (m *labelMove) commit(watchers int) {
	m.target++
	for i := range watchers {
		m.revision[i] = m.target
	}
}

func (m *labelMove) everywhere() bool {
	for _, revision := range m.revision {
		if revision < m.target {
			return false
		}
	}
	return true
}

// step makes the datagrams and requests of one time step.
func (m *labelMove) step() {
	n := len(m.revision)
	for range m.count(float64(n) * moveStep.Seconds() / spreadRound.Seconds()) {
		m.meet(m.random.IntN(n), m.random.IntN(n))
	}
	for range m.count(float64(n) * moveRequestRate * moveStep.Seconds()) {
		m.request(m.random.IntN(n), m.random.IntN(n))
	}
}

// count rounds a mean to a whole number at random.
func (m *labelMove) count(mean float64) int {
	whole := int(mean)
	if m.random.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}

func (m *labelMove) meet(a, b int) {
	higher := max(m.revision[a], m.revision[b])
	m.revision[a], m.revision[b] = higher, higher
}

// request places one request; a share of them belongs to what is moved.
func (m *labelMove) request(facing, owner int) {
	moved := m.random.Float64() < moveShare
	usesNew, acceptsNew, acceptsOld := m.admits(m.revision[facing]).uses, m.admits(m.revision[owner]).acceptsNew, m.admits(m.revision[owner]).acceptsOld
	behind := m.revision[facing] < m.revision[owner]
	switch m.scheme {
	case moveAnnounced:
		m.revision[owner] = max(m.revision[owner], m.revision[facing])
	case moveStamped:
		m.meet(facing, owner)
	}
	if !moved {
		return
	}
	switch {
	case m.scheme == moveStamped && behind:
		m.result.replaced++
	case m.scheme == moveStamped && usesNew:
	case m.checks() && usesNew && !acceptsNew, m.checks() && !usesNew && !acceptsOld:
		m.result.refused++
	case !usesNew:
		m.result.stale++
	}
}

// checks reports whether owners refuse what their own revision doesn't admit.
func (m *labelMove) checks() bool { return m.scheme == moveChecked || m.scheme == moveOrdered }

// admission is what a daemon does at a revision of the change.
type admission struct{ uses, acceptsNew, acceptsOld bool }

func (m *labelMove) admits(revision int) admission {
	if m.scheme == moveOrdered {
		return admission{uses: revision >= 2, acceptsNew: revision >= 1, acceptsOld: revision < 3}
	}
	return admission{uses: revision >= 1, acceptsNew: revision >= 1, acceptsOld: revision < 1}
}

// BenchmarkLabelMove reports what a change of labels costs the requests that it
// moves: refused, served at the old place, and placed again within the fleet.
func BenchmarkLabelMove(b *testing.B) {
	for _, daemons := range []int{32, 410} {
		for scheme := moveUnchecked; scheme <= moveOrdered; scheme++ {
			b.Run(fmt.Sprintf("daemons=%d/%s", daemons, scheme), func(b *testing.B) {
				var total moveResult
				for round := range b.N {
					m := &labelMove{random: rand.New(rand.NewPCG(uint64(round), 3)), scheme: scheme}
					one := m.run(daemons, spreadDomains*DefaultWatchers)
					total.refused += one.refused
					total.stale += one.stale
					total.replaced += one.replaced
					total.took += one.took
				}
				n := float64(b.N)
				b.ReportMetric(float64(total.refused)/n, "refused/move")
				b.ReportMetric(float64(total.stale)/n, "old-place/move")
				b.ReportMetric(float64(total.replaced)/n, "placed-again/move")
				b.ReportMetric(total.took.Seconds()/n, "s/move")
			})
		}
	}
}
