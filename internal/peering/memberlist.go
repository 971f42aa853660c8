// Package peering implements gossip between routers that serve the same platform.
// Each router periodically sends digests: that it is alive, its load, and the
// revision of its copy of the platform's records. Routers whose copy is behind
// fetch it from others.
//
// The number of digests that a router sends per round is bounded, whatever the
// size of the fleet. In a large fleet most evidence that a router is alive is
// indirect: each digest also names some of the routers that its sender heard
// recently.
package peering

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// RoundInterval is the time between rounds of digests.
	RoundInterval = 250 * time.Millisecond
	// Fanout is the maximum number of members that are sent a digest in one round.
	// It bounds the cost of a round in a fleet of any size.
	Fanout = 16
	// maxMissedRounds is the number of consecutive rounds without a digest after
	// which a router counts as silent. It amounts to the one second after which
	// callers give up on a connection.
	maxMissedRounds = 4
	// maxHeardPerDigest is the maximum number of routers for which a digest relays
	// evidence. With 413 routers, there is evidence of each one every 0.4 s.
	maxHeardPerDigest = 16
	// maxMissedEvidence is the number of mean intervals between pieces of evidence
	// after which a router counts as silent. A router that is alive exceeds it by
	// chance once in a hundred thousand times.
	maxMissedEvidence = 12
	// forgetAfter is how long a silent router is still sent digests, so that it is
	// found again after a network partition.
	forgetAfter = 2 * time.Minute
)

// Router is the state that a router reports of itself.
type Router struct {
	Name string
	// Incarnation identifies a start of the process; later starts have higher
	// values unless the clock was set back.
	Incarnation   uint64
	CallerAddress string
	PeerAddress   string
	// Region is empty if unknown.
	Region    string
	Accepting bool
	Leaving   bool
	// StateRevision is the revision up to which its copy of the records is
	// complete, ChangedRevision the latest at which that copy may have changed.
	StateRevision   int64
	ChangedRevision int64
	// FetchNow is set if its copy has just changed by more than fits in a datagram,
	// so that others must fetch the change.
	FetchNow bool
	// FollowsStore is set while it watches the platform's store and the store is
	// reachable.
	FollowsStore bool
	// SentAt is when it sent this state, on a clock of its own; zero if unknown.
	SentAt time.Duration
}

// WentSilent is the Change.Kind of a router that is no longer heard.
const WentSilent = "silent"

// Change is a change in the state of a router.
type Change struct {
	Router Router
	// Kind is "heard", "silent", "leaving", "accepting" or "not accepting".
	Kind string
	// Silence is the time for which the router was not heard, set for "heard" and
	// "silent".
	Silence time.Duration
}

type member struct {
	router Router
	// lastHeard is the time of the latest evidence that the router is alive.
	lastHeard time.Time
	silent    bool
	// heardThisRound is set while it is in MemberList.heardThisRound.
	heardThisRound bool
	transit        transit
}

// MemberList is what one router knows of the others, including which of them are
// live. It does no I/O and is not safe for concurrent use.
type MemberList struct {
	self    string
	random  *rand.Rand
	members map[string]*member
	// listed are peer addresses from the platform's records or the settings, of
	// routers that may not have been heard yet.
	listed []string
	// roundOrder are the members that are sent a digest before any is sent a second
	// one.
	roundOrder []string
	// heardThisRound are the members whose own digests arrived in this round,
	// heardLastRound those of the last round, which are relayed to others.
	heardThisRound []string
	heardLastRound []string
	// byHash maps an incarnationHash to the member's name.
	byHash map[uint32]string
}

// NewMemberList returns an empty MemberList.
func NewMemberList(self string, seed uint64) *MemberList {
	return &MemberList{self: self, random: rand.New(rand.NewPCG(seed, 0)), members: make(map[string]*member),
		byHash: make(map[uint32]string)}
}

// SetListed sets the addresses at which routers may be found that are not yet
// members.
func (l *MemberList) SetListed(addresses []string) { l.listed = addresses }

