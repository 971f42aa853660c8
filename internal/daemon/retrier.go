package daemon

import (
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/retry"
)

// retrier makes a retry policy safe for concurrent use. It implements
// relay.Retrier.
type retrier struct {
	mu     sync.Mutex
	policy *retry.Policy
}

func newRetrier(s retry.Settings, seed uint64) *retrier {
	return &retrier{policy: retry.New(s, seed)}
}

// Failed implements relay.Retrier.
func (r *retrier) Failed(now time.Time, workspace, target string, attempt int, deadline time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := r.policy.Failed(now, retry.Failure{
		Key:     retry.Key{Workspace: workspace, Pool: target},
		Attempt: attempt, Idempotent: true, Deadline: deadline,
	})
	return verdict.Delay, verdict.Retry()
}

// Succeeded implements relay.Retrier.
func (r *retrier) Succeeded(now time.Time, workspace, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.Succeeded(now, retry.Key{Workspace: workspace, Pool: target})
}
