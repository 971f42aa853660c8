package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a process of the fleet.
type Member struct {
	Name          string
	FailureDomain string
}

// DefaultWatchers is the number of processes per failure domain that watch the
// key-value service.
const DefaultWatchers = 2

// IsWatcher reports whether a process is one of the count members of its failure domain
// that watch the key-value service. They are chosen by rendezvous hashing among the
// live members. A process that is missing from the list is treated as live.
func IsWatcher(self Member, live []Member, count int) bool {
	own := score(self)
	higher := 0
	for _, member := range live {
		if member.FailureDomain != self.FailureDomain || member.Name == self.Name {
			continue
		}
		other := score(member)
		if cmp.Or(cmp.Compare(other, own), cmp.Compare(member.Name, self.Name)) > 0 {
			higher++
		}
	}
	return higher < count
}

// Watchers returns the sorted names of all watchers, count per failure domain.
func Watchers(live []Member, count int) []string {
	var names []string
	for _, member := range live {
		if IsWatcher(member, live, count) {
			names = append(names, member.Name)
		}
	}
	slices.Sort(names)
	return names
}

func score(m Member) uint64 { return xxhash.Sum64String("watcher\x00" + m.Name) }
