package standin

import (
	"sort"
	"sync"
	"time"
)

// ManualClock is a Clock whose time changes only through Advance.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*manualTimer]struct{}
}

// NewManualClock returns a clock that is set to start.
func NewManualClock(start time.Time) *ManualClock {
	return &ManualClock{now: start, timers: make(map[*manualTimer]struct{})}
}

// Now returns the clock's time.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc schedules f to be called by the Advance that moves the clock by d
// or more from now.
func (c *ManualClock) AfterFunc(d time.Duration, f func()) Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{clock: c, due: c.now.Add(d), f: f}
	c.timers[t] = struct{}{}
	return t
}

// Advance moves the clock forward by d and runs the timers that become due, in
// the order of their times.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	end := c.now.Add(d)
	c.mu.Unlock()
	for {
		t := c.nextDue(end)
		if t == nil {
			break
		}
		t.f()
	}
	c.mu.Lock()
	c.now = end
	c.mu.Unlock()
}

// Pending returns the number of timers that have not run.
func (c *ManualClock) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

// nextDue removes and returns the earliest timer that is due by end, and moves
// the clock to its time. It returns nil when there is none.
func (c *ManualClock) nextDue(end time.Time) *manualTimer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*manualTimer
	for t := range c.timers {
		if !t.due.After(end) {
			due = append(due, t)
		}
	}
	if len(due) == 0 {
		return nil
	}
	sort.Slice(due, func(i, j int) bool { return due[i].due.Before(due[j].due) })
	first := due[0]
	delete(c.timers, first)
	if first.due.After(c.now) {
		c.now = first.due
	}
	return first
}

type manualTimer struct {
	clock *ManualClock
	due   time.Time
	f     func()
}

// Stop cancels the call and reports whether it was still pending.
func (t *manualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	return pending
}
