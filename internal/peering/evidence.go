package peering

import (
	"strconv"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// incarnationHash is the short name of one start of a router.
func incarnationHash(router Router) uint32 {
	return uint32(placement.Key(router.Name + "/" + strconv.FormatUint(router.Incarnation, 10)))
}

// BeginRound begins a round.
func (r *MemberList) BeginRound() {
	r.passedOn, r.fresh = r.fresh, nil
	for _, name := range r.passedOn {
		if m, ok := r.members[name]; ok {
			m.fresh = false
		}
	}
}

// noteFresh notes that a member was heard itself in this round.
func (r *MemberList) noteFresh(m *member, name string) {
	if !m.fresh {
		m.fresh = true
		r.fresh = append(r.fresh, name)
	}
}

// DirectlyHeard returns the hashes of routers that were heard themselves in the last
// round, to be passed on with a digest: most evidence of a router comes this way
// in a large fleet. One whose routers all tell each other needs none.
func (r *MemberList) DirectlyHeard() []uint32 {
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

// RecordIndirect takes evidence that another router passes on. It says nothing of
// routers that are silent already: these have to be heard themselves.
func (r *MemberList) RecordIndirect(now time.Time, hashes []uint32) {
	for _, hash := range hashes {
		if m, ok := r.members[r.byHash[hash]]; ok && !m.silent {
			m.heard = now
		}
	}
}

// SilenceTimeout is how long there may be no evidence of a router before it counts as
// silent.
func (r *MemberList) SilenceTimeout() time.Duration {
	const direct = missedRounds * RoundInterval
	if len(r.members) <= Fanout {
		return direct
	}
	// A router hears Fanout digests a round, each tells of its sender and of
	// heardPerDigest others.
	perRound := float64(Fanout*(1+heardPerDigest)) / float64(len(r.members))
	return max(direct, time.Duration(missedEvidence/perRound*float64(RoundInterval)))
}

// PropagationTime is how long what one router tells needs until all have heard of it.
func (r *MemberList) PropagationTime() time.Duration {
	rounds := 0
	for reached := Fanout; reached < len(r.members); reached *= Fanout {
		rounds++
	}
	return time.Duration(rounds) * RoundInterval
}
