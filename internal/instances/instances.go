// Package instances decides which instances of services may be used: from the
// platform's listing, from what is known about the listing's own outages, and
// from the results of this router's connections. It is pure: events come in
// with their time. A Registry isn't safe for concurrent use.
package instances

import (
	"slices"
	"time"
)

const (
	// returnGrace is how long an entry that was removed around an outage of the
	// listing stays in use after the listing is back: the platform restores
	// entries of live instances within about two seconds.
	returnGrace = 2200 * time.Millisecond
	// outageShadow is how long after the listing's return a removal may still
	// stem from the outage.
	outageShadow = 2500 * time.Millisecond
	// leastOutage is the shortest outage in which entries lapse: the platform
	// removes them after three missed heartbeats.
	leastOutage = 1500 * time.Millisecond
)

// entry is what is known about one instance.
type entry struct {
	instance Instance
	// lapsed is set while the entry is missing from the listing but may return.
	lapsed  bool
	until   time.Time
	health  health
	told    State
	removed bool
	// faults is the decayed number of faults that all routers have seen; outlier
	// is set while it is far above those of the others of the service.
	faults  float64
	outlier bool
}

// Registry holds the instances that one router knows.
type Registry struct {
	entries map[string]*entry
	// listingLost is set while the listing can't be read.
	listingLost bool
	lostAt      time.Time
	// returned is the end of the last outage in which entries may have lapsed.
	returned time.Time
	services map[string][]*entry
	// told is what other routers have seen fail.
	told map[string]toldFaults
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{entries: make(map[string]*entry), services: make(map[string][]*entry), told: make(map[string]toldFaults)}
}

// ListingUnavailable tells that the listing was not confirmed since a moment.
func (r *Registry) ListingUnavailable(since time.Time) {
	if !r.listingLost {
		r.listingLost, r.lostAt = true, since
	}
}

// ListingRestored tells that the listing can be read again.
func (r *Registry) ListingRestored(now time.Time) {
	if r.listingLost && now.Sub(r.lostAt) >= leastOutage {
		r.returned = now
	}
	r.listingLost = false
}

// Replace takes the whole listing and returns what changed.
func (r *Registry) Replace(now time.Time, listed []Instance) []Change {
	var changes []Change
	seen := make(map[string]bool, len(listed))
	for _, i := range listed {
		seen[i.ID] = true
		changes = append(changes, r.upsert(now, i)...)
	}
	for _, id := range r.ids() {
		if !seen[id] {
			changes = append(changes, r.remove(now, r.entries[id])...)
		}
	}
	r.index()
	return changes
}

func (r *Registry) ids() []string {
	ids := make([]string, 0, len(r.entries))
	for id := range r.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *Registry) upsert(now time.Time, i Instance) []Change {
	e, ok := r.entries[i.ID]
	reason := "listing"
	if !ok || !e.instance.StartedAt.Equal(i.StartedAt) || e.instance.Address != i.Address {
		e = &entry{told: Gone}
		r.entries[i.ID] = e
		reason = ReasonStarted
	}
	e.instance, e.lapsed, e.removed = i, false, false
	return e.report(now, reason)
}

// remove takes an entry out of use. One that was removed around an outage of
// the listing stays in use until its grace ends.
func (r *Registry) remove(now time.Time, e *entry) []Change {
	if e.lapsed || e.removed {
		return r.expire(now, e)
	}
	duringOutage := r.listingLost || now.Sub(r.returned) < outageShadow && !r.returned.IsZero()
	if duringOutage && !e.instance.Draining {
		e.lapsed = true
		e.until = r.graceEnd(now)
		return nil
	}
	e.removed = true
	return r.drop(now, e, "left the listing")
}

func (r *Registry) graceEnd(now time.Time) time.Time {
	if r.listingLost {
		return now.Add(returnGrace)
	}
	return r.returned.Add(returnGrace)
}

// Tick ends the grace of lapsed entries, and finds instances that fail more than
// others.
func (r *Registry) Tick(now time.Time) []Change {
	var changes []Change
	r.findOutliers(now)
	for _, id := range r.ids() {
		e := r.entries[id]
		if e.lapsed {
			changes = append(changes, r.expire(now, e)...)
			continue
		}
		reason := "health"
		if e.outlier {
			reason = "fails more than others of its service"
		}
		changes = append(changes, e.report(now, reason)...)
	}
	if len(changes) > 0 {
		r.index()
	}
	return changes
}

func (r *Registry) expire(now time.Time, e *entry) []Change {
	if now.Before(e.until) {
		return nil
	}
	return r.drop(now, e, "missing after an outage of the listing")
}

func (r *Registry) drop(now time.Time, e *entry, reason string) []Change {
	delete(r.entries, e.instance.ID)
	e.removed = true
	return e.report(now, reason)
}

// index groups the entries by service, in ID order.
func (r *Registry) index() {
	clear(r.services)
	for _, id := range r.ids() {
		e := r.entries[id]
		r.services[e.instance.Service] = append(r.services[e.instance.Service], e)
	}
}

// Report takes the result of using an instance. Took is the time to the first
// byte of an answer, relative to what was expected of it; zero when unknown.
func (r *Registry) Report(now time.Time, id string, result Result, slowness float64) []Change {
	e, ok := r.entries[id]
	if !ok {
		return nil
	}
	e.health.observe(now, result, slowness)
	return e.report(now, result.String())
}

// Candidates returns the instances of a service that may take work, those in
// the best state only, in ID order. Excluded ones are left out.
func (r *Registry) Candidates(now time.Time, service string, excluded []string) []Candidate {
	var all []Candidate
	best := Gone
	for _, e := range r.services[service] {
		state := e.state(now)
		if state >= Draining || slices.Contains(excluded, e.instance.ID) {
			continue
		}
		best = min(best, state)
		all = append(all, Candidate{Instance: e.instance, State: state})
	}
	if best >= Suspect {
		return all
	}
	return slices.DeleteFunc(all, func(c Candidate) bool { return c.State >= Suspect })
}

// Draining returns the instances of a service that finish their work, in ID
// order.
func (r *Registry) Draining(now time.Time, service string) []Instance {
	var out []Instance
	for _, e := range r.services[service] {
		if e.state(now) == Draining {
			out = append(out, e.instance)
		}
	}
	return out
}

// AnyUsable reports whether any instance may take work.
func (r *Registry) AnyUsable(now time.Time) bool {
	for _, e := range r.entries {
		if e.state(now) < Draining {
			return true
		}
	}
	return false
}

func (e *entry) state(now time.Time) State {
	switch {
	case e.removed || e.health.replaced:
		return Gone
	case e.instance.Draining:
		return Draining
	case e.outlier:
		return max(e.health.state(now), Degraded)
	default:
		return e.health.state(now)
	}
}

// report returns the change that wasn't told yet.
func (e *entry) report(now time.Time, reason string) []Change {
	state := e.state(now)
	if state == e.told {
		return nil
	}
	e.told = state
	return []Change{{Instance: e.instance, State: state, Reason: reason, Faults: e.faults}}
}
