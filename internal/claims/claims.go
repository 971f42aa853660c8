// Package claims runs non-idempotent calls ("actions") at most once. It drives
// the state machine of package ledger: one goroutine per claim slot owns the
// slot's ledger and executes its effects against the key-value service.
package claims

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/ledger"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// ErrNotDispatched is returned by a DispatchFunc that sent no byte of the call.
// The claim is then released, and a resend may run the action.
var ErrNotDispatched = errors.New("no byte of the action was sent: send it again with the same key")

// Result is the response of a service to an action. Callers must not modify it.
type Result = ledger.Result

// DispatchFunc sends an action to its service once. It returns ErrNotDispatched,
// or a refusal with outcome refusal.NotRun, only when no byte was sent; after
// any other error the outcome of the action counts as unconfirmed.
type DispatchFunc func(ctx context.Context) (Result, error)

// Action is one non-idempotent call.
type Action struct {
	// Key is the caller's UUID version 7. Resends of the action carry the same
	// key.
	Key uuid.UUID
	// Workspace is part of the action's identity: a key that another workspace
	// has used is refused as reused.
	Workspace string
	// Fingerprint identifies the content of the call across resends.
	Fingerprint uint64
	// FirstAttempt is set when the caller guarantees that it has not sent the key
	// before. A refusal can then report the action as not run even while the
	// journal can't be read.
	FirstAttempt bool
}

func (a Action) fingerprint() uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(a.Fingerprint)
	_, _ = d.WriteString(a.Workspace)
	return d.Sum64()
}

// Clock is the source of time.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the operating system's clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once after d.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Options configure Claims. All fields but Clock are required.
type Options struct {
	Store kv.Store
	// Self is the name of this daemon in the journals.
	Self     string
	Settings Settings
	// Clock defaults to SystemClock.
	Clock    Clock
	Registry metrics.Registry
	Logger   logrus.FieldLogger
}

// Claims manages the claim slots that requests at this daemon use. It is safe
// for concurrent use.
type Claims struct {
	options  Options
	counters counters
	layout   layout
	// ctx is canceled at the end of Shutdown. It bounds the calls to the
	// key-value service.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	closing bool
	workers map[int]*worker
}

// New returns Claims that hold no slot. A slot is taken over when its first
// action arrives.
func New(options Options) *Claims {
	if options.Clock == nil {
		options.Clock = SystemClock{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Claims{
		options: options, counters: newCounters(options.Registry),
		layout: layout{slots: options.Settings.Slots},
		ctx:    ctx, cancel: cancel, workers: make(map[int]*worker),
	}
}

// SlotOf returns the slot of an action key.
func (c *Claims) SlotOf(key uuid.UUID) int {
	return int(xxhash.Sum64(key[:]) % uint64(c.options.Settings.Slots))
}

// SlotName returns the key by which routers are ranked to choose a slot's holder.
func SlotName(slot int) string { return fmt.Sprintf("claims/%04d", slot) }

// Do claims an action and dispatches it once. If the action is already in
// progress, Do waits for its outcome; if the outcome is recorded, Do returns it.
// It should be called on the slot's holder: two holders at once are safe, but
// slower. A refusal with outcome NotRun applies to the action, not only to this
// request: no earlier request with the same key has run it. A dispatched action
// runs to its end and is recorded even if ctx ends first.
func (c *Claims) Do(ctx context.Context, action Action, dispatch DispatchFunc) (Result, *refusal.Refusal) {
	c.counters.requests.Inc(1)
	w := c.worker(c.SlotOf(action.Key))
	if w == nil {
		return Result{}, leavingRefusal()
	}
	result, r := w.do(newCall(ctx, action, dispatch))
	c.counters.countOutcome(result, r)
	return result, r
}

// worker returns the worker of a slot and starts it if needed. It returns nil
// after Shutdown.
func (c *Claims) worker(slot int) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	w := c.workers[slot]
	if w == nil {
		w = newWorker(c, slot)
		c.workers[slot] = w
		go w.run()
	}
	return w
}

// Shutdown refuses new actions, waits until those in progress have finished and
// their outcomes are written, and stops the workers. It returns an error if ctx
// ends first. Outcomes may then be missing from the journal, and resends of
// those actions are refused as unconfirmed.
func (c *Claims) Shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.closing = true
	workers := c.workers
	c.mu.Unlock()
	defer c.cancel()
	for _, w := range workers {
		go w.post(ledger.Drain{})
	}
	for _, w := range workers {
		select {
		case <-w.done:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "claims shutdown incomplete, outcomes may be missing: allow the shutdown more time")
		}
	}
	return nil
}

func leavingRefusal() *refusal.Refusal {
	return refusal.NewUnknown(refusal.Leaving,
		"this daemon is shutting down, this request was not run: send it again with the same key").
		WithRetryAfter(time.Second)
}
