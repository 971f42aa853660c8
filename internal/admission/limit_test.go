package admission

import (
	"testing"
	"time"
)

// An observed mean raises the limit immediately, but only for raiseDuration and
// not beyond the multiple of that mean.
func TestObservedMeanRaisesLimit(t *testing.T) {
	now := time.Unix(0, 0)
	l := concurrencyLimit{multiple: 1.25, mean: 2}
	l.observe(now, 8)
	if got := l.current(now); got != 10 {
		t.Errorf("limit = %d, want 10", got)
	}
	if got := l.current(now.Add(raiseDuration)); got != 3 {
		t.Errorf("limit after the raise has expired = %d, want 3", got)
	}
	l.observe(now, 1)
	if got := l.current(now); got != 10 {
		t.Errorf("limit after a lower observation = %d, want 10", got)
	}
}
