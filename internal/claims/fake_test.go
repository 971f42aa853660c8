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

// faultyStore is one daemon's access to the store, with faults to switch on.
type faultyStore struct {
	kv.Store
	// down makes all calls fail without being applied; loseReply drops the reply
	// to the next append after it was applied.
	down, loseReply atomic.Bool
	// gate, if set, blocks every call until it is closed, as in a frozen process.
	gate atomic.Pointer[chan struct{}]
}

func (s *faultyStore) wait() {
	if gate := s.gate.Load(); gate != nil {
		<-*gate
	}
}

func (s *faultyStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.wait()
	if s.down.Load() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	s.wait()
	if s.down.Load() {
		return nil, 0, kv.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *faultyStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.wait()
	if s.down.Load() {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	result, err := s.Store.Commit(ctx, txn)
	if s.loseReply.CompareAndSwap(true, false) {
		return kv.TxnResult{}, kv.ErrResultUnknown
	}
	return result, err
}

// offsetClock is the system clock with an adjustable offset.
type offsetClock struct {
	SystemClock
	offset *atomic.Int64
}

func (c offsetClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// fleet is a set of daemons that share a store and a service. The service counts
// the executions of each action, which the tests check.
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

func (f *fleet) daemon(name string) (*Claims, *faultyStore) {
	s := &faultyStore{Store: f.store}
	logger, _ := test.NewNullLogger()
	c := New(Options{
		Store: s, Self: name, Settings: f.settings, Clock: f.clock,
		Registry: metrics.NewRegistry(), Logger: logger,
	})
	f.t.Cleanup(c.cancel)
	return c, s
}

func (f *fleet) key() uuid.UUID {
	key := uuid.Must(uuid.NewV7())
	ms := make([]byte, 8)
	binary.BigEndian.PutUint64(ms, uint64(f.clock.Now().UnixMilli()))
	copy(key[:6], ms[2:])
	return key
}

// run executes an action at the service.
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
