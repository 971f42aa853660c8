package owner

import (
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

func TestStartDeadline(t *testing.T) {
	const serviceTime = 7 * time.Second
	cases := []struct {
		name          string
		limitMS, wait uint32
		want          time.Duration
	}{
		{"leaves time for the response", 10_000, 0, 3 * time.Second},
		{"short timeout allows only an immediate start", 5_000, 0, gateTick},
		// Regression: the service time was also subtracted from the requested
		// wait, so no request waited for the engine that has its prompt cached.
		{"requested wait applies to the start", 60_000, 1_500, 1500 * time.Millisecond},
		{"requested wait exceeds the timeout", 8_000, 5_000, time.Second},
	}
	now := time.Unix(0, 0)
	for _, c := range cases {
		request := &peerpb.ForwardRequest{TimeoutMs: c.limitMS, WaitMs: c.wait}
		if got := startDeadline(now, request, serviceTime).Sub(now); got != c.want {
			t.Errorf("%s: start deadline after %v, want %v", c.name, got, c.want)
		}
	}
}
