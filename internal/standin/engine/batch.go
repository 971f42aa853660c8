package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// maxStepLag is how many steps the batch may be behind before it gives up
// catching up.
const maxStepLag = 10

// batch is the engine's continuous batch: waiting streams by priority, and the
// running ones. The server's mutex guards it.
type batch struct {
	waiting [fleet.PriorityCount][]*stream
	running []*stream
	// prefillFree is when the prefill of the streams so far is done.
	prefillFree time.Time
	// nextStep is when the next step is due; zero while the batch is idle.
	nextStep time.Time
}

// waitingCount returns the number of streams without a slot.
func (b *batch) waitingCount() int {
	count := 0
	for _, queue := range b.waiting {
		count += len(queue)
	}
	return count
}

// takeWaiting removes and returns the first stream of the highest class, or
// nil.
func (b *batch) takeWaiting() *stream {
	for class := fleet.PriorityHigh; class >= fleet.PriorityLow; class-- {
		queue := b.waiting[class]
		if len(queue) > 0 {
			b.waiting[class] = queue[1:]
			return queue[0]
		}
	}
	return nil
}

// remove takes a stream out of the batch.
func (b *batch) remove(st *stream) {
	same := func(other *stream) bool { return other == st }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting[st.priority] = slices.DeleteFunc(b.waiting[st.priority], same)
}

// all returns the streams of the batch.
func (b *batch) all() []*stream {
	out := slices.Clone(b.running)
	for _, queue := range b.waiting {
		out = append(out, queue...)
	}
	return out
}

// submitLocked adds a stream to the batch.
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

// fillSlotsLocked moves waiting streams into free slots.
func (s *Server) fillSlotsLocked(now time.Time) {
	for len(s.batch.running) < s.cfg.Slots {
		st := s.batch.takeWaiting()
		if st == nil {
			return
		}
		s.startLocked(now, st)
	}
}

// startLocked gives a stream a slot and computes the end of its prefill.
func (s *Server) startLocked(now time.Time, st *stream) {
	s.crashIfMarkedLocked(st)
	st.cachedTokens = s.cache.lookup(st.prompt)
	s.cache.store(st.prompt)
	uncached := st.promptTokens - st.cachedTokens
	if s.batch.prefillFree.Before(now) {
		s.batch.prefillFree = now
	}
	prefill := time.Duration(uncached) * s.cfg.PrefillPerToken
	s.batch.prefillFree = s.batch.prefillFree.Add(prefill)
	st.prefilledAt = s.batch.prefillFree
	s.batch.running = append(s.batch.running, st)
	s.state.Started++
	s.state.PromptTokens += int64(st.promptTokens)
	s.state.CachedTokens += int64(st.cachedTokens)
	s.state.PeakRunning = max(s.state.PeakRunning, len(s.batch.running))
}

// scheduleStepLocked plans the step that follows the one that was due.
func (s *Server) scheduleStepLocked(now, due time.Time) {
	interval := s.stepTime()
	next := due.Add(interval)
	if now.Sub(next) > maxStepLag*interval {
		next = now
	}
	s.batch.nextStep = next
	s.stepTimer = s.clock.AfterFunc(max(0, next.Sub(now)), s.step)
}

// stepTime is the time of one step under the present faults.
func (s *Server) stepTime() time.Duration {
	factor := s.Faults.Get().SlowFactor
	if factor <= 0 {
		return s.cfg.TokenTime
	}
	return time.Duration(float64(s.cfg.TokenTime) * factor)
}

// step generates one token for each running stream that is prefilled, and
// plans the next step while there is work.
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
		whole := st.generate()
		s.state.GeneratedTokens += int64(len(st.tokens) - before)
		if whole {
			s.state.Finished++
			s.cache.store(st.whole())
			s.endLocked(now, st, false)
			continue
		}
		st.wake()
	}
}

// endLocked takes a stream out of the batch, as finished or as cancelled.
func (s *Server) endLocked(now time.Time, st *stream, cancelled bool) {
	st.finished = !cancelled
	st.cancelled = cancelled
	st.finishedAt = now
	s.batch.remove(st)
	s.ended = append(s.ended, st)
	st.wake()
}

// forgetLocked drops streams that have been kept long enough.
func (s *Server) forgetLocked(now time.Time) {
	for len(s.ended) > 0 {
		oldest := s.ended[0]
		if now.Sub(oldest.finishedAt) < s.cfg.StreamKeep && len(s.ended) <= maxKeptStreams {
			return
		}
		delete(s.streams, oldest.id)
		s.ended = s.ended[1:]
	}
}

// crashIfMarkedLocked crashes the engine when the prompt contains the word
// that is set as a fault.
func (s *Server) crashIfMarkedLocked(st *stream) {
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
