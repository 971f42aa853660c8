package claims

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/kv/kvmem"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// link is one daemon's connection to the store, with switchable faults.
type link struct {
	kv.Store
	// down makes all calls fail unapplied; loseReply drops the reply of the
	// next append after it was applied.
	down, loseReply atomic.Bool
	// gate, when set, holds every call until it is closed: a frozen process.
	gate atomic.Pointer[chan struct{}]
}

func (l *link) wait() {
	if gate := l.gate.Load(); gate != nil {
		<-*gate
	}
}

func (l *link) Get(ctx context.Context, key string) (kv.Entry, error) {
	l.wait()
	if l.down.Load() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return l.Store.Get(ctx, key)
}

func (l *link) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	l.wait()
	if l.down.Load() {
		return nil, 0, kv.ErrUnavailable
	}
	return l.Store.List(ctx, prefix)
}

func (l *link) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	l.wait()
	if l.down.Load() {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	result, err := l.Store.Commit(ctx, txn)
	if l.loseReply.CompareAndSwap(true, false) {
		return kv.TxnResult{}, kv.ErrResultUnknown
	}
	return result, err
}

// offsetClock is the machine's clock, moved by an offset.
type offsetClock struct {
	SystemClock
	offset *atomic.Int64
}

func (c offsetClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// fleet is a set of daemons that share a store and a plain service; the
// service counts executions and is the judge.
type fleet struct {
	t        *testing.T
	store    kv.Store
	settings Settings
	clock    offsetClock

	mu         sync.Mutex
	executions map[uuid.UUID]int
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t: t, store: kvmem.New(kvmem.Options{}), settings: testSettings(), clock: offsetClock{offset: new(atomic.Int64)},
		executions: map[uuid.UUID]int{},
	}
}

func testSettings() Settings {
	s := DefaultSettings()
	s.Slots = 1
	s.CommitInterval = settings.Duration(time.Millisecond)
	s.OutcomeDelay = settings.Duration(time.Millisecond)
	s.RetryPause = settings.Duration(time.Millisecond)
	s.HoldOff = settings.Duration(time.Millisecond)
	s.ClaimWait = settings.Duration(500 * time.Millisecond)
	s.CompactAfter = 4
	return s
}

func (f *fleet) daemon(name string) (*Claims, *link) {
	l := &link{Store: f.store}
	logger, _ := test.NewNullLogger()
	c := New(Options{
		Store: l, Self: name, Settings: f.settings, Clock: f.clock,
		Registry: metrics.NewRegistry(), Logger: logger,
	})
	f.t.Cleanup(c.cancel)
	return c, l
}

func (f *fleet) key() uuid.UUID {
	key := uuid.Must(uuid.NewV7())
	ms := make([]byte, 8)
	binary.BigEndian.PutUint64(ms, uint64(f.clock.Now().UnixMilli()))
	copy(key[:6], ms[2:])
	return key
}

// run is the plain service.
func (f *fleet) run(key uuid.UUID) Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executions[key]++
	return Result{Status: 201, Body: []byte(key.String())}
}

func (f *fleet) dispatch(key uuid.UUID) DispatchFunc {
	return func(context.Context) (Result, error) { return f.run(key), nil }
}

func (f *fleet) requireRuns(key uuid.UUID, want int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if got := f.executions[key]; got != want {
		f.t.Errorf("action ran %d times, want %d", got, want)
	}
}
