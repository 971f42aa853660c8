package admission

import (
	"time"
)

// running is a request in flight.
type running struct {
	workspace string
	started   time.Time
}

// Scheduler holds the requests of one engine. Every command that can free a
// place returns the effects on waiting requests.
type Scheduler struct {
	settings Settings
	bound    bound
	queue    *fairQueue
	service  serviceTime
	running  map[uint64]running
	held     map[string]holding
	foreign  int
	draining bool
}

// New returns the Scheduler of an idle engine. A capacity of zero means that
// only the mean bounds its load.
func New(s Settings, capacity int) *Scheduler {
	return &Scheduler{
		settings: s,
		bound:    bound{multiple: s.Multiple - s.Headroom, capacity: capacity},
		queue:    newFairQueue(s.AgeingStep.Std()),
		running:  make(map[uint64]running),
		held:     make(map[string]holding),
	}
}

// Offer decides about a new request. A queued request ends with an Effect of a
// later command, or with Cancel.
func (s *Scheduler) Offer(now time.Time, r Request) Decision {
	r = s.withDefaults(now, r)
	s.raiseBound(now, r)
	effects := s.dispatch(now)
	d := s.decide(now, r)
	d.Effects = append(effects, d.Effects...)
	return d
}

// raiseBound takes what a request knows about the pool's load.
func (s *Scheduler) raiseBound(now time.Time, r Request) {
	switch {
	case s.hasRoom(now):
	case r.PoolMean > 0:
		s.bound.observe(now, r.PoolMean)
	case r.PoolFull:
		s.bound.raise(now)
	}
}

func (s *Scheduler) decide(now time.Time, r Request) Decision {
	if reason := s.refusalFor(now, r); reason != ReasonNone {
		return s.refuse(now, reason)
	}
	switch {
	case !s.mayStart(now, r.Workspace, s.shares()):
	case s.placesKeptFrom(now, r):
		return s.refuse(now, ReasonAboveMean)
	default:
		s.queue.chargeDirect(r)
		s.start(now, r)
		return Decision{Verdict: Admitted}
	}
	if !r.MayWait {
		return s.refuse(now, ReasonOverBound)
	}
	return s.enqueue(now, r)
}

func (s *Scheduler) withDefaults(now time.Time, r Request) Request {
	r.Weight = max(r.Weight, 1)
	if r.Cost <= 0 {
		r.Cost = 1
	}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(s.settings.DefaultWait.Std())
	}
	return r
}

// refusalFor returns the reason why a request can't be taken in any case.
func (s *Scheduler) refusalFor(now time.Time, r Request) Reason {
	switch {
	case s.draining:
		return ReasonDraining
	case s.holds(r.ID):
		return ReasonDuplicate
	case !now.Before(r.Deadline):
		return ReasonDeadline
	default:
		return ReasonNone
	}
}

func (s *Scheduler) holds(id uint64) bool {
	if _, ok := s.running[id]; ok {
		return true
	}
	for _, f := range s.queue.flows {
		for _, w := range f.queue {
			if w.request.ID == id {
				return true
			}
		}
	}
	return false
}

// enqueue lets a request wait unless it is known to be in vain.
func (s *Scheduler) enqueue(now time.Time, r Request) Decision {
	position := s.queue.ahead(now, r) + 1
	wait := s.service.waitFor(position, s.bound.limit(now))
	if now.Add(wait).After(r.Deadline) {
		return s.refuse(now, ReasonDeadline)
	}
	var effects []Effect
	if s.queue.length >= s.settings.MaxQueue {
		evicted := s.queue.evictFor(now, r)
		if evicted == nil {
			return s.refuse(now, ReasonQueueFull)
		}
		effects = append(effects, s.refusal(now, evicted.request.ID, ReasonQueueFull))
	}
	s.queue.push(now, r)
	return Decision{Verdict: Queued, Effects: effects}
}

// Finish ends a request that ran.
func (s *Scheduler) Finish(now time.Time, id uint64) []Effect {
	if run, ok := s.running[id]; ok {
		s.service.add(now.Sub(run.started))
	}
	return s.Cancel(now, id)
}

// Cancel ends a request whose caller has gone, waiting or in flight; its run
// time doesn't count. An unknown ID is ignored.
func (s *Scheduler) Cancel(now time.Time, id uint64) []Effect {
	run, ok := s.running[id]
	if !ok {
		s.queue.remove(id)
		return nil
	}
	delete(s.running, id)
	s.release(run.workspace)
	return s.dispatch(now)
}

// Tick refuses the waiting requests whose deadline has come and starts those
// that a lapsed limit allows. Call it at NextDeadline.
func (s *Scheduler) Tick(now time.Time) []Effect { return s.dispatch(now) }

