package claims

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

func do(c *Claims, key uuid.UUID, dispatch DispatchFunc) (Result, *refusal.Refusal) {
	return c.Do(context.Background(), Action{Key: key, Workspace: "w", Fingerprint: 1}, dispatch)
}

func requireOutcome(t *testing.T, r *refusal.Refusal, kind refusal.Kind, outcome refusal.Outcome) {
	t.Helper()
	if r == nil || r.Kind != kind || r.Outcome != outcome {
		t.Fatalf("refusal %v, want %s (%s)", r, kind, outcome)
	}
}

func requireRecorded(t *testing.T, key uuid.UUID, result Result, r *refusal.Refusal) {
	t.Helper()
	if r != nil || !result.Recorded || result.Status != 201 || string(result.Body) != key.String() {
		t.Fatalf("got %+v, %v, want the recorded outcome", result, r)
	}
}

// pausedDispatch pauses a dispatch: started is closed when the dispatch begins,
// and the action runs once proceed is closed.
type pausedDispatch struct{ started, proceed chan struct{} }

func newPausedDispatch() pausedDispatch {
	return pausedDispatch{started: make(chan struct{}), proceed: make(chan struct{})}
}

func (p pausedDispatch) wrap(dispatch DispatchFunc) DispatchFunc {
	return func(ctx context.Context) (Result, error) {
		close(p.started)
		<-p.proceed
		return dispatch(ctx)
	}
}

// Guards against a resend that runs the action again. Without the journal, a
// second holder would know none of the first one's claims and dispatch.
func TestResendAfterTheAnswer(t *testing.T) {
	f := newFleet(t)
	first, _ := f.daemon("first")
	second, _ := f.daemon("second")
	key := f.key()
	if result, r := do(first, key, f.dispatch(key)); r != nil || result.Recorded {
		t.Fatal(result, r)
	}
	result, r := do(first, key, f.dispatch(key))
	requireRecorded(t, key, result, r)
	if err := first.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	result, r = do(second, key, f.dispatch(key))
	requireRecorded(t, key, result, r)
	_, r = second.Do(context.Background(), Action{Key: key, Workspace: "other", Fingerprint: 1}, f.dispatch(key))
	requireOutcome(t, r, refusal.ActionKeyReused, refusal.NotRun)
	f.requireRuns(key, 1)
}

// Guards against a resend that is dispatched while its action is in progress: at
// the same holder, where it must wait for the outcome, and at another holder,
// where the claim is known only from the replayed journal. The first holder is
// frozen in the middle of the dispatch and resumes after the other one took the
// slot over; its response must still reach its callers.
func TestResendsWhileInFlightAndHolderThawedAfterTakeOver(t *testing.T) {
	f := newFleet(t)
	first, store := f.daemon("first")
	second, _ := f.daemon("second")
	key := f.key()
	paused := newPausedDispatch()
	var joined sync.WaitGroup
	run := func(dispatch DispatchFunc) {
		joined.Go(func() {
			if _, r := do(first, key, dispatch); r != nil {
				t.Error(r)
			}
		})
	}
	run(paused.wrap(f.dispatch(key)))
	<-paused.started
	run(f.dispatch(key))
	for first.counters.requests.Count() < 2 {
		runtime.Gosched()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, r := first.Do(ctx, Action{Key: key, Workspace: "w", Fingerprint: 1}, f.dispatch(key))
	if r == nil || r.Outcome == refusal.NotRun && r.Kind != refusal.DeadlineExceeded {
		t.Fatalf("canceled request: refusal %v", r)
	}
	resume := make(chan struct{})
	store.gate.Store(&resume)
	other := f.key()
	if _, r := do(second, other, f.dispatch(other)); r != nil {
		t.Fatal(r)
	}
	_, r = do(second, key, f.dispatch(key))
	requireOutcome(t, r, refusal.ActionUnconfirmed, refusal.Unknown)
	close(resume)
	close(paused.proceed)
	joined.Wait()
	late := f.key()
	if _, r = do(first, late, f.dispatch(late)); r != nil {
		t.Fatal(r)
	}
	f.requireRuns(key, 1)
	f.requireRuns(late, 1)
}

// Guards against a resend that is dispatched again after its holder was killed,
// as would happen without the replay of the journal. The holder is killed before
// its claim is written, between the claim and the first byte, after the first
// byte, and after the response but before the outcome is written.
func TestHolderKilled(t *testing.T) {
	cases := []struct {
		name             string
		claimed, ran     bool
		answered         bool
		wantKind         refusal.Kind
		wantRunsAfterAll int
	}{
		{name: "before the claim", wantRunsAfterAll: 1},
		{name: "after the claim, before the first byte", claimed: true, wantKind: refusal.ActionUnconfirmed},
		{name: "after the first byte", claimed: true, ran: true, wantKind: refusal.ActionUnconfirmed, wantRunsAfterAll: 1},
		{name: "after the answer, before its record", claimed: true, ran: true, answered: true,
			wantKind: refusal.ActionUnconfirmed, wantRunsAfterAll: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			first, store := f.daemon("first")
			second, _ := f.daemon("second")
			key := f.key()
			started, ended := make(chan struct{}), make(chan struct{})
			store.down.Store(!tc.claimed)
			go func() {
				defer close(ended)
				_, _ = do(first, key, func(ctx context.Context) (Result, error) {
					if tc.ran {
						f.run(key)
					}
					store.down.Store(true)
					close(started)
					if !tc.answered {
						<-ctx.Done()
					}
					return Result{}, ctx.Err()
				})
			}()
			if tc.claimed {
				<-started
			}
			if tc.answered {
				<-ended
			}
			first.cancel()
			_, r := do(second, key, f.dispatch(key))
			if tc.wantKind != "" {
				requireOutcome(t, r, tc.wantKind, refusal.Unknown)
			} else if r != nil {
				t.Fatal(r)
			}
			f.requireRuns(key, tc.wantRunsAfterAll)
		})
	}
}

