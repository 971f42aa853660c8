package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// errGap means that a stream that the router resumes doesn't go on with the next event.
var errGap = errors.New("resumed stream skips events: the response is aborted")

// errUnplacedEvent means that an event of a resumed stream can't be placed among those
// that the caller has.
var errUnplacedEvent = errors.New("resumed stream has an event without an ID in the order of the others: the response is aborted")

// errNotContinued means that an instance that is to go on with a stream begins it anew: the
// rest would be that of another run.
var errNotContinued = errors.New("the stream doesn't go on after the caller's last event: the instance should go on after the ID that it is given")

// errRepeated means that the numbers of a stream's events go back.
var errRepeated = errors.New("the numbers of the stream's events go back: the instance should number them upwards")

const (
	// firstEventObjectives is the timeout for the first event of a resumable
	// stream, in latency objectives: callers give up after four.
	firstEventObjectives = 2
	// eventGapObjectives is the timeout between two events of a resumable stream,
	// in gap objectives (the longest pause that the route allows).
	eventGapObjectives = 2
	// responseObjectives is the timeout for the response to a repeatable call that
	// isn't streamed, in latency objectives.
	responseObjectives = 3
)

// attemptTimeout closes the connection of an instance that sends nothing for too
// long, if the call can be retried at another instance.
type attemptTimeout struct {
	exchange *exchange
	limit    time.Duration
	eventGap time.Duration
	timer    *time.Timer
	// begun is set once the attempt has brought an event.
	begun atomic.Bool

	mu      sync.Mutex
	stopped bool
	expired bool
}

// startTimeout starts the timeout of an attempt. It has no effect if the call may
// not be retried.
func (e *exchange) startTimeout() *attemptTimeout {
	t := &attemptTimeout{exchange: e, limit: e.firstByteTimeout(), eventGap: eventGapObjectives * e.run.route.GapObjective}
	if t.limit > 0 {
		t.timer = time.AfterFunc(t.limit, t.fire)
	}
	return t
}

// firstByteTimeout returns the timeout for the first byte, zero for none.
func (e *exchange) firstByteTimeout() time.Duration {
	r := e.run
	switch {
	case !r.route.Repeatable() || r.attempts+1 >= r.route.MaxAttempts:
		return 0
	case r.route.Kind == routing.Streaming:
		return firstEventObjectives * r.route.Objective
	default:
		return responseObjectives * r.route.Objective
	}
}

// reset starts the timeout for the next event.
func (t *attemptTimeout) reset() {
	t.begun.Store(true)
	if t.timer != nil && t.eventGap > 0 {
		t.limit = t.eventGap
		t.timer.Reset(t.eventGap)
	}
}

// stop stops the timeout. It returns false if the connection has been closed.
func (t *attemptTimeout) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return !t.expired
}

func (t *attemptTimeout) hasExpired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expired
}

// fire closes the connection if time and the retry budget allow a retry at another
// instance.
func (t *attemptTimeout) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.exchange.run
	if t.stopped || time.Until(r.deadline) <= r.minAttemptTime() || !r.reserveRetry(t.exchange.pick, t.requiredVersion()) {
		return
	}
	t.expired = true
	t.exchange.conn.Close()
}

// requiredVersion returns the only version at which another attempt could go on, empty for
// any.
func (t *attemptTimeout) requiredVersion() string {
	if t.begun.Load() || t.exchange.after != "" {
		return t.exchange.pick.instance.Version
	}
	return ""
}

// reserveRetry takes the next retry from the budget if there is a healthy
// instance for it, of one version only unless that is empty.
func (r *run) reserveRetry(p *pick, version string) bool {
	b := r.dispatcher.options.Balancer
	if !b.hasHealthyAlternative(r.service, version, append(r.excluded[:len(r.excluded):len(r.excluded)], p.instance.ID)) {
		return false
	}
	if !b.takeRetry(r.service, retry.HighPriority) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryReserved = true
	return true
}
