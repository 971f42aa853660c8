package admission

import (
	"time"
)

// runningRequest is a request in flight.
type runningRequest struct {
	workspace string
	started   time.Time
}

// Scheduler tracks the running and queued requests of one engine. Every method
// that can free a slot returns the effects on queued requests.
type Scheduler struct {
	settings Settings
	limit    concurrencyLimit
	queue    *fairQueue
	service  serviceTime
	running  map[uint64]runningRequest
	usage    map[string]workspaceUsage // by workspace
	foreign  int                       // see SetForeignLoad
	draining bool
}

// New returns the Scheduler of an idle engine. With a capacity of zero, only
// the mean load of the pool limits the requests in flight.
func New(s Settings, capacity int) *Scheduler {
	return &Scheduler{
		settings: s,
		limit:    concurrencyLimit{multiple: s.Multiple - s.Headroom, capacity: capacity},
		queue:    newFairQueue(s.AgeingStep.Std()),
		running:  make(map[uint64]runningRequest),
		usage:    make(map[string]workspaceUsage),
	}
}

// Offer admits, queues or refuses a new request. A queued request is started or
// refused by an Effect of a later call, or removed by Cancel.
func (s *Scheduler) Offer(now time.Time, r Request) Decision {
	r = s.withDefaults(now, r)
	s.raiseLimit(now, r)
	effects := s.dispatch(now)
	d := s.decide(now, r)
	d.Effects = append(effects, d.Effects...)
	return d
}

// raiseLimit raises the limit of a full engine if the request carries evidence
// of a higher mean load in the pool.
func (s *Scheduler) raiseLimit(now time.Time, r Request) {
	switch {
	case s.hasRoom(now):
	case r.PoolMean > 0:
		s.limit.observe(now, r.PoolMean)
	case r.PoolFull:
		s.limit.raise(now)
	}
}