// SetMean takes the expected load of this engine: the mean load per weight of
// its pool times its own weight, in requests in flight.
func (s *Scheduler) SetMean(now time.Time, mean float64) []Effect {
	s.bound.setMean(mean)
	return s.dispatch(now)
}

// SetForeignLoad takes the number of requests that another owner has in flight
// on the engine.
func (s *Scheduler) SetForeignLoad(now time.Time, n int) []Effect {
	s.foreign = max(n, 0)
	return s.dispatch(now)
}

// SetCapacity changes the most requests in flight; zero means no limit.
func (s *Scheduler) SetCapacity(now time.Time, capacity int) []Effect {
	s.bound.capacity = capacity
	return s.dispatch(now)
}

// Drain refuses all waiting and all later requests; requests in flight go on.
func (s *Scheduler) Drain(now time.Time) []Effect {
	s.draining = true
	var effects []Effect
	for _, w := range s.queue.removeAll(func(*waiting) bool { return true }) {
		effects = append(effects, s.refusal(now, w.request.ID, ReasonDraining))
	}
	return effects
}

// Resume takes new work again after Drain.
func (s *Scheduler) Resume() { s.draining = false }

// NextDeadline returns the earliest deadline of the waiting requests; false
// when none waits.
func (s *Scheduler) NextDeadline() (time.Time, bool) { return s.queue.nextDeadline() }

// InFlight returns the number of requests that run, without foreign load.
func (s *Scheduler) InFlight() int { return len(s.running) }

// Queued returns the number of waiting requests.
func (s *Scheduler) Queued() int { return s.queue.length }

// MeanServiceTime returns how long requests run here on average; zero before the
// first has finished.
func (s *Scheduler) MeanServiceTime() time.Duration { return s.service.mean }

// Limit returns the most requests that may be in flight now.
func (s *Scheduler) Limit(now time.Time) int { return s.bound.limit(now) }

// dispatch refuses expired requests and starts waiting ones while there is
// room.
func (s *Scheduler) dispatch(now time.Time) []Effect {
	var effects []Effect
	for _, w := range s.queue.removeExpired(now) {
		effects = append(effects, s.refusal(now, w.request.ID, ReasonDeadline))
	}
	for s.queue.length > 0 && s.hasRoom(now) {
		shares := s.shares()
		next := s.queue.pop(now, func(workspace string) bool { return s.mayStart(now, workspace, shares) })
		if next == nil {
			break
		}
		s.start(now, next.request)
		effects = append(effects, Effect{Kind: Start, ID: next.request.ID})
	}
	return effects
}

// load is what counts against the limit.
func (s *Scheduler) load() int { return len(s.running) + s.foreign }

func (s *Scheduler) hasRoom(now time.Time) bool { return s.load() < s.bound.limit(now) }

// mayStart reports whether a workspace may take a place.
func (s *Scheduler) mayStart(now time.Time, workspace string, shares shares) bool {
	if !s.hasRoom(now) {
		return false
	}
	if s.bound.capacity == 0 || s.load() < s.bound.capacity-shares.reserve {
		return true
	}
	return !shares.over(s.held[workspace])
}

// placesKeptFrom reports whether a request may not take the places left, as
// they are kept for returning chats.
func (s *Scheduler) placesKeptFrom(now time.Time, r Request) bool {
	return r.Flexible && s.load() >= s.bound.flexibleLimit(now)
}

func (s *Scheduler) start(now time.Time, r Request) {
	s.running[r.ID] = running{workspace: r.Workspace, started: now}
	held := s.held[r.Workspace]
	s.held[r.Workspace] = holding{count: held.count + 1, weight: r.Weight}
}

// release gives back a place of a workspace.
func (s *Scheduler) release(workspace string) {
	held := s.held[workspace]
	held.count--
	if held.count == 0 {
		delete(s.held, workspace)
		return
	}
	s.held[workspace] = held
}

func (s *Scheduler) refuse(now time.Time, reason Reason) Decision {
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: s.retryAfter(now, reason)}
}

func (s *Scheduler) refusal(now time.Time, id uint64, reason Reason) Effect {
	return Effect{Kind: Refuse, ID: id, Reason: reason, RetryAfter: s.retryAfter(now, reason)}
}

// retryAfter is the expected time until the waiting requests have started.
func (s *Scheduler) retryAfter(now time.Time, reason Reason) time.Duration {
	if reason == ReasonDraining || reason == ReasonDuplicate {
		return 0
	}
	return clampRetryAfter(s.service.waitFor(s.queue.length+1, s.bound.limit(now)))
}
