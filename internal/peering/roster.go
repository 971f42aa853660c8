// Package peering connects routers that serve the same platform: each tells the
// others again and again that it lives, what it holds and how far its copy of
// the platform's records is, and gives that copy to one that is behind.
//
// A router sends a bounded number of digests a round, whatever the number of
// routers. In a large fleet most evidence that a router lives comes through
// others: each digest passes on what its sender has heard of some of them.
package peering

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// RoundInterval is the time between two rounds of digests.
	RoundInterval = 250 * time.Millisecond
	// Fanout is the most routers that are sent a digest in one round; it keeps
	// the cost of a round the same in a fleet of any size.
	Fanout = 16
	// missedRounds is the number of digests in a row whose loss makes a router
	// count as silent: callers give up on a connection after a second.
	missedRounds = 4
	// heardPerDigest is the number of routers of which a digest passes on
	// evidence: at 413 routers, each is heard of every 0.4 s.
	heardPerDigest = 16
	// missedEvidence is the number of mean times between two pieces of evidence
	// after which a router counts as silent: by chance, that many pass once in a
	// hundred thousand times.
	missedEvidence = 12
	// forgetAfter is how long a silent router is still sent digests, so that it
	// is found again after a cut.
	forgetAfter = 2 * time.Minute
)

// Router is what one router says of itself.
type Router struct {
	Name string
	// Incarnation rises with each start of the process.
	Incarnation   uint64
	CallerAddress string
	PeerAddress   string
	// Region is empty when it isn't known.
	Region    string
	Accepting bool
	Leaving   bool
	// StateRevision is the revision that its copy of the records is complete up
	// to, ChangedRevision the latest at which that copy may have changed.
	StateRevision   int64
	ChangedRevision int64
	// FetchNow is set when its copy has just changed, by more than fits in a
	// datagram.
	FetchNow bool
	// FollowsStore is set while it follows the platform's store and reaches it.
	FollowsStore bool
}

// WentSilent is what a Change says of a router that is no longer heard.
const WentSilent = "silent"

// Change tells that a router was heard, lost, or changed its mind.
type Change struct {
	Router Router
	// Kind is "heard", "silent", "leaving", "accepting" or "not accepting".
	Kind string
	// Silence is how long the router was not heard.
	Silence time.Duration
}

type member struct {
	router Router
	// heard is when there was the last evidence that the router lives.
	heard  time.Time
	silent bool
	// fresh is set while it is in Roster.fresh.
	fresh bool
}

// MemberList is what one router knows of the others. It is pure, and not safe for
// concurrent use.
type MemberList struct {
	self    string
	random  *rand.Rand
	members map[string]*member
	// listed are peer addresses from the platform's records or the settings,
	// of routers that may not have been heard yet.
	listed []string
	// order is the rest of the current turn through all members.
	order []string
	// fresh are the members that were heard themselves in this round, passedOn
	// those of the last one, of which others are told.
	fresh    []string
	passedOn []string
	// byHash are the names of members by incarnationHash.
	byHash map[uint32]string
}

// NewMemberList returns a Roster that knows no other router.
func NewMemberList(self string, seed uint64) *MemberList {
	return &MemberList{self: self, random: rand.New(rand.NewPCG(seed, 0)), members: make(map[string]*member),
		byHash: make(map[uint32]string)}
}

// SetListed sets the addresses of routers that may be found there.
func (r *MemberList) SetListed(addresses []string) { r.listed = addresses }

// RecordDigest takes a router's digest; isNew is set when it should be answered at once.
func (r *MemberList) RecordDigest(now time.Time, router Router) (changes []Change, isNew bool) {
	if router.Name == r.self {
		return nil, false
	}
	m, ok := r.members[router.Name]
	if !ok {
		m = &member{silent: true}
		r.members[router.Name] = m
	}
	if ok && !m.silent && router.Incarnation < m.router.Incarnation {
		// A late datagram of an earlier process. A silent router may have started
		// again after its clock was set back.
		return nil, false
	}
	isNew = !ok || m.silent || router.Incarnation != m.router.Incarnation
	r.noteFresh(m, router.Name)
	delete(r.byHash, incarnationHash(m.router))
	r.byHash[incarnationHash(router)] = router.Name
	changes = m.hear(now, router)
	return changes, isNew
}

func (m *member) hear(now time.Time, router Router) []Change {
	var changes []Change
	silence := now.Sub(m.heard)
	if m.silent {
		if m.heard.IsZero() {
			silence = 0
		}
		changes = append(changes, Change{Router: router, Kind: "heard", Silence: silence})
	}
	if router.Leaving && !m.router.Leaving {
		changes = append(changes, Change{Router: router, Kind: "leaving"})
	}
	if router.Accepting != m.router.Accepting {
		what := "not accepting"
		if router.Accepting {
			what = "accepting"
		}
		changes = append(changes, Change{Router: router, Kind: what})
	}
	m.router, m.heard, m.silent = router, now, false
	return changes
}

// Tick finds routers that fell silent, and forgets those that were silent long.
func (r *MemberList) Tick(now time.Time) []Change {
	var changes []Change
	patience := r.SilenceTimeout()
	for _, name := range r.names() {
		m := r.members[name]
		silence := now.Sub(m.heard)
		if !m.silent && silence > patience {
			m.silent = true
			changes = append(changes, Change{Router: m.router, Kind: WentSilent, Silence: silence})
		}
		if silence > forgetAfter {
			delete(r.members, name)
			delete(r.byHash, incarnationHash(m.router))
		}
	}
	return changes
}

// Live returns the routers that were heard lately, in name order.
func (r *MemberList) Live() []Router {
	var out []Router
	for _, name := range r.names() {
		if m := r.members[name]; !m.silent {
			out = append(out, m.router)
		}
	}
	return out
}

// RouterCount is the number of routers that may spend from shared budgets, this one
// included: silent ones may only be cut off from here.
func (r *MemberList) RouterCount() int { return len(r.members) + 1 }

// Targets returns the peer addresses for the next round: a part of all members
// by turns, and the listed addresses that no member has.
func (r *MemberList) Targets() []string {
	if len(r.order) == 0 {
		r.order = r.names()
		r.random.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
	}
	n := min(Fanout, len(r.order))
	var out []string
	for _, name := range r.order[:n] {
		if m, ok := r.members[name]; ok {
			out = append(out, m.router.PeerAddress)
		}
	}
	r.order = r.order[n:]
	return append(out, r.unheard(Fanout)...)
}

// PeerAddresses returns the peer addresses of all members.
func (r *MemberList) PeerAddresses() []string {
	var out []string
	for _, name := range r.names() {
		out = append(out, r.members[name].router.PeerAddress)
	}
	return out
}

// unheard returns up to limit listed addresses that no live member has.
func (r *MemberList) unheard(limit int) []string {
	known := r.PeerAddresses()
	var out []string
	for _, address := range r.listed {
		if !slices.Contains(known, address) && len(out) < limit {
			out = append(out, address)
		}
	}
	return out
}

func (r *MemberList) names() []string {
	names := make([]string, 0, len(r.members))
	for name := range r.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
