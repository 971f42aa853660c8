package weights

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

func get(s *Server) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, PathWeights+"m", nil))
	return recorder
}

func TestRateIsLimited(t *testing.T) {
	clock := standin.NewManualClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	s := New(Config{LoadsPerMinute: 6, Burst: 2, SizeBytes: 100, Clock: clock})
	for range 2 {
		if got := get(s); got.Code != http.StatusOK || got.Body.Len() != 100 {
			t.Fatalf("status %d, %d bytes", got.Code, got.Body.Len())
		}
	}
	refused := get(s)
	if refused.Code != http.StatusTooManyRequests || refused.Header().Get("Retry-After") != "10" {
		t.Fatalf("status %d, Retry-After %q", refused.Code, refused.Header().Get("Retry-After"))
	}
	clock.Advance(10 * time.Second)
	if got := get(s); got.Code != http.StatusOK {
		t.Fatalf("status %d after Retry-After has passed", got.Code)
	}
	if state := s.State(); state.Served != 3 || state.RateLimited != 1 {
		t.Fatalf("state %+v", state)
	}
}

func TestOutage(t *testing.T) {
	s := New(DefaultConfig())
	s.Faults.Update(func(f *Faults) { f.Outage = standin.OutageRefuse })
	if got := get(s); got.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d during the outage", got.Code)
	}
}