// Guards against wrong treatment of a claim that was written but whose reply was
// lost. Without the read-back, the action would be refused, or dispatched
// without a claim.
func TestWriteAppliedReplyLost(t *testing.T) {
	f := newFleet(t)
	c, store := f.daemon("first")
	for range 20 {
		store.loseReply.Store(true)
		key := f.key()
		if _, r := do(c, key, f.dispatch(key)); r != nil {
			t.Fatal(r)
		}
		f.requireRuns(key, 1)
	}
	if c.counters.readBacks.Count() == 0 {
		t.Error("no read-back was made")
	}
}

// Guards against two holders that both claim an action, as would happen if the
// transaction did not compare the head. Two daemons receive the same actions at
// once and keep taking the slot over from each other.
func TestTwoHolders(t *testing.T) {
	f := newFleet(t)
	first, _ := f.daemon("first")
	second, _ := f.daemon("second")
	for range 200 {
		key := f.key()
		var refusals [4]*refusal.Refusal
		var all sync.WaitGroup
		for i := range refusals {
			holder := first
			if i%2 == 1 {
				holder = second
			}
			all.Add(1)
			go func() {
				defer all.Done()
				_, refusals[i] = do(holder, key, f.dispatch(key))
			}()
		}
		all.Wait()
		requireConsistent(t, f, key, refusals[:])
	}
}

// requireConsistent checks that the action ran at most once, exactly once if a
// caller got a response, and never if all callers were refused as not run.
func requireConsistent(t *testing.T, f *fleet, key uuid.UUID, refusals []*refusal.Refusal) {
	t.Helper()
	notRun, answered := 0, 0
	for _, r := range refusals {
		switch {
		case r == nil:
			answered++
		case r.Outcome == refusal.NotRun:
			notRun++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := f.executions[key]
	if runs > 1 || answered > 0 && runs != 1 || notRun == len(refusals) && runs != 0 {
		t.Fatalf("ran %d times: %d answered, %d not run of %d", runs, answered, notRun, len(refusals))
	}
}

// Guards against a request that hangs when the key-value service goes down before
// its claim is written, and against an abandoned claim that is not released: its
// resends would stay unconfirmed for ever.
func TestOutageInTheMiddleOfAClaim(t *testing.T) {
	f := newFleet(t)
	c, store := f.daemon("first")
	warm := f.key()
	if _, r := do(c, warm, f.dispatch(warm)); r != nil {
		t.Fatal(r)
	}
	store.down.Store(true)
	key := f.key()
	_, r := do(c, key, f.dispatch(key))
	requireOutcome(t, r, refusal.ClaimsUnavailable, refusal.NotRun)
	result, r := do(c, warm, f.dispatch(warm))
	requireRecorded(t, warm, result, r)
	f.requireRuns(key, 0)
	store.down.Store(false)
	for range 100 {
		if _, r = do(c, key, f.dispatch(key)); r == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.requireRuns(key, 1)
}

// Guards against a resend that is dispatched again after the retention, when its
// claim has been removed: keys of that age must be refused.
func TestRetentionRunOut(t *testing.T) {
	f := newFleet(t)
	c, _ := f.daemon("first")
	key := f.key()
	if _, r := do(c, key, f.dispatch(key)); r != nil {
		t.Fatal(r)
	}
	f.clock.offset.Store(int64(testSettings().Retention) * 2)
	for range 20 {
		later := f.key()
		if _, r := do(c, later, f.dispatch(later)); r != nil {
			t.Fatal(r)
		}
	}
	second, _ := f.daemon("second")
	_, r := do(second, key, f.dispatch(key))
	requireOutcome(t, r, refusal.ActionKeyExpired, refusal.Unknown)
	f.requireRuns(key, 1)
	entries, _, err := f.store.List(context.Background(), "")
	if err != nil || len(entries) > 12 {
		t.Errorf("%d keys left in the store (%v), want at most 12: old segments are not removed", len(entries), err)
	}
}

func TestDispatchErrors(t *testing.T) {
	f := newFleet(t)
	c, _ := f.daemon("first")
	key := f.key()
	_, r := do(c, key, func(context.Context) (Result, error) { return Result{}, errors.WithStack(ErrNotDispatched) })
	requireOutcome(t, r, refusal.UpstreamFailed, refusal.NotRun)
	if _, r := do(c, key, f.dispatch(key)); r != nil {
		t.Fatal(r)
	}
	key = f.key()
	lost := func(context.Context) (Result, error) { f.run(key); return Result{}, errors.New("connection reset") }
	for range 2 {
		_, r = do(c, key, lost)
		requireOutcome(t, r, refusal.ActionUnconfirmed, refusal.Unknown)
	}
	f.requireRuns(key, 1)
}

func TestLayoutThatDiffersIsRefused(t *testing.T) {
	f := newFleet(t)
	first, _ := f.daemon("first")
	key := f.key()
	if _, r := do(first, key, f.dispatch(key)); r != nil {
		t.Fatal(r)
	}
	second, _ := f.daemon("second")
	second.layout.slots = 2
	other := f.key()
	_, r := do(second, other, f.dispatch(other))
	requireOutcome(t, r, refusal.ClaimsUnavailable, refusal.Unknown)
	f.requireRuns(other, 0)
}
