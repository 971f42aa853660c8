package engine

import (
	"net/http"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// States of an engine's health.
const (
	healthLive    = "live"
	healthLeaving = "leaving"
)

// recordLoadLocked notes the counts that the load report will show later.
func (s *Server) recordLoadLocked(now time.Time) {
	load := engineapi.Load{Running: len(s.batch.running), Waiting: s.batch.waitingCount()}
	if load != s.load.Latest() {
		s.load.Set(now, load)
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := s.clock.Now()
	s.mu.Lock()
	report := s.load.Visible(now)
	s.mu.Unlock()
	if lie := s.Faults.Get().LoadReport; lie != nil {
		report = *lie
	}
	report.MeasuredAtMS = now.Add(-s.cfg.LoadLag).UnixMilli()
	standin.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	health := engineapi.Health{State: healthLive, Models: s.modelsLocked()}
	if !s.leaving.IsZero() {
		health.State = healthLeaving
	}
	standin.WriteJSON(w, http.StatusOK, health)
}

// Leave starts a graceful shutdown: health says leaving, running work goes on,
// and new work is refused after the grace.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.IsZero() {
		s.leaving = s.clock.Now()
	}
}

// Drained reports whether a leaving engine refuses new work and has none left.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := len(s.batch.running) + s.batch.waitingCount() + s.openReaders
	return s.refusesNewWorkLocked(s.clock.Now()) && busy == 0
}

func (s *Server) refusesNewWorkLocked(now time.Time) bool {
	return !s.leaving.IsZero() && now.Sub(s.leaving) >= s.cfg.LeaveGrace
}

func (s *Server) serveLeave(w http.ResponseWriter, _ *http.Request) {
	s.Leave()
	w.WriteHeader(http.StatusNoContent)
}
