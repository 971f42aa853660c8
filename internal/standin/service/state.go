package service

import (
	"net/http"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// State is the body of GET /admin/state.
type State struct {
	Requests       int64 `json:"requests"`
	Executions     int64 `json:"executions"`
	Running        int   `json:"running"`
	RefusedBefore  int64 `json:"refused_before"`
	RefusedLeaving int64 `json:"refused_leaving"`
	RepliesLost    int64 `json:"replies_lost"`
	Hung           int64 `json:"hung"`
	Errors         int64 `json:"errors"`
	Crashes        int64 `json:"crashes"`
}

// Execution counts the executions of one action, or of all requests without a
// key to one method and path.
type Execution struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Count  int64  `json:"count"`
}

// Executions is the body of GET PathExecutions.
type Executions struct {
	// Total is the sum of the counts.
	Total      int64       `json:"total"`
	Executions []Execution `json:"executions"`
}

type executionID struct{ key, method, path string }

// executionLog counts the executions by key, method and path, in the order of
// each one's first execution.
type executionLog struct {
	mu      sync.Mutex
	entries []Execution
	index   map[executionID]int
	byKey   map[string]int64
	total   int64
}

func newExecutionLog() *executionLog {
	return &executionLog{index: make(map[executionID]int), byKey: make(map[string]int64)}
}

// add counts one execution and returns the number of executions of its action so
// far, or of all requests when there is no key.
func (l *executionLog) add(method, path, key string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := executionID{key: key, method: method, path: path}
	at, ok := l.index[id]
	if !ok {
		at = len(l.entries)
		l.index[id] = at
		l.entries = append(l.entries, Execution{Key: key, Method: method, Path: path})
	}
	l.entries[at].Count++
	l.byKey[key]++
	l.total++
	if key == "" {
		return l.total
	}
	return l.byKey[key]
}

// list returns the entries that match.
func (l *executionLog) list(match func(Execution) bool) Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Executions{Executions: []Execution{}}
	for _, entry := range l.entries {
		if match(entry) {
			out.Total += entry.Count
			out.Executions = append(out.Executions, entry)
		}
	}
	return out
}

// Executions returns the executions of one action.
func (s *Server) Executions(key string) Executions {
	return s.log.list(func(e Execution) bool { return e.Key == key })
}

// AllExecutions returns the executions of all requests.
func (s *Server) AllExecutions() Executions {
	return s.log.list(func(Execution) bool { return true })
}

// State returns the current counters.
func (s *Server) State() State {
	executions := s.AllExecutions().Total
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.Executions = executions
	return state
}

// Leave starts a graceful shutdown: the health report changes to leaving, and new
// requests are refused after Config.LeaveGrace.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.IsZero() {
		s.leaving = s.clock.Now()
	}
}

// Drained reports whether a leaving service refuses new requests and has none
// running.
func (s *Server) Drained() bool {
	refuses := s.refusesNewWork()
	s.mu.Lock()
	defer s.mu.Unlock()
	return refuses && s.state.Running == 0
}

func (s *Server) refusesNewWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving.IsZero() && s.clock.Now().Sub(s.leaving) >= s.cfg.LeaveGrace
}

func (s *Server) updateState(change func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.state)
}

func (s *Server) addRunning(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Running += by
	s.load.Set(s.clock.Now(), s.state.Running)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := s.clock.Now()
	s.mu.Lock()
	running := s.load.Visible(now)
	s.mu.Unlock()
	report := Load{Running: running, MeasuredAtMS: now.Add(-s.cfg.LoadLag).UnixMilli()}
	if override := s.Faults.Get().LoadReport; override != nil {
		report.Running, report.Waiting = override.Running, override.Waiting
	}
	standin.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	leaving := !s.leaving.IsZero()
	s.mu.Unlock()
	health := engineapi.Health{State: "live", Models: []string{}}
	if leaving {
		health.State = "leaving"
	}
	standin.WriteJSON(w, http.StatusOK, health)
}

func (s *Server) serveLeave(w http.ResponseWriter, _ *http.Request) {
	s.Leave()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveExecutions(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has(QueryKey) {
		standin.WriteJSON(w, http.StatusOK, s.Executions(query.Get(QueryKey)))
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.AllExecutions())
}

func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}
