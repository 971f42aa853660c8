package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// maxStepLag is how many steps the batch may fall behind schedule before it
// skips the missed steps instead of catching up.
const maxStepLag = 10

// batch is the state of continuous batching: waiting streams by priority, and
// running streams. Guarded by Server.mu.
type batch struct {
	waiting [fleet.PriorityCount][]*stream
	running []*stream
	// prefillBusyUntil is when the prefills of all started streams are done.
	prefillBusyUntil time.Time
	// nextStep is when the next step is due; zero while the batch is idle.
	nextStep time.Time
}

// waitingCount returns the number of streams that wait for a slot.
func (b *batch) waitingCount() int {
	count := 0
	for _, queue := range b.waiting {
		count += len(queue)
	}
	return count
}

// popWaiting removes and returns the oldest waiting stream of the highest
// priority, or nil when none waits.
func (b *batch) popWaiting() *stream {
	for class := fleet.PriorityHigh; class >= fleet.PriorityLow; class-- {
		queue := b.waiting[class]
		if len(queue) > 0 {
			b.waiting[class] = queue[1:]
			return queue[0]
		}
	}
	return nil
}

// remove removes a running or waiting stream from the batch.
func (b *batch) remove(st *stream) {
	same := func(other *stream) bool { return other == st }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting[st.priority] = slices.DeleteFunc(b.waiting[st.priority], same)
}

// all returns the running and the waiting streams.
func (b *batch) all() []*stream {
	out := slices.Clone(b.running)
	for _, queue := range b.waiting {
		out = append(out, queue...)
	}
	return out
}

// submitLocked registers a stream, adds it to the batch and schedules a step if
// the batch was idle.
func (s *Server) submitLocked(st *stream) {
	now := s.clock.Now()
	st.unreadSince = now
	s.streams[st.id] = st
	s.batch.waiting[st.priority] = append(s.batch.waiting[st.priority], st)
	s.fillSlotsLocked(now)
	s.recordLoadLocked(now)
	if s.batch.nextStep.IsZero() {
		s.scheduleStepLocked(now, now)
	}
}

// fillSlotsLocked starts waiting streams while slots are free.
func (s *Server) fillSlotsLocked(now time.Time) {
	for len(s.batch.running) < s.cfg.Slots {
		st := s.batch.popWaiting()
		if st == nil {
			return
		}
		s.startLocked(now, st)
	}
}

// startLocked assigns a slot to a stream and computes when its prefill ends.
func (s *Server) startLocked(now time.Time, st *stream) {
	s.crashOnWordLocked(st)
	st.cachedTokens = s.cache.lookup(st.prompt)
	s.cache.store(st.prompt)
	uncached := st.promptTokens - st.cachedTokens
	if s.batch.prefillBusyUntil.Before(now) {
		s.batch.prefillBusyUntil = now
	}
	prefill := time.Duration(uncached) * s.cfg.PrefillPerToken
	s.batch.prefillBusyUntil = s.batch.prefillBusyUntil.Add(prefill)
	st.prefilledAt = s.batch.prefillBusyUntil
	s.batch.running = append(s.batch.running, st)
	s.state.Started++
	s.state.PromptTokens += int64(st.promptTokens)
	s.state.CachedTokens += int64(st.cachedTokens)
	s.state.PeakRunning = max(s.state.PeakRunning, len(s.batch.running))
}

// scheduleStepLocked schedules the step after the one that was due at the given
// time.
func (s *Server) scheduleStepLocked(now, due time.Time) {
	interval := s.stepTime()
	next := due.Add(interval)
	if now.Sub(next) > maxStepLag*interval {
		next = now
	}
	s.batch.nextStep = next
	s.stepTimer = s.clock.AfterFunc(max(0, next.Sub(now)), s.step)
}

// stepTime returns the duration of one step under the current faults.
func (s *Server) stepTime() time.Duration {
	factor := s.Faults.Get().SlowFactor
	if factor <= 0 {
		return s.cfg.TokenTime
	}
	return time.Duration(float64(s.cfg.TokenTime) * factor)
}

// step generates one token for each running stream whose prefill is done, and
// schedules the next step while streams are running.
func (s *Server) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopped() {
		return
	}
	now := s.clock.Now()
	due := s.batch.nextStep
	if !s.Faults.Get().Frozen {
		s.cancelOrphansLocked(now)
		s.generateLocked(now)
		s.fillSlotsLocked(now)
		s.recordLoadLocked(now)
	}
	if len(s.batch.running) == 0 {
		s.batch.nextStep = time.Time{}
		return
	}
	s.scheduleStepLocked(now, due)
}

func (s *Server) cancelOrphansLocked(now time.Time) {
	for _, st := range s.batch.all() {
		if st.orphaned(now, s.cfg.OrphanAfter) {
			s.state.Orphaned++
			s.endLocked(now, st, true)
		}
	}
}

func (s *Server) generateLocked(now time.Time) {
	for _, st := range slices.Clone(s.batch.running) {
		if st.prefilledAt.After(now) {
			continue
		}
		before := len(st.tokens)
		complete := st.generate()
		s.state.GeneratedTokens += int64(len(st.tokens) - before)
		if complete {
			s.state.Finished++
			s.cache.store(st.conversation())
			s.endLocked(now, st, false)
			continue
		}
		st.notifyReaders()
	}
}

// endLocked removes a stream from the batch, as finished or as cancelled.
func (s *Server) endLocked(now time.Time, st *stream, cancelled bool) {
	st.finished = !cancelled
	st.cancelled = cancelled
	st.finishedAt = now
	s.batch.remove(st)
	s.ended = append(s.ended, st)
	st.notifyReaders()
}

// expireStreamsLocked drops ended streams that are older than StreamKeep, and
// the oldest ones beyond maxKeptStreams.
func (s *Server) expireStreamsLocked(now time.Time) {
	for len(s.ended) > 0 {
		oldest := s.ended[0]
		if now.Sub(oldest.finishedAt) < s.cfg.StreamKeep && len(s.ended) <= maxKeptStreams {
			return
		}
		delete(s.streams, oldest.id)
		s.ended = s.ended[1:]
	}
}

// crashOnWordLocked crashes the engine when the prompt contains
// Faults.CrashWord.
func (s *Server) crashOnWordLocked(st *stream) {
	word := s.Faults.Get().CrashWord
	if word == "" {
		return
	}
	for _, m := range st.prompt {
		if strings.Contains(m.Content, word) {
			s.crashLocked()
			return
		}
	}
}
