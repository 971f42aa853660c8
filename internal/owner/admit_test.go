package owner

import (
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

func TestStartDeadline(t *testing.T) {
	const run = 7 * time.Second
	cases := []struct {
		name          string
		limitMS, wait uint32
		want          time.Duration
	}{
		{"leaves time for the answer", 10_000, 0, 3 * time.Second},
		{"short limit starts at once or never", 5_000, 0, gateTick},
		// The expected run was once taken off a named wait, too: no request
		// waited for the engine that holds its prompt.
		{"named wait is a wait for the start", 60_000, 1_500, 1500 * time.Millisecond},
		{"named wait beyond the limit", 8_000, 5_000, time.Second},
	}
	now := time.Unix(0, 0)
	for _, c := range cases {
		request := &peerpb.ForwardRequest{TimeoutMs: c.limitMS, WaitMs: c.wait}
		if got := startDeadline(now, request, run).Sub(now); got != c.want {
			t.Errorf("%s: latest start after %v, want %v", c.name, got, c.want)
		}
	}
}