// RecordDigest records that a router's digest arrived. isNew is set if the router
// is new, was silent or has restarted, and should be sent a digest at once.
func (l *MemberList) RecordDigest(now time.Time, router Router) (changes []Change, isNew bool) {
	if router.Name == l.self {
		return nil, false
	}
	m, ok := l.members[router.Name]
	if !ok {
		m = &member{silent: true}
		l.members[router.Name] = m
	}
	if ok && !m.silent && router.Incarnation < m.router.Incarnation {
		// A delayed datagram of an earlier incarnation. For a silent router, a lower
		// incarnation is accepted: it may have restarted after its clock was set back.
		return nil, false
	}
	isNew = !ok || m.silent || router.Incarnation != m.router.Incarnation
	l.markHeard(m, router.Name)
	delete(l.byHash, incarnationHash(m.router))
	l.byHash[incarnationHash(router)] = router.Name
	changes = m.recordDigest(now, router)
	return changes, isNew
}

func (m *member) recordDigest(now time.Time, router Router) []Change {
	var changes []Change
	silence := now.Sub(m.lastHeard)
	if m.silent {
		if m.lastHeard.IsZero() {
			silence = 0
		}
		changes = append(changes, Change{Router: router, Kind: "heard", Silence: silence})
	}
	if router.Leaving && !m.router.Leaving {
		changes = append(changes, Change{Router: router, Kind: "leaving"})
	}
	if router.Accepting != m.router.Accepting {
		kind := "not accepting"
		if router.Accepting {
			kind = "accepting"
		}
		changes = append(changes, Change{Router: router, Kind: kind})
	}
	if router.Incarnation != m.router.Incarnation {
		m.transit = transit{}
	}
	m.transit.record(now, router.SentAt)
	m.router, m.lastHeard, m.silent = router, now, false
	return changes
}

// Tick marks routers as silent after SilenceTimeout and removes those that were
// not heard for longer than forgetAfter.
func (l *MemberList) Tick(now time.Time) []Change {
	var changes []Change
	timeout := l.SilenceTimeout()
	for _, name := range l.names() {
		m := l.members[name]
		silence := now.Sub(m.lastHeard)
		if !m.silent && silence > timeout {
			m.silent = true
			changes = append(changes, Change{Router: m.router, Kind: WentSilent, Silence: silence})
		}
		if silence > forgetAfter {
			delete(l.members, name)
			delete(l.byHash, incarnationHash(m.router))
		}
	}
	return changes
}

// Live returns the routers that are not silent, in name order.
func (l *MemberList) Live() []Router {
	var out []Router
	for _, name := range l.names() {
		if m := l.members[name]; !m.silent {
			out = append(out, m.router)
		}
	}
	return out
}

// RouterCount returns the number of routers among which shared budgets are
// divided, including this one. Silent routers count: they may still be running
// behind a network partition and spending from the budgets.
func (l *MemberList) RouterCount() int { return len(l.members) + 1 }

// ExpectedCount returns the number of routers that have not announced that they leave,
// including this one and the silent ones.
func (l *MemberList) ExpectedCount() int {
	expected := 1
	for _, m := range l.members {
		if !m.router.Leaving {
			expected++
		}
	}
	return expected
}

// Targets returns the peer addresses for the next round: up to Fanout members, in
// a random order that covers all members before it repeats, and up to Fanout
// listed addresses that no member has.
func (l *MemberList) Targets() []string {
	if len(l.roundOrder) == 0 {
		l.roundOrder = l.names()
		l.random.Shuffle(len(l.roundOrder), func(i, j int) { l.roundOrder[i], l.roundOrder[j] = l.roundOrder[j], l.roundOrder[i] })
	}
	n := min(Fanout, len(l.roundOrder))
	var out []string
	for _, name := range l.roundOrder[:n] {
		if m, ok := l.members[name]; ok {
			out = append(out, m.router.PeerAddress)
		}
	}
	l.roundOrder = l.roundOrder[n:]
	return append(out, l.listedNonMembers(Fanout)...)
}

// PeerAddresses returns the peer addresses of all members, silent ones included.
func (l *MemberList) PeerAddresses() []string {
	var out []string
	for _, name := range l.names() {
		out = append(out, l.members[name].router.PeerAddress)
	}
	return out
}

// listedNonMembers returns up to limit listed addresses that no member has.
func (l *MemberList) listedNonMembers(limit int) []string {
	known := l.PeerAddresses()
	var out []string
	for _, address := range l.listed {
		if !slices.Contains(known, address) && len(out) < limit {
			out = append(out, address)
		}
	}
	return out
}

func (l *MemberList) names() []string {
	names := make([]string, 0, len(l.members))
	for name := range l.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
