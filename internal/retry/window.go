package retry

import "time"

// WindowSettings bound the repeats that a whole fleet may send to one service.
type WindowSettings struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Extra is the repeats allowed in each window besides.
	Extra float64
	// Length is the span of the sliding window.
	Length time.Duration
}

// windowReserve is the part of the allowance that a daemon leaves unused: a
// restarted daemon forgets what it has sent in the window.
const windowReserve = 0.35

// Window is one daemon's share of a fleet's budget of repeats for one service.
// Every daemon keeps to its share by itself: the ratio counts its own requests,
// and the extra is divided by the daemons. It isn't safe for concurrent use.
type Window struct {
	settings WindowSettings
	requests []time.Time
	repeats  []time.Time
}

// NewWindow returns a Window without history.
func NewWindow(s WindowSettings) *Window { return &Window{settings: s} }

// AddRequest counts a caller's request.
func (w *Window) AddRequest(now time.Time) {
	w.forget(now)
	w.requests = append(w.requests, now)
}

// Priority tells how much a repeat matters.
type Priority int

// Needs of a repeat.
const (
	// HighPriority repeats may use the whole share.
	HighPriority Priority = iota
	// LowPriority repeats use half of the share: those of calls that an instance has
	// answered with its own failure, which mostly repeats itself.
	LowPriority
)

// Take counts a repeat if the share allows it. Daemons is the number of daemons
// that share the budget.
func (w *Window) Take(now time.Time, daemons int, need Priority) bool {
	w.forget(now)
	allowed := w.settings.Ratio*float64(len(w.requests)) + w.settings.Extra/float64(max(daemons, 1))
	allowed *= 1 - windowReserve
	if need == LowPriority {
		allowed /= 2
	}
	if float64(len(w.repeats)+1) > allowed {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

func (w *Window) forget(now time.Time) {
	w.requests = after(w.requests, now.Add(-w.settings.Length))
	w.repeats = after(w.repeats, now.Add(-w.settings.Length))
}

// after drops the leading times up to a moment.
func after(times []time.Time, moment time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(moment) {
		i++
	}
	return times[i:]
}
