package engine

import (
	"net/http"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// allConnections is the StreamFault.Count that affects every new connection.
const allConnections = -1

// noFault is the chunk count of a connection that no StreamFault affects.
const noFault = -1

// StreamFault affects the next stream connections, including those that resume
// a stream.
type StreamFault struct {
	// Count is the number of connections still to be affected; -1 affects all.
	Count int `json:"count"`
	// AfterTokens is the number of chunks sent before the fault occurs.
	AfterTokens int `json:"after_tokens"`
}

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Outage fails every call except those to the admin paths.
	Outage standin.Outage `json:"outage"`
	// CrashWord crashes the engine when it starts a prompt containing the word.
	CrashWord string `json:"crash_word"`
	// Frozen suspends generation and responses; connections stay open.
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies the duration of each step; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// AnswerDelayMS delays the header of each response, in milliseconds.
	AnswerDelayMS int `json:"answer_delay_ms"`
	// ChunkDelayMS delays each chunk, in milliseconds.
	ChunkDelayMS int `json:"chunk_delay_ms"`
	// Silent keeps connections open but stops sending on them.
	Silent StreamFault `json:"silent"`
	// Cut closes connections.
	Cut StreamFault `json:"cut"`
	// SwapChunks is the number of swaps to make, in each of which two streams
	// receive a chunk of each other. Answers without streaming are swapped as a
	// whole.
	SwapChunks int `json:"swap_chunks"`
	// DuplicateChunks is the number of next chunks to send twice.
	DuplicateChunks int `json:"duplicate_chunks"`
	// LoadReport overrides the counts in the load report when set.
	LoadReport *engineapi.Load `json:"load_report"`
}

// Action is the body of POST /admin/actions: faults that occur once.
type Action struct {
	// SilenceOpen stops sending on all stream connections that are open now.
	// New connections work.
	SilenceOpen bool `json:"silence_open"`
	// CutOpen closes all stream connections that are open now.
	CutOpen bool `json:"cut_open"`
	// DropCache empties the prefix cache.
	DropCache bool `json:"drop_cache"`
	// Crash crashes the engine.
	Crash bool `json:"crash"`
}

// consume counts one connection down and returns after how many chunks the
// fault occurs on it, or noFault.
func (f *StreamFault) consume() int {
	if f.Count == 0 {
		return noFault
	}
	if f.Count != allConnections {
		f.Count--
	}
	return f.AfterTokens
}

// consumeSwap counts one swap down and reports whether one was left.
func (s *Server) consumeSwap() bool {
	taken := false
	s.Faults.Update(func(f *Faults) {
		taken = f.SwapChunks > 0
		if taken {
			f.SwapChunks--
		}
	})
	return taken
}

// consumeDuplicate reports whether to send the current chunk twice, and counts
// it down.
func (s *Server) consumeDuplicate() bool {
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
	case f.Frozen && s.unfrozen == nil:
		s.unfrozen = make(chan struct{})
	case !f.Frozen && s.unfrozen != nil:
		close(s.unfrozen)
		s.unfrozen = nil
	}
	if f.Outage != standin.OutageNone {
		s.cutOpenLocked()
	}
}

// Act injects the faults that an action selects.
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

// crashLocked calls Config.Crash if it is set, and cuts all connections from
// now on.
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
