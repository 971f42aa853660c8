package admission

import (
	"testing"
	"time"
)

// The loads that owners just named raise the limit at once, for a while, and
// never beyond the multiple of their mean.
func TestObservedMeanRaisesLimit(t *testing.T) {
	now := time.Unix(0, 0)
	b := bound{multiple: 1.25, mean: 2}
	b.observe(now, 8)
	if got := b.limit(now); got != 10 {
		t.Errorf("limit = %d, want 10", got)
	}
	if got := b.limit(now.Add(raiseDuration)); got != 3 {
		t.Errorf("limit after the raise = %d, want 3", got)
	}
	b.observe(now, 1)
	if got := b.limit(now); got != 10 {
		t.Errorf("limit after a lower observation = %d, want 10", got)
	}
}
