package peering

import (
	"strconv"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// incarnationHash returns a short identifier of one incarnation of a router.
func incarnationHash(router Router) uint32 {
	return uint32(placement.Key(router.Name + "/" + strconv.FormatUint(router.Incarnation, 10)))
}

// BeginRound starts a round: the routers heard directly in the round before
// become those that DirectlyHeard returns.
func (l *MemberList) BeginRound() {
	l.heardLastRound, l.heardThisRound = l.heardThisRound, nil
	for _, name := range l.heardLastRound {
		if m, ok := l.members[name]; ok {
			m.heardThisRound = false
		}
	}
}

// markHeard records that a digest of the member itself arrived in this round.
func (l *MemberList) markHeard(m *member, name string) {
	if !m.heardThisRound {
		m.heardThisRound = true
		l.heardThisRound = append(l.heardThisRound, name)
	}
}

// DirectlyHeard returns the hashes of routers whose own digests arrived in the
// last round, to be relayed with this router's digest. In a large fleet most
// evidence that a router is alive arrives this way. It returns nil in a fleet
// small enough for every router to send to all others in each round.
func (l *MemberList) DirectlyHeard() []uint32 {
	if len(l.members) <= Fanout {
		return nil
	}
	var out []uint32
	for _, name := range l.heardLastRound {
		if m, ok := l.members[name]; ok && !m.silent && len(out) < maxHeardPerDigest {
			out = append(out, incarnationHash(m.router))
		}
	}
	return out
}

// RecordIndirect records evidence of live routers that another router relays. It
// ignores routers that are already silent: they become live again only by a
// digest of their own.
func (l *MemberList) RecordIndirect(now time.Time, hashes []uint32) {
	for _, hash := range hashes {
		if m, ok := l.members[l.byHash[hash]]; ok && !m.silent {
			m.lastHeard = now
		}
	}
}

// SilenceTimeout returns how long a router may go without evidence that it is
// alive before it counts as silent.
func (l *MemberList) SilenceTimeout() time.Duration {
	const directTimeout = maxMissedRounds * RoundInterval
	if len(l.members) <= Fanout {
		return directTimeout
	}
	// A router receives Fanout digests a round on average. Each is evidence of its
	// sender and of maxHeardPerDigest others.
	perRound := float64(Fanout*(1+maxHeardPerDigest)) / float64(len(l.members))
	return max(directTimeout, time.Duration(maxMissedEvidence/perRound*float64(RoundInterval)))
}

// PropagationTime returns how long information sent by one router takes to reach
// all others.
func (l *MemberList) PropagationTime() time.Duration {
	rounds := 0
	for reached := Fanout; reached < len(l.members); reached *= Fanout {
		rounds++
	}
	return time.Duration(rounds) * RoundInterval
}

// CoverageTime returns how long it takes until each member has been sent a digest.
func (l *MemberList) CoverageTime() time.Duration {
	rounds := (len(l.members) + Fanout - 1) / Fanout
	return time.Duration(max(rounds, 1)) * RoundInterval
}
