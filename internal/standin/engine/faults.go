package engine

import (
	"net/http"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// allStreams is the Count of a StreamFault that strikes every new stream.
const allStreams = -1

// neverStruck marks a connection that no StreamFault strikes.
const neverStruck = -1

// StreamFault strikes the connections of the next streams, including resumed
// ones.
type StreamFault struct {
	// Count is the number of connections left to strike; -1 strikes all.
	Count int `json:"count"`
	// AfterTokens is the number of chunks that are sent before.
	AfterTokens int `json:"after_tokens"`
}

// Faults are the switchable faults of the engine. The zero value has none.
type Faults struct {
	// Outage fails every call but those for tests.
	Outage standin.Outage `json:"outage"`
	// CrashWord crashes the engine when it starts a prompt that contains it.
	CrashWord string `json:"crash_word"`
	// Frozen stops all work and answers while connections stay open.
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies the time of each step; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// AnswerDelayMS is added before the head of each answer, in milliseconds.
	AnswerDelayMS int `json:"answer_delay_ms"`
	// ChunkDelayMS is added before each chunk, in milliseconds.
	ChunkDelayMS int `json:"chunk_delay_ms"`
	// Silent leaves connections open without sending more.
	Silent StreamFault `json:"silent"`
	// Cut closes connections.
	Cut StreamFault `json:"cut"`
	// SwapChunks is the number of coming swaps in which two streams each get a
	// chunk of the other. Whole answers are swapped likewise.
	SwapChunks int `json:"swap_chunks"`
	// DuplicateChunks is the number of coming chunks that are sent twice.
	DuplicateChunks int `json:"duplicate_chunks"`
	// LoadReport replaces the counts of the load report when set.
	LoadReport *engineapi.Load `json:"load_report"`
}

// Action is the body of POST /admin/actions: things that happen once.
type Action struct {
	// SilenceOpen makes the connections that are open now go silent for good,
	// while new ones work.
	SilenceOpen bool `json:"silence_open"`
	// CutOpen closes the connections of all streams that are open now.
	CutOpen bool `json:"cut_open"`
	// DropCache empties the prefix cache.
	DropCache bool `json:"drop_cache"`
	// Crash crashes the engine.
	Crash bool `json:"crash"`
}

// take returns after how many chunks a new connection is struck, or
// neverStruck.
func (f *StreamFault) take() int {
	if f.Count == 0 {
		return neverStruck
	}
	if f.Count != allStreams {
		f.Count--
	}
	return f.AfterTokens
}

// takeSwap counts one swap down and reports whether there was one left.
func (s *Server) takeSwap() bool {
	taken := false
	s.Faults.Update(func(f *Faults) {
		taken = f.SwapChunks > 0
		if taken {
			f.SwapChunks--
		}
	})
	return taken
}

// takeDuplicate reports whether the next chunk is sent twice, and counts it.
func (s *Server) takeDuplicate() bool {
	if s.Faults.Get().DuplicateChunks == 0 {
		return false
	}
	taken := false
	s.Faults.Update(func(f *Faults) {
		taken = f.DuplicateChunks > 0
		if taken {
			f.DuplicateChunks--
		}
	})
	return taken
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func (s *Server) faultsChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.Faults.Get()
	switch {
	case f.Frozen && s.thawed == nil:
		s.thawed = make(chan struct{})
	case !f.Frozen && s.thawed != nil:
		close(s.thawed)
		s.thawed = nil
	}
	if f.Outage != standin.OutageNone {
		s.cutOpenLocked()
	}
}

// Act performs an action.
func (s *Server) Act(a Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.SilenceOpen {
		close(s.silenced)
		s.silenced = make(chan struct{})
	}
	if a.CutOpen {
		s.cutOpenLocked()
	}
	if a.DropCache {
		s.cache.clear()
	}
	if a.Crash {
		s.crashLocked()
	}
}

func (s *Server) cutOpenLocked() {
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *Server) serveActions(w http.ResponseWriter, r *http.Request) {
	var action Action
	if standin.ReadStrictJSON(w, r, &action) != nil {
		return
	}
	s.Act(action)
	w.WriteHeader(http.StatusNoContent)
}

// crashLocked ends the process, or cuts all connections from now on.
func (s *Server) crashLocked() {
	s.state.Crashes++
	if s.cfg.Crash != nil {
		s.cfg.Crash()
	}
	s.stopLocked()
}

func (s *Server) stopLocked() {
	if !s.isStopped() {
		close(s.stopped)
	}
}

func (s *Server) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}
