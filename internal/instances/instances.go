// Package instances decides which instances of services may be used. It combines
// the platform's listing, the outages of that listing, and the results of this
// router's calls with the faults that other routers report. It does no I/O and
// reads no clock: callers pass the time with each event.
package instances

import (
	"slices"
	"time"
)

const (
	// missingGrace is how long an entry that was removed during or shortly after an
	// outage of the listing stays in use once the listing is available again: the
	// platform restores entries of live instances within about two seconds.
	missingGrace = 2200 * time.Millisecond
	// postOutageWindow is how long after the end of an outage a removal may still be
	// caused by it.
	postOutageWindow = 2500 * time.Millisecond
	// minOutage is the shortest outage that can remove entries of live instances:
	// the platform removes an entry after three missed heartbeats.
	minOutage = 1500 * time.Millisecond
)

// entry is the state of one instance.
type entry struct {
	instance Instance
	// missing is set while the entry is absent from the listing after an outage and
	// may return; it is dropped at removeAt.
	missing  bool
	removeAt time.Time
	health   health
	reported State
	removed  bool
	// drainingSince is when the instance was first listed as draining, zero if it isn't.
	drainingSince time.Time
	// faults is the decayed number of faults over all routers; outlier is set while
	// it is far above that of the other instances of the service.
	faults  float64
	outlier bool
	// avoidUntil is the end of the pause that the instance has asked other routers for.
	avoidUntil time.Time
}

// Registry holds the instances that one router knows. It isn't safe for
// concurrent use.
type Registry struct {
	entries            map[string]*entry
	listingUnavailable bool
	unavailableSince   time.Time
	// outageEnd is the end of the last outage that lasted at least minOutage.
	outageEnd time.Time
	// restartedAt is when the listing last returned from an older copy.
	restartedAt time.Time
	services    map[string][]*entry
	// departures are the instances that have said that they leave, by ID, pauses those
	// that have asked this router for a pause. They outlast the entries, which may be
	// missing for a while.
	departures map[string]departure
	pauses     map[string]pause
	// rateLimits are the latest statements of instances on how many calls they take, by
	// ID.
	rateLimits map[string]rateLimit
	// lastResortPeriod is how long an instance that leaves may take work that no
	// other one can take.
	lastResortPeriod time.Duration
	// peerFaults holds the last report of each other router.
	peerFaults map[string]peerReport
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{
		entries: make(map[string]*entry), services: make(map[string][]*entry), departures: make(map[string]departure),
		pauses: make(map[string]pause), rateLimits: make(map[string]rateLimit), peerFaults: make(map[string]peerReport),
	}
}

// ListingUnavailable records that the listing has not been confirmed since the
// given time.
func (r *Registry) ListingUnavailable(since time.Time) {
	if !r.listingUnavailable {
		r.listingUnavailable, r.unavailableSince = true, since
	}
}

// ListingRestored records that the listing can be read again.
func (r *Registry) ListingRestored(now time.Time) {
	if r.listingUnavailable && now.Sub(r.unavailableSince) >= minOutage {
		r.outageEnd = now
	}
	r.listingUnavailable = false
}

// ListingRestarted records that the listing has returned from an older copy, which
// lacks what instances have written since. Entries that are missing stay in use for
// the grace period, in which the instances write them again.
func (r *Registry) ListingRestarted(now time.Time) {
	r.restartedAt, r.outageEnd = now, now
	for _, e := range r.entries {
		if e.missing {
			e.removeAt = now.Add(missingGrace)
		}
	}
}

// takesBack reports whether a listed entry is older than the known one: the listing
// has returned from an older copy, and the instance has not written it again.
func (r *Registry) takesBack(now time.Time, known, i Instance) bool {
	if r.restartedAt.IsZero() || now.Sub(r.restartedAt) >= postOutageWindow {
		return false
	}
	return i.StartedAt.Before(known.StartedAt) || i.StartedAt.Equal(known.StartedAt) && known.Draining && !i.Draining
}

// Replace sets the complete listing and returns the state changes.
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
	if ok && r.takesBack(now, e.instance, i) {
		return nil
	}
	reason := "listing"
	if !ok || !e.instance.StartedAt.Equal(i.StartedAt) || e.instance.Address != i.Address || e.instance.Version != i.Version {
		e = &entry{reported: Gone}
		r.entries[i.ID] = e
		reason = ReasonStarted
	}
	wasMissing := e.missing
	e.instance, e.missing, e.removed = i, false, false
	switch {
	case !i.Draining:
		e.drainingSince = time.Time{}
	case e.drainingSince.IsZero():
		e.drainingSince = now
	}
	if changes := r.report(now, e, reason); len(changes) > 0 || !wasMissing {
		return changes
	}
	return []Change{r.change(now, e, "listed again")}
}

// remove takes an entry that is no longer listed out of use. During an outage of
// the listing and shortly after it, the entry stays in use for the grace period.
func (r *Registry) remove(now time.Time, e *entry) []Change {
	if e.missing || e.removed {
		return r.expire(now, e)
	}
	duringOutage := r.listingUnavailable || now.Sub(r.outageEnd) < postOutageWindow && !r.outageEnd.IsZero()
	if duringOutage && !e.instance.Draining {
		e.missing = true
		e.removeAt = r.graceEnd(now)
		return []Change{r.change(now, e, "missing from the listing, stays in use for "+e.removeAt.Sub(now).String())}
	}
	e.removed = true
	return r.drop(now, e, "left the listing")
}

