package dispatch

import (
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/instances"
)

// selection are the instances that a call may be placed at.
type selection struct {
	candidates []instances.Candidate
	// sources take no call now; cached prompt parts can be fetched from them.
	sources []instances.Instance
	// limited and unlimited are all that could take the call, with and without a rate limit;
	// neither is set if none has one.
	limited, unlimited []instances.Candidate
	// last is set if only those with a rate limit are left.
	last bool
}

// selectInstances leaves out the instances whose rate limit is used up for the moment and,
// while others have a limit, those without one that have no room for a prompt. If none is
// left without a limit, all that have one are selected.
func (b *Balancer) selectInstances(now time.Time, c *call.Call, t target, all []instances.Candidate) selection {
	limited := func(c instances.Candidate) bool { return b.registry.RateLimit(c.Instance) > 0 }
	if !slices.ContainsFunc(all, limited) {
		return selection{candidates: all}
	}
	var s selection
	for _, candidate := range all {
		if limited(candidate) {
			s.limited = append(s.limited, candidate)
		} else {
			s.unlimited = append(s.unlimited, candidate)
		}
	}
	for _, candidate := range s.unlimited {
		s.add(candidate, len(c.Prompt.Parts) == 0 || b.hasRoom(now, candidate))
	}
	if len(s.candidates) == 0 {
		return s.onlyLimited()
	}
	for _, candidate := range s.limited {
		s.add(candidate, !t.avoidLimited && !now.Before(b.exhausted[candidate.ID]))
	}
	return s
}

// add adds an instance that takes the call now, or as a source of cached parts only.
func (s *selection) add(c instances.Candidate, takes bool) {
	if takes {
		s.candidates = append(s.candidates, c)
		return
	}
	s.sources = append(s.sources, c.Instance)
}

// onlyLimited returns the selection of the instances with a rate limit.
func (s selection) onlyLimited() selection {
	out := selection{candidates: s.limited, limited: s.limited, last: true}
	for _, c := range s.unlimited {
		out.sources = append(out.sources, c.Instance)
	}
	return out
}

// hasRoom reports whether an instance has fewer calls than it begins to answer in time.
func (b *Balancer) hasRoom(now time.Time, c instances.Candidate) bool {
	return c.Slots <= 0 || b.loads.Load(now, c.ID).Calls < b.concurrency[c.ID].Limit(c.Slots)
}