func (s *Scheduler) decide(now time.Time, r Request) Decision {
	if reason := s.refusalFor(now, r); reason != ReasonNone {
		return s.refuse(now, reason)
	}
	switch {
	case !s.mayStart(now, r.Workspace, s.fairShare()):
	case s.reservedForAffinity(now, r):
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

// refusalFor returns the reason to refuse a request regardless of load, or
// ReasonNone.
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

// enqueue queues a request unless its expected start is after its deadline.
func (s *Scheduler) enqueue(now time.Time, r Request) Decision {
	position := s.queue.ahead(now, r) + 1
	wait := s.service.waitFor(position, s.limit.current(now))
	if now.Add(wait).After(r.Deadline) {
		return s.refuse(now, ReasonDeadline)
	}
	var effects []Effect
	if s.queue.length >= s.settings.MaxQueue {
		evicted := s.queue.evictFor(now, r)
		if evicted == nil {
			return s.refuse(now, ReasonQueueFull)
		}
		effects = append(effects, s.refuseEffect(now, evicted.request.ID, ReasonQueueFull))
	}
	s.queue.push(now, r)
	return Decision{Verdict: Queued, Effects: effects}
}

// Finish records that a request has completed, and its run time.
func (s *Scheduler) Finish(now time.Time, id uint64) []Effect {
	if run, ok := s.running[id]; ok {
		s.service.add(now.Sub(run.started))
	}
	return s.Cancel(now, id)
}

// Cancel removes a queued or running request whose caller has disconnected. Its
// run time is not recorded. An unknown ID is ignored.
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

// Tick refuses the queued requests whose deadline has passed and starts those
// that the current limit allows. Call it at NextDeadline.
func (s *Scheduler) Tick(now time.Time) []Effect { return s.dispatch(now) }

// SetMean sets the expected load of this engine in requests in flight: the mean
// load per weight of its pool times its own weight.
func (s *Scheduler) SetMean(now time.Time, mean float64) []Effect {
	s.limit.setMean(mean)
	return s.dispatch(now)
}

// SetForeignLoad sets the number of requests in flight on the engine that were
// not admitted by this Scheduler, such as those of a previous owner.
func (s *Scheduler) SetForeignLoad(now time.Time, n int) []Effect {
	s.foreign = max(n, 0)
	return s.dispatch(now)
}

// SetCapacity sets the engine's maximum number of requests in flight; zero means
// no limit.
func (s *Scheduler) SetCapacity(now time.Time, capacity int) []Effect {
	s.limit.capacity = capacity
	return s.dispatch(now)
}

// Drain refuses all queued and all later requests; requests in flight continue.
func (s *Scheduler) Drain(now time.Time) []Effect {
	s.draining = true
	var effects []Effect
	for _, w := range s.queue.removeAll(func(*queuedRequest) bool { return true }) {
		effects = append(effects, s.refuseEffect(now, w.request.ID, ReasonDraining))
	}
	return effects
}

// Resume accepts new requests again after Drain.
func (s *Scheduler) Resume() { s.draining = false }

// NextDeadline returns the earliest deadline of the queued requests; false if
// the queue is empty.
func (s *Scheduler) NextDeadline() (time.Time, bool) { return s.queue.nextDeadline() }

// InFlight returns the number of running requests, excluding foreign load.
func (s *Scheduler) InFlight() int { return len(s.running) }

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return s.queue.length }

// MeanServiceTime returns the moving average of request run times; zero before
// the first request has finished.
func (s *Scheduler) MeanServiceTime() time.Duration { return s.service.mean }

// Limit returns the current maximum number of requests in flight.
func (s *Scheduler) Limit(now time.Time) int { return s.limit.current(now) }

// dispatch refuses expired requests and starts queued ones while the load is
// below the limit.
func (s *Scheduler) dispatch(now time.Time) []Effect {
	var effects []Effect
	for _, w := range s.queue.removeExpired(now) {
		effects = append(effects, s.refuseEffect(now, w.request.ID, ReasonDeadline))
	}
	for s.queue.length > 0 && s.hasRoom(now) {
		share := s.fairShare()
		next := s.queue.pop(now, func(workspace string) bool { return s.mayStart(now, workspace, share) })
		if next == nil {
			break
		}
		s.start(now, next.request)
		effects = append(effects, Effect{Kind: Start, ID: next.request.ID})
	}
	return effects
}

// load returns the requests in flight that count against the limit.
func (s *Scheduler) load() int { return len(s.running) + s.foreign }

func (s *Scheduler) hasRoom(now time.Time) bool { return s.load() < s.limit.current(now) }

// mayStart reports whether a workspace may take a slot.
func (s *Scheduler) mayStart(now time.Time, workspace string, share fairShare) bool {
	if !s.hasRoom(now) {
		return false
	}
	if s.limit.capacity == 0 || s.load() < s.limit.capacity-share.reserve {
		return true
	}
	return !share.reachedBy(s.usage[workspace])
}

// reservedForAffinity reports whether the request is flexible and the remaining
// slots are reserved for chats with a prefix cached here.
func (s *Scheduler) reservedForAffinity(now time.Time, r Request) bool {
	return r.Flexible && s.load() >= s.limit.flexibleLimit(now)
}

func (s *Scheduler) start(now time.Time, r Request) {
	s.running[r.ID] = runningRequest{workspace: r.Workspace, started: now}
	usage := s.usage[r.Workspace]
	s.usage[r.Workspace] = workspaceUsage{count: usage.count + 1, weight: r.Weight}
}

// release frees a slot of a workspace.
func (s *Scheduler) release(workspace string) {
	usage := s.usage[workspace]
	usage.count--
	if usage.count == 0 {
		delete(s.usage, workspace)
		return
	}
	s.usage[workspace] = usage
}

func (s *Scheduler) refuse(now time.Time, reason Reason) Decision {
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: s.retryAfter(now, reason)}
}

func (s *Scheduler) refuseEffect(now time.Time, id uint64, reason Reason) Effect {
	return Effect{Kind: Refuse, ID: id, Reason: reason, RetryAfter: s.retryAfter(now, reason)}
}

// retryAfter returns the expected time until all queued requests have started.
func (s *Scheduler) retryAfter(now time.Time, reason Reason) time.Duration {
	if reason == ReasonDraining || reason == ReasonDuplicate {
		return 0
	}
	return clampRetryAfter(s.service.waitFor(s.queue.length+1, s.limit.current(now)))
}
