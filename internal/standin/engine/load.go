package engine

import (
	"net/http"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Values of the health state.
const (
	healthLive    = "live"
	healthLeaving = "leaving"
)

// recordLoadLocked records the current load, which the load report shows after
// Config.LoadLag.
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
	if override := s.Faults.Get().LoadReport; override != nil {
		report = *override
	}
	report.MeasuredAtMS = now.Add(-s.cfg.LoadLag).UnixMilli()
	standin.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	health := engineapi.Health{State: healthLive, Models: s.modelsLocked()}
	if !s.leavingSince.IsZero() {
		health.State = healthLeaving
	}
	standin.WriteJSON(w, http.StatusOK, health)
}

// Leave starts a graceful shutdown: the health state becomes leaving, accepted
// requests continue, and new ones are refused after Config.LeaveGrace.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		s.leavingSince = s.clock.Now()
	}
}

// Drained reports whether a leaving engine refuses new requests and has no
// streams or readers left.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := len(s.batch.running) + s.batch.waitingCount() + s.openReaders
	return s.refusesNewWorkLocked(s.clock.Now()) && busy == 0
}

func (s *Server) refusesNewWorkLocked(now time.Time) bool {
	return !s.leavingSince.IsZero() && now.Sub(s.leavingSince) >= s.cfg.LeaveGrace
}

func (s *Server) serveLeave(w http.ResponseWriter, _ *http.Request) {
	s.Leave()
	w.WriteHeader(http.StatusNoContent)
}
