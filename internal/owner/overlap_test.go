package owner

import (
	"testing"
	"time"
)

func at(millis int) time.Time { return time.UnixMilli(int64(millis)) }

// While the local load rises, a delayed report must not be attributed to a previous
// owner. Sampling the local load only once per report did so, and left slots unused
// while requests were queued.
func TestLocalLoadIsNotForeign(t *testing.T) {
	history := &loadHistory{}
	for i := range 40 {
		history.record(loadSample{at: at(i * 50), inFlight: i})
	}
	if got := history.foreign(20, at(1000)); got != 0 {
		t.Errorf("foreign load = %d, want 0", got)
	}
}

func TestPreviousOwnersLoadIsForeign(t *testing.T) {
	history := &loadHistory{}
	for i := range 40 {
		history.record(loadSample{at: at(i * 50), inFlight: 3})
	}
	if got := history.foreign(12, at(1000)); got != 9 {
		t.Errorf("foreign load = %d, want 9", got)
	}
	if got := history.foreign(12, at(-5000)); got != 12 {
		t.Errorf("foreign load before the first request = %d, want 12", got)
	}
}
