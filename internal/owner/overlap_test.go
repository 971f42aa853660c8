package owner

import (
	"testing"
	"time"
)

func at(millis int) time.Time { return time.UnixMilli(int64(millis)) }

// While the own load rises, a lagging report must not be taken for a former
// owner's requests. Sampling once a report did that, and left places empty
// while requests waited.
func TestOwnLoadIsNotForeign(t *testing.T) {
	estimate := &loadHistory{}
	for i := range 40 {
		estimate.record(loadSample{at: at(i * 50), inFlight: i})
	}
	if got := estimate.foreign(20, at(1000)); got != 0 {
		t.Errorf("foreign load = %d, want 0", got)
	}
}

func TestFormerOwnersLoadIsForeign(t *testing.T) {
	estimate := &loadHistory{}
	for i := range 40 {
		estimate.record(loadSample{at: at(i * 50), inFlight: 3})
	}
	if got := estimate.foreign(12, at(1000)); got != 9 {
		t.Errorf("foreign load = %d, want 9", got)
	}
	if got := estimate.foreign(12, at(-5000)); got != 12 {
		t.Errorf("foreign load before the first request = %d, want 12", got)
	}
}
