package peering

import (
	"slices"

	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// Advance notes that a router has a copy of the records at a revision.
func (r *MemberList) Advance(name string, changed, revision int64) {
	if m, ok := r.members[name]; ok {
		m.router.ChangedRevision = max(m.router.ChangedRevision, changed)
		m.router.StateRevision = max(m.router.StateRevision, revision)
	}
}

// Followers returns the number of live routers that follow the store, and of
// those among them that go before this one.
func (r *MemberList) Followers() (all, before int) {
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
func (r *MemberList) NewestChange() int64 {
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
func (r *MemberList) Source(have int64, without []string) (Router, bool) {
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
