// Package claims runs non-idempotent calls ("actions") at most once. It is the
// shell of package ledger: one goroutine per claim slot owns the slot's ledger
// and carries out its effects against the key-value service.
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

// ErrNotDispatched is returned by a DispatchFunc that sent no byte: the claim
// is released, and a resend may run the action.
var ErrNotDispatched = errors.New("no byte of the action was sent: send it again with the same key")

// Result is the answer of a service to an action. Callers must not change it.
type Result = ledger.Result

// DispatchFunc runs an action once. It returns ErrNotDispatched, or a refusal
// with outcome refusal.NotRun, only when no byte was sent; after any other
// error the action counts as unconfirmed.
type DispatchFunc func(ctx context.Context) (Result, error)

// Action is one non-idempotent call.
type Action struct {
	// Key is the caller's UUID version 7, the same for each resend.
	Key uuid.UUID
	// Workspace is part of the action's identity: a key that another workspace
	// used is refused as reused.
	Workspace string
	// Fingerprint identifies the content of the call across resends.
	Fingerprint uint64
	// First is set when the caller vouches that it never sent the key before.
	// Refusals as not run then hold also while the journal can't be read.
	First bool
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

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once after d.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Options configure Claims. All fields but Clock are needed.
type Options struct {
	Store kv.Store
	// Self names this daemon in the journals.
	Self     string
	Settings Settings
	// Clock defaults to SystemClock.
	Clock    Clock
	Registry metrics.Registry
	Logger   logrus.FieldLogger
}

// Claims holds the claim slots that requests at this daemon use. It is safe
// for concurrent use.
type Claims struct {
	options  Options
	counters counters
	layout   layout
	// ctx ends with Release; calls to the service run under it.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	releases bool
	workers  map[int]*worker
}

// New returns Claims that hold no slot yet: the first action of a slot takes
// it over.
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

// SlotName returns the name under which a slot's holder is ranked.
func SlotName(slot int) string { return fmt.Sprintf("claims/%04d", slot) }

// Do claims an action and dispatches it once, joins it when it is under way,
// or answers from its recorded outcome. It is called on the slot's holder; a
// second holder is safe, but slower. A refusal as not run speaks for the
// action: no earlier request with its key ran it. Once dispatched, an action goes on and is
// recorded also when ctx ends.
func (c *Claims) Do(ctx context.Context, action Action, dispatch DispatchFunc) (Result, *refusal.Refusal) {
	c.counters.requests.Inc(1)
	w := c.worker(c.SlotOf(action.Key))
	if w == nil {
		return Result{}, leaving()
	}
	result, r := w.do(newCall(ctx, action, dispatch))
	c.counters.count(result, r)
	return result, r
}

// worker returns the goroutine of a slot, or nil after Release.
func (c *Claims) worker(slot int) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.releases {
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

// Shutdown refuses new actions, waits until those under way have finished and
// their outcomes are written, and stops. It returns an error when ctx ends
// first; then outcomes may be missing, and their resends are unconfirmed.
func (c *Claims) Shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.releases = true
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
			return errors.Wrap(ctx.Err(), "claims not released in time: allow the shutdown more time")
		}
	}
	return nil
}

func leaving() *refusal.Refusal {
	return refusal.NewUnknown(refusal.Leaving,
		"this daemon is shutting down, this request was not run: send it again with the same key").
		WithRetryAfter(time.Second)
}
