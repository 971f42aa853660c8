package instances

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// departureLifetime is how long it is remembered that an instance said that it
	// leaves. Instances that drain exit within seconds, at times within tens of
	// seconds.
	departureLifetime = 2 * time.Minute
	// noticeLifetime is how long a notice is sent to other routers: a few rounds,
	// since datagrams may be lost.
	noticeLifetime = 2 * time.Second
)

// departure is the statement of an instance that it leaves.
type departure struct {
	// startedAt is the start of the instance that made the statement.
	startedAt time.Time
	at        time.Time
}

// pause is the request of an instance to be sent nothing.
type pause struct {
	// startedAt is the start of the instance that made the request.
	startedAt time.Time
	until     time.Time
}

// Notice is a statement of an instance about itself, as routers pass it on.
type Notice struct {
	ID string
	// StartedAt is the start of the instance that made the statement.
	StartedAt time.Time
	// Leaving is set if the instance leaves.
	Leaving bool
	// Pause is for how long the instance wants nothing from the router that sends
	// the notice, zero if it asked for none.
	Pause time.Duration
}

// SetLastResortPeriod sets for how long after its first statement an instance that
// leaves may still take work that no other instance can take. Zero means never.
func (r *Registry) SetLastResortPeriod(d time.Duration) { r.lastResortPeriod = d }

// Leaving records that an instance said in a response that it leaves. It takes no
// more work, except as a last resort.
func (r *Registry) Leaving(now time.Time, id string) []Change {
	e, ok := r.entries[id]
	if !ok || r.departing(e.instance) {
		return nil
	}
	r.departures[id] = departure{startedAt: e.instance.StartedAt, at: now}
	return r.report(now, e, "says that it leaves")
}

// Pause records that an instance asked this router to send nothing until a point in
// time. A shorter pause than the current one has no effect.
func (r *Registry) Pause(now time.Time, id string, until time.Time) []Change {
	e, ok := r.entries[id]
	if !ok || !until.After(r.pausedUntil(e.instance)) {
		return nil
	}
	r.pauses[id] = pause{startedAt: e.instance.StartedAt, until: until}
	return r.report(now, e, "asks for a pause")
}

// PauseLeft returns the time until the first paused instance of a service may be
// used again. It returns false if none is paused, or another instance takes work.
func (r *Registry) PauseLeft(now time.Time, service string) (time.Duration, bool) {
	if len(r.Candidates(now, service, nil)) > 0 {
		return 0, false
	}
	left, found := time.Duration(0), false
	for _, e := range r.services[service] {
		if r.state(now, e) != Paused {
			continue
		}
		if until := r.pausedUntil(e.instance).Sub(now); !found || until < left {
			left, found = until, true
		}
	}
	return left, found
}

// Notices returns the recent statements of instances to pass on: all departures, so
// that they reach a large fleet, and the pauses that this router was asked for.
func (r *Registry) Notices(now time.Time) []Notice {
	var out []Notice
	for id, d := range r.departures {
		if now.Sub(d.at) < noticeLifetime {
			out = append(out, Notice{ID: id, StartedAt: d.startedAt, Leaving: true})
		}
	}
	for id, p := range r.pauses {
		if left := p.until.Sub(now); left > 0 {
			out = append(out, Notice{ID: id, StartedAt: p.startedAt, Pause: left})
		}
	}
	slices.SortFunc(out, compareNotices)
	return out
}

// compareNotices orders departures first, then the longest pauses.
func compareNotices(a, b Notice) int {
	switch {
	case a.Leaving != b.Leaving && a.Leaving:
		return -1
	case a.Leaving != b.Leaving:
		return 1
	default:
		return cmp.Compare(b.Pause, a.Pause)
	}
}

// ApplyNotice records a statement that another router passes on. An instance that
// leaves takes no more work. A pause was asked of the other router only, so the
// instance is merely avoided while there is a better one. Statements of another run
// of the instance are ignored.
func (r *Registry) ApplyNotice(now time.Time, n Notice) []Change {
	e, ok := r.entries[n.ID]
	if !ok || !e.instance.StartedAt.Equal(n.StartedAt) {
		return nil
	}
	if n.Leaving && !r.departing(e.instance) {
		r.departures[n.ID] = departure{startedAt: n.StartedAt, at: now}
		return r.report(now, e, "says that it leaves, to another router")
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(e.avoidUntil) {
		e.avoidUntil = until
		return r.report(now, e, "asks another router for a pause")
	}
	return nil
}

// departing reports whether this run of an instance has said that it leaves.
func (r *Registry) departing(i Instance) bool {
	d, ok := r.departures[i.ID]
	return ok && d.startedAt.Equal(i.StartedAt)
}

// lastResort reports whether an instance that leaves may still take work that no
// other instance can take.
func (r *Registry) lastResort(now time.Time, e *entry) bool {
	if e.removed || e.health.replaced || e.instance.Draining || now.Before(r.pausedUntil(e.instance)) || !r.departing(e.instance) {
		return false
	}
	return now.Sub(r.departures[e.instance.ID].at) < r.lastResortPeriod
}

// lastOfVersion reports whether an instance that is listed as draining may still go on with
// streams of its version.
func (r *Registry) lastOfVersion(now time.Time, e *entry) bool {
	if e.removed || e.health.replaced || e.missing || e.drainingSince.IsZero() || now.Before(r.pausedUntil(e.instance)) {
		return false
	}
	if r.departing(e.instance) && now.Sub(r.departures[e.instance.ID].at) >= r.lastResortPeriod {
		return false
	}
	return now.Sub(e.drainingSince) < r.lastResortPeriod
}

// pausedUntil returns the end of the pause that this run of an instance has asked this
// router for, the zero time if it asked for none.
func (r *Registry) pausedUntil(i Instance) time.Time {
	p, ok := r.pauses[i.ID]
	if !ok || !p.startedAt.Equal(i.StartedAt) {
		return time.Time{}
	}
	return p.until
}

// forgetStatements drops pauses that are over, and departures after departureLifetime.
func (r *Registry) forgetStatements(now time.Time) {
	maps.DeleteFunc(r.departures, func(_ string, d departure) bool { return now.Sub(d.at) >= departureLifetime })
	maps.DeleteFunc(r.pauses, func(_ string, p pause) bool { return !now.Before(p.until) })
}