func (r *Registry) graceEnd(now time.Time) time.Time {
	if r.listingUnavailable {
		return now.Add(missingGrace)
	}
	return r.outageEnd.Add(missingGrace)
}

// Tick drops missing entries whose grace period is over, detects outliers, and
// returns the state changes.
func (r *Registry) Tick(now time.Time) []Change {
	var changes []Change
	r.findOutliers(now)
	r.forgetStatements(now)
	r.forgetRateLimits(now)
	for _, id := range r.ids() {
		e := r.entries[id]
		if e.missing {
			changes = append(changes, r.expire(now, e)...)
			continue
		}
		reason := "health"
		switch {
		case e.reported == Paused:
			reason = "the pause that it asked for is over"
		case e.outlier:
			reason = "fails more than others of its service"
		}
		changes = append(changes, r.report(now, e, reason)...)
	}
	if len(changes) > 0 {
		r.index()
	}
	return changes
}

func (r *Registry) expire(now time.Time, e *entry) []Change {
	if now.Before(e.removeAt) {
		return nil
	}
	return r.drop(now, e, "missing after an outage of the listing")
}

func (r *Registry) drop(now time.Time, e *entry, reason string) []Change {
	delete(r.entries, e.instance.ID)
	e.removed = true
	return r.report(now, e, reason)
}

// index groups the entries by service, in ID order.
func (r *Registry) index() {
	clear(r.services)
	for _, id := range r.ids() {
		e := r.entries[id]
		r.services[e.instance.Service] = append(r.services[e.instance.Service], e)
	}
}

// Report records the result of a use of an instance. slowness is the time to the
// first byte of the response relative to the expected one, or zero if unknown.
func (r *Registry) Report(now time.Time, id string, result Result, slowness float64) []Change {
	e, ok := r.entries[id]
	if !ok {
		return nil
	}
	e.health.observe(now, result, slowness)
	return r.report(now, e, result.String())
}

// Candidates returns the instances of a service that may take work, in ID order
// and without the excluded ones. Suspect instances are returned only if there is
// no better one, and those that have just said that they leave only if there is no
// other at all.
func (r *Registry) Candidates(now time.Time, service string, excluded []string) []Candidate {
	return r.CandidatesAt(now, service, "", excluded)
}

// CandidatesAt is Candidates for the instances of one version only, unless it is empty. The
// last ones of a version may also be listed as draining: what they have begun can go on
// nowhere else.
func (r *Registry) CandidatesAt(now time.Time, service, version string, excluded []string) []Candidate {
	var all, departing []Candidate
	best := Gone
	for _, e := range r.services[service] {
		state := r.state(now, e)
		if slices.Contains(excluded, e.instance.ID) || version != "" && e.instance.Version != version {
			continue
		}
		if state >= Paused {
			if r.lastResort(now, e) || version != "" && r.lastOfVersion(now, e) {
				departing = append(departing, Candidate{Instance: e.instance, State: state})
			}
			continue
		}
		best = min(best, state)
		all = append(all, Candidate{Instance: e.instance, State: state})
	}
	switch {
	case len(all) == 0:
		return departing
	case best >= Suspect:
		return all
	default:
		return slices.DeleteFunc(all, func(c Candidate) bool { return c.State >= Suspect })
	}
}

// Draining returns the draining instances of a service in ID order.
func (r *Registry) Draining(now time.Time, service string) []Instance {
	var out []Instance
	for _, e := range r.services[service] {
		if r.state(now, e) == Draining {
			out = append(out, e.instance)
		}
	}
	return out
}

// Departs reports whether an instance is no longer listed, is draining or has said that
// it leaves.
func (r *Registry) Departs(i Instance) bool {
	e, ok := r.entries[i.ID]
	return !ok || e.removed || e.instance.Draining || r.departing(e.instance)
}

// Instance returns the instance with an ID; false if it isn't known.
func (r *Registry) Instance(id string) (Instance, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Instance{}, false
	}
	return e.instance, true
}

// HasSuccessor reports whether an instance has been started at the same address since:
// the same one again, or another.
func (r *Registry) HasSuccessor(i Instance) bool {
	if i.StartedAt.IsZero() {
		return false
	}
	for _, e := range r.entries {
		if e.instance.Address == i.Address && e.instance.StartedAt.After(i.StartedAt) {
			return true
		}
	}
	return false
}

// AnyUsable reports whether any instance of any service may take work.
func (r *Registry) AnyUsable(now time.Time) bool {
	for _, e := range r.entries {
		if r.state(now, e) < Draining {
			return true
		}
	}
	return false
}

func (r *Registry) state(now time.Time, e *entry) State {
	switch {
	case e.removed || e.health.replaced:
		return Gone
	case e.instance.Draining || r.departing(e.instance):
		return Draining
	case now.Before(r.pausedUntil(e.instance)):
		return Paused
	case now.Before(e.avoidUntil):
		return max(e.health.state(now), Suspect)
	case e.outlier:
		return max(e.health.state(now), Degraded)
	default:
		return e.health.state(now)
	}
}

// report returns the state change since the last report, if there is one.
func (r *Registry) report(now time.Time, e *entry, reason string) []Change {
	state := r.state(now, e)
	if state == e.reported {
		return nil
	}
	e.reported = state
	return []Change{r.change(now, e, reason)}
}

func (r *Registry) change(now time.Time, e *entry, reason string) Change {
	return Change{Instance: e.instance, State: r.state(now, e), Reason: reason, Faults: e.faults}
}
