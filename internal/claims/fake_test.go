package claims

import (
	"context"
	"encoding/binary"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// memoryStore is a kv.Store without leases and watches.
type memoryStore struct {
	kv.Store
	mu       sync.Mutex
	revision int64
	entries  map[string]kv.Entry
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]kv.Entry{}} }

func (s *memoryStore) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return e, kv.ErrNotFound
	}
	return e, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]kv.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []kv.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, nil
}

func (s *memoryStore) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.If {
		if s.entries[c.Key].ModRevision != c.ModRevision {
			return kv.TxnResult{Revision: s.revision}, nil
		}
	}
	s.revision++
	for _, op := range txn.Then {
		if op.Delete {
			delete(s.entries, op.Key)
			continue
		}
		s.entries[op.Key] = kv.Entry{Key: op.Key, Value: op.Value, ModRevision: s.revision}
	}
	return kv.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

// link is one daemon's connection to the store, with switchable faults.
type link struct {
	*memoryStore
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
	return l.memoryStore.Get(ctx, key)
}

func (l *link) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	l.wait()
	if l.down.Load() {
		return nil, 0, kv.ErrUnavailable
	}
	return l.memoryStore.List(ctx, prefix)
}

func (l *link) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	l.wait()
	if l.down.Load() {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	result, err := l.memoryStore.Commit(ctx, txn)
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
	t     *testing.T
	store *memoryStore
	clock offsetClock

	mu         sync.Mutex
	executions map[uuid.UUID]int
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t: t, store: newMemoryStore(), clock: offsetClock{offset: new(atomic.Int64)},
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
	l := &link{memoryStore: f.store}
	logger, _ := test.NewNullLogger()
	c := New(Options{
		Store: l, Self: name, Settings: testSettings(), Clock: f.clock,
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
