package retry

import "time"

// WindowSettings limit the retries that all daemons together may send to one
// service.
type WindowSettings struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed in each window in addition.
	Extra float64
	// Length is the length of the sliding window.
	Length time.Duration
}

// windowReserve is the fraction of its share that a daemon leaves unused, because a
// restarted daemon has lost its count of the retries sent in the window.
const windowReserve = 0.35

// Window is one daemon's share of the fleet's retry budget for one service. Daemons
// enforce their shares without coordination: Ratio applies to a daemon's own
// requests, and Extra is divided by the number of daemons. A Window isn't safe for
// concurrent use.
type Window struct {
	settings WindowSettings
	requests []time.Time
	retries  []time.Time
}

// NewWindow returns an empty Window.
func NewWindow(s WindowSettings) *Window { return &Window{settings: s} }

// AddRequest counts a request of a caller.
func (w *Window) AddRequest(now time.Time) {
	w.expire(now)
	w.requests = append(w.requests, now)
}

// Priority is the priority of a retry.
type Priority int

// Priorities of a retry.
const (
	// HighPriority retries may use the whole share.
	HighPriority Priority = iota
	// LowPriority retries may use half of the share. They are for calls that an
	// instance has answered with an error of its own, which usually occurs again.
	LowPriority
)

// Take counts a retry and returns true if the share allows it. daemons is the
// number of daemons that share the budget.
func (w *Window) Take(now time.Time, daemons int, priority Priority) bool {
	w.expire(now)
	allowed := w.settings.Ratio*float64(len(w.requests)) + w.settings.Extra/float64(max(daemons, 1))
	allowed *= 1 - windowReserve
	if priority == LowPriority {
		allowed /= 2
	}
	if float64(len(w.retries)+1) > allowed {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

func (w *Window) expire(now time.Time) {
	w.requests = after(w.requests, now.Add(-w.settings.Length))
	w.retries = after(w.retries, now.Add(-w.settings.Length))
}

// after returns the times after a moment; times must be sorted.
func after(times []time.Time, moment time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(moment) {
		i++
	}
	return times[i:]
}
