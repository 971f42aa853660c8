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
	"strconv"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/placement"
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
	// What is "heard", "silent", "leaving", "accepting" or "not accepting".
	What string
	// Silence is how long the router was not heard.
	Silence time.Duration
}

type member struct {
	router Router
	// heard is when there was the last evidence that the router lives.
	heard  time.Time
	silent bool
}

// Roster is what one router knows of the others. It is pure, and not safe for
// concurrent use.
type Roster struct {
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

// NewRoster returns a Roster that knows no other router.
func NewRoster(self string, seed uint64) *Roster {
	return &Roster{self: self, random: rand.New(rand.NewPCG(seed, 0)), members: make(map[string]*member),
		byHash: make(map[uint32]string)}
}

// SetListed sets the addresses of routers that may be found there.
func (r *Roster) SetListed(addresses []string) { r.listed = addresses }

// Hear takes a router's digest; isNew is set when it should be answered at once.
func (r *Roster) Hear(now time.Time, router Router) (changes []Change, isNew bool) {
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
	r.fresh = append(r.fresh, router.Name)
	delete(r.byHash, incarnationHash(m.router))
	r.byHash[incarnationHash(router)] = router.Name
	changes = m.hear(now, router)
	return changes, isNew
}

// incarnationHash is the short name of one start of a router.
func incarnationHash(router Router) uint32 {
	return uint32(placement.Key(router.Name + "/" + strconv.FormatUint(router.Incarnation, 10)))
}

// Round begins a round.
func (r *Roster) Round() { r.passedOn, r.fresh = r.fresh, nil }

// Heard returns the hashes of routers that were heard themselves in the last
// round, to be passed on with a digest: most evidence of a router comes this way
// in a large fleet. One whose routers all tell each other needs none.
func (r *Roster) Heard() []uint32 {
	if len(r.members) <= Fanout {
		return nil
	}
	var out []uint32
	for _, name := range r.passedOn {
		if m, ok := r.members[name]; ok && !m.silent && len(out) < heardPerDigest {
			out = append(out, incarnationHash(m.router))
		}
	}
	return out
}

// HearOf takes evidence that another router passes on. It says nothing of
// routers that are silent already: these have to be heard themselves.
func (r *Roster) HearOf(now time.Time, hashes []uint32) {
	for _, hash := range hashes {
		if m, ok := r.members[r.byHash[hash]]; ok && !m.silent {
			m.heard = now
		}
	}
}

func (m *member) hear(now time.Time, router Router) []Change {
	var changes []Change
	silence := now.Sub(m.heard)
	if m.silent {
		if m.heard.IsZero() {
			silence = 0
		}
		changes = append(changes, Change{Router: router, What: "heard", Silence: silence})
	}
	if router.Leaving && !m.router.Leaving {
		changes = append(changes, Change{Router: router, What: "leaving"})
	}
	if router.Accepting != m.router.Accepting {
		what := "not accepting"
		if router.Accepting {
			what = "accepting"
		}
		changes = append(changes, Change{Router: router, What: what})
	}
	m.router, m.heard, m.silent = router, now, false
	return changes
}

// Tick finds routers that fell silent, and forgets those that were silent long.
func (r *Roster) Tick(now time.Time) []Change {
	var changes []Change
	patience := r.Patience()
	for _, name := range r.names() {
		m := r.members[name]
		silence := now.Sub(m.heard)
		if !m.silent && silence > patience {
			m.silent = true
			changes = append(changes, Change{Router: m.router, What: WentSilent, Silence: silence})
		}
		if silence > forgetAfter {
			delete(r.members, name)
			delete(r.byHash, incarnationHash(m.router))
		}
	}
	return changes
}

// Patience is how long there may be no evidence of a router before it counts as
// silent.
func (r *Roster) Patience() time.Duration {
	const direct = missedRounds * RoundInterval
	if len(r.members) <= Fanout {
		return direct
	}
	// A router hears Fanout digests a round, each tells of its sender and of
	// heardPerDigest others.
	perRound := float64(Fanout*(1+heardPerDigest)) / float64(len(r.members))
	return max(direct, time.Duration(missedEvidence/perRound*float64(RoundInterval)))
}

// Live returns the routers that were heard lately, in name order.
func (r *Roster) Live() []Router {
	var out []Router
	for _, name := range r.names() {
		if m := r.members[name]; !m.silent {
			out = append(out, m.router)
		}
	}
	return out
}

// Sharers is the number of routers that may spend from shared budgets, this one
// included: silent ones may only be cut off from here.
func (r *Roster) Sharers() int { return len(r.members) + 1 }

// Targets returns the peer addresses for the next round: a part of all members
// by turns, and the listed addresses that no member has.
func (r *Roster) Targets() []string {
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

// Everyone returns the peer addresses of all members.
func (r *Roster) Everyone() []string {
	var out []string
	for _, name := range r.names() {
		out = append(out, r.members[name].router.PeerAddress)
	}
	return out
}

// unheard returns up to limit listed addresses that no live member has.
func (r *Roster) unheard(limit int) []string {
	known := r.Everyone()
	var out []string
	for _, address := range r.listed {
		if !slices.Contains(known, address) && len(out) < limit {
			out = append(out, address)
		}
	}
	return out
}

// Advance notes that a router has a copy of the records at a revision.
func (r *Roster) Advance(name string, changed, revision int64) {
	if m, ok := r.members[name]; ok {
		m.router.ChangedRevision = max(m.router.ChangedRevision, changed)
		m.router.StateRevision = max(m.router.StateRevision, revision)
	}
}

// Followers returns the number of live routers that follow the store, and of
// those among them that go before this one.
func (r *Roster) Followers() (all, before int) {
	own := placement.Key(r.self)
	for _, router := range r.Live() {
		if !router.FollowsStore || router.Leaving {
			continue
		}
		all++
		if placement.Key(router.Name) < own {
			before++
		}
	}
	return all, before
}

// NewestChange is the latest revision at which a live router's copy of the
// records may have changed; zero when there is none.
func (r *Roster) NewestChange() int64 {
	newest := int64(0)
	for _, m := range r.members {
		if !m.silent {
			newest = max(newest, m.router.ChangedRevision)
		}
	}
	return newest
}

// Source returns the live router to fetch from what a copy at a revision lacks,
// without some; false when there is none. Each router prefers others, always the
// same ones, so that a change spreads over the fleet without a rush to the first
// that has it.
func (r *Roster) Source(have int64, without []string) (Router, bool) {
	var names []string
	for name, m := range r.members {
		if !m.silent && m.router.ChangedRevision > have && !slices.Contains(without, name) {
			names = append(names, name)
		}
	}
	name, ok := placement.Owner(r.self, names)
	if !ok {
		return Router{}, false
	}
	return r.members[name].router, true
}

// SpreadTime is how long what one router tells needs until all have heard of it.
func (r *Roster) SpreadTime() time.Duration {
	rounds := 0
	for reached := Fanout; reached < len(r.members); reached *= Fanout {
		rounds++
	}
	return time.Duration(rounds) * RoundInterval
}

func (r *Roster) names() []string {
	names := make([]string, 0, len(r.members))
	for name := range r.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
