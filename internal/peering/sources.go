package peering

import (
	"slices"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// Advance raises the revisions known of a router's copy of the records.
func (l *MemberList) Advance(name string, changed, revision int64) {
	if m, ok := l.members[name]; ok {
		m.router.ChangedRevision = max(m.router.ChangedRevision, changed)
		m.router.StateRevision = max(m.router.StateRevision, revision)
	}
}

// Followers returns the number of live routers that follow the store, and how
// many of them have precedence over this router, by the hash of their names. Those
// whose copy is of an earlier era than era don't count: they lack what the store
// contains now, or don't know of eras.
func (l *MemberList) Followers(era int64) (all, before int) {
	own := placement.Key(l.self)
	for _, router := range l.Live() {
		if !router.FollowsStore || router.Leaving || kv.EraOf(router.StateRevision) < era {
			continue
		}
		all++
		if placement.Key(router.Name) < own {
			before++
		}
	}
	return all, before
}

// NewestChange returns the latest revision at which a live router's copy of the
// records may have changed, zero if there is none.
func (l *MemberList) NewestChange() int64 {
	newest := int64(0)
	for _, m := range l.members {
		if !m.silent {
			newest = max(newest, m.router.ChangedRevision)
		}
	}
	return newest
}

// Source returns the live router from which to fetch changes after the given
// revision, leaving out those in without. It returns false if there is none.
// Each router has its own fixed order of preference, so that requests for a new
// change are distributed and don't all go to the first router that has it.
func (l *MemberList) Source(have int64, without []string) (Router, bool) {
	var names []string
	for name, m := range l.members {
		if !m.silent && m.router.ChangedRevision > have && !slices.Contains(without, name) {
			names = append(names, name)
		}
	}
	name, ok := placement.Owner(l.self, names)
	if !ok {
		return Router{}, false
	}
	return l.members[name].router, true
}
