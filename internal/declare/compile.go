package declare

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// Compile validates the declarations and compiles them into a snapshot with the
// given revision.
func Compile(d *Declarations, revision uint64) (*fleet.Snapshot, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	return CompileChecked(d, revision), nil
}

// CompileChecked is Compile for declarations that have already passed Check.
func CompileChecked(d *Declarations, revision uint64) *fleet.Snapshot {
	upstreams := d.upstreams()
	s := &fleet.Snapshot{
		Revision:   revision,
		Workspaces: compileWorkspaces(d.Workspaces),
		Upstreams:  make(map[string]*fleet.Upstream, len(upstreams)),
		Services:   compileServices(d.Services),
		Models:     d.models(),
		Pools:      compilePools(d.Selectors, upstreams),
	}
	for _, u := range upstreams {
		s.Upstreams[u.Name] = u
	}
	s.Grants = compileGrants(d, upstreams)
	return s
}

func compileWorkspaces(declared []Workspace) map[string]*fleet.Workspace {
	out := make(map[string]*fleet.Workspace, len(declared))
	for _, w := range declared {
		priority, _ := fleet.ParsePriority(w.Priority)
		out[w.Name] = &fleet.Workspace{Name: w.Name, Labels: w.Labels, Weight: w.Weight, Priority: priority}
	}
	return out
}

func compileServices(declared []Service) map[string]*fleet.Service {
	out := make(map[string]*fleet.Service, len(declared))
	for _, s := range declared {
		service := &fleet.Service{Name: s.Name}
		for _, call := range s.IdempotentCalls {
			service.IdempotentCalls = append(service.IdempotentCalls, fleet.CallPattern(call))
		}
		out[s.Name] = service
	}
	return out
}

// upstreams returns a new upstream for each engine and then for each service
// instance, in the order of d.
func (d *Declarations) upstreams() []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, e := range d.Engines {
		out = append(out, &fleet.Upstream{
			Name: e.Name, Kind: fleet.KindEngine, Labels: e.Labels, Target: e.Model,
			Weight: e.Weight, Capacity: e.Capacity,
		})
	}
	for _, s := range d.Services {
		for _, i := range s.Instances {
			out = append(out, &fleet.Upstream{
				Name: i.Name, Kind: fleet.KindService, Labels: mergeLabels(s.Labels, i.Labels), Target: s.Name,
				Weight: i.Weight, Capacity: i.Capacity,
			})
		}
	}
	return out
}

func mergeLabels(base, overrides fleet.Labels) fleet.Labels {
	out := make(fleet.Labels, len(base)+len(overrides))
	maps.Copy(out, base)
	maps.Copy(out, overrides)
	return out
}

func (d *Declarations) models() map[string]bool {
	out := make(map[string]bool)
	for _, e := range d.Engines {
		out[e.Model] = true
	}
	return out
}

func upstreamsByTarget(upstreams []*fleet.Upstream) map[string][]*fleet.Upstream {
	out := make(map[string][]*fleet.Upstream)
	for _, u := range upstreams {
		out[u.Target] = append(out[u.Target], u)
	}
	return out
}

// admits reports whether the selector lists the upstream's target and matches its
// labels.
func (s Selector) admits(u *fleet.Upstream) bool {
	targets := s.Models
	if u.Kind == fleet.KindService {
		targets = s.Services
	}
	return slices.Contains(targets, u.Target) && s.Upstreams.Matches(u.Labels)
}

// compilePools groups upstreams by target and by the set of selectors that admit
// them, and sets the Pool index of each upstream.
func compilePools(selectors []Selector, upstreams []*fleet.Upstream) []*fleet.Pool {
	members := make(map[string][]*fleet.Upstream)
	for _, u := range upstreams {
		name := poolName(selectors, u)
		members[name] = append(members[name], u)
	}
	names := slices.Sorted(maps.Keys(members))
	pools := make([]*fleet.Pool, 0, len(names))
	taken := make(map[uint32]bool, len(names))
	for index, name := range names {
		hash := unusedHash(taken, name)
		taken[hash] = true
		pools = append(pools, &fleet.Pool{Name: name, Hash: hash, Upstreams: members[name]})
		for _, u := range members[name] {
			u.Pool = index
		}
	}
	return pools
}

func poolName(selectors []Selector, u *fleet.Upstream) string {
	var names []string
	for _, s := range selectors {
		if s.admits(u) {
			names = append(names, s.Name)
		}
	}
	return u.Target + "/" + strings.Join(names, "+")
}

// unusedHash returns a 32-bit hash of a pool's name. It rehashes with a suffix
// until no other pool of the snapshot has the same hash.
func unusedHash(taken map[uint32]bool, name string) uint32 {
	for attempt := 0; ; attempt++ {
		hash := uint32(xxhash.Sum64String(name))
		if !taken[hash] {
			return hash
		}
		name = fmt.Sprintf("%s#%d", name, attempt)
	}
}

// workspaceGroup is a group of workspaces with identical labels.
type workspaceGroup struct {
	labels fleet.Labels
	names  []string
}

// groupWorkspaces groups workspaces by their labels, so that selectors are
// matched only once for each distinct label set.
func groupWorkspaces(workspaces []Workspace) []workspaceGroup {
	index := make(map[string]int)
	var groups []workspaceGroup
	for _, w := range workspaces {
		key := labelsKey(w.Labels)
		i, ok := index[key]
		if !ok {
			i = len(groups)
			index[key] = i
			groups = append(groups, workspaceGroup{labels: w.Labels})
		}
		groups[i].names = append(groups[i].names, w.Name)
	}
	return groups
}

func labelsKey(labels fleet.Labels) string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		b.WriteString(key)
		b.WriteByte(0)
		b.WriteString(labels[key])
		b.WriteByte(0)
	}
	return b.String()
}

func compileGrants(d *Declarations, upstreams []*fleet.Upstream) map[string][]*fleet.Grant {
	grants := make([]*fleet.Grant, len(d.Selectors))
	for i, s := range d.Selectors {
		grants[i] = compileGrant(s, upstreams)
	}
	out := make(map[string][]*fleet.Grant, len(d.Workspaces))
	for _, group := range groupWorkspaces(d.Workspaces) {
		var matched []*fleet.Grant
		for i, s := range d.Selectors {
			if s.Workspaces.Matches(group.labels) {
				matched = append(matched, grants[i])
			}
		}
		for _, name := range group.names {
			out[name] = matched
		}
	}
	return out
}

func compileGrant(s Selector, upstreams []*fleet.Upstream) *fleet.Grant {
	grant := &fleet.Grant{Selector: s.Name, Targets: make(map[string][]int)}
	for _, u := range upstreams {
		pools := grant.Targets[u.Target]
		if s.admits(u) && !slices.Contains(pools, u.Pool) {
			grant.Targets[u.Target] = append(pools, u.Pool)
		}
	}
	return grant
}
