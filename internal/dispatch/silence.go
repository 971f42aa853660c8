package dispatch

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// errGap means that a resumed stream does not go on where it ended.
var errGap = errors.New("the resumed stream leaves out events: the answer is broken off")

const (
	// firstEventPatience is how many objectives a resumable stream's first event
	// is awaited at one instance: callers leave after four.
	firstEventPatience = 2
	// gapPatience is how many of the longest allowed pauses are awaited within a
	// resumable stream.
	gapPatience = 2
	// wholePatience is how many objectives a repeatable call's answer is awaited
	// at one instance.
	wholePatience = 3
)

// silence closes the connection of an instance that sends nothing for too
// long, if the call may go to another one.
type silence struct {
	exchange *exchange
	patience time.Duration
	gap      time.Duration
	timer    *time.Timer

	mu      sync.Mutex
	stopped bool
	over    bool
}

// watchSilence starts the watch over a send; it does nothing for calls that may
// not be repeated.
func (e *exchange) watchSilence() *silence {
	s := &silence{exchange: e, patience: e.patience(), gap: gapPatience * e.run.route.GapObjective}
	if s.patience > 0 {
		s.timer = time.AfterFunc(s.patience, s.fire)
	}
	return s
}

// patience is how long the first byte is awaited, zero for as long as it takes.
func (e *exchange) patience() time.Duration {
	r := e.run
	switch {
	case !r.route.Repeatable() || r.sends+1 >= r.route.MaxAttempts:
		return 0
	case r.route.Kind == routing.Streaming:
		return firstEventPatience * r.route.Objective
	default:
		return wholePatience * r.route.Objective
	}
}

// heard starts the time of the next event.
func (s *silence) heard() {
	if s.timer != nil && s.gap > 0 {
		s.patience = s.gap
		s.timer.Reset(s.gap)
	}
}

// stop ends the watch; false when it has closed the connection.
func (s *silence) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
	return !s.over
}

func (s *silence) gaveUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}

// fire gives up on the instance if the budget of repeats allows another.
func (s *silence) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.exchange.run
	if s.stopped || time.Until(r.deadline) <= r.leastTime() || !r.prepay(s.exchange.pick) {
		return
	}
	s.over = true
	s.exchange.conn.Close()
}

// prepay counts the next repeat if there is another instance to send to.
func (r *run) prepay(p *pick) bool {
	b := r.dispatcher.options.Balancer
	if !b.hasOther(r.service, append(r.excluded[:len(r.excluded):len(r.excluded)], p.instance.ID)) {
		return false
	}
	if !b.takeRepeat(r.service, retry.HighPriority) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepaid = true
	return true
}
