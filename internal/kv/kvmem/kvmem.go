// Package kvmem implements an in-memory kv.Store with fault injection, for tests
// and for programs that run without the platform.
package kvmem

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// Fault is the fault injected into one call.
type Fault int

// Faults. FaultRefused and FaultRateLimited reject the call. FaultReplyLost applies
// a write and reports its result as unknown.
const (
	FaultNone Fault = iota
	FaultRefused
	FaultRateLimited
	FaultReplyLost
	// FaultRequestLost drops a write without applying it and reports its result as
	// unknown.
	FaultRequestLost
)

// Call identifies a method of the Store in Options.Fault.
type Call string

// Calls of a Store.
const (
	CallGet       Call = "get"
	CallList      Call = "list"
	CallCommit    Call = "commit"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keepalive"
	CallRevoke    Call = "revoke"
	CallWatch     Call = "watch"
)

// Options configure a Store.
type Options struct {
	// Fault returns the fault to inject and is called before each call of the
	// Store; nil means no faults.
	Fault func(Call) Fault
	// Now is the clock for lease expiry; nil means time.Now.
	Now func() time.Time
}

// Store is an in-memory kv.Store. It is safe for concurrent use.
type Store struct {
	options Options

	mu       sync.Mutex
	revision int64
	entries  map[string]kv.Entry
	leases   map[kv.LeaseID]*lease
	history  []kv.Event
	// changed is closed and replaced at each change.
	changed chan struct{}
	// compacted is the highest revision whose events have been dropped.
	compacted int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ kv.Store = (*Store)(nil)

// New returns an empty Store.
func New(options Options) *Store {
	if options.Fault == nil {
		options.Fault = func(Call) Fault { return FaultNone }
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Store{
		options: options, entries: make(map[string]kv.Entry),
		leases: make(map[kv.LeaseID]*lease), changed: make(chan struct{}),
	}
}

// Get returns the entry of a key, or kv.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.readFault(ctx, CallGet); err != nil {
		return kv.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	entry, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, errors.WithMessage(kv.ErrNotFound, key)
	}
	return entry, nil
}

// List returns all entries with a key prefix in key order.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	if err := s.readFault(ctx, CallList); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	var out []kv.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, nil
}

// Commit runs a transaction.
func (s *Store) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	fault, err := s.writeFault(ctx, CallCommit)
	if err != nil {
		return kv.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	result, err := s.commitLocked(txn)
	if fault == FaultReplyLost {
		return kv.TxnResult{}, kv.ErrResultUnknown
	}
	return result, err
}

func (s *Store) commitLocked(txn kv.Txn) (kv.TxnResult, error) {
	for _, c := range txn.If {
		if s.entries[c.Key].ModRevision != c.ModRevision {
			return kv.TxnResult{Revision: s.revision}, nil
		}
	}
	for _, op := range txn.Then {
		if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
			return kv.TxnResult{}, kv.ErrLeaseExpired
		}
	}
	if len(txn.Then) > 0 {
		s.revision++
	}
	for _, op := range txn.Then {
		s.applyLocked(op)
	}
	s.notifyLocked()
	return kv.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

func (s *Store) applyLocked(op kv.Op) {
	before, exists := s.entries[op.Key]
	if op.Delete {
		if exists {
			delete(s.entries, op.Key)
			s.history = append(s.history, kv.Event{Entry: kv.Entry{Key: op.Key, ModRevision: s.revision}, Deleted: true})
		}
		return
	}
	entry := kv.Entry{Key: op.Key, Value: append([]byte(nil), op.Value...), CreateRevision: s.revision, ModRevision: s.revision, Lease: op.Lease}
	if exists {
		entry.CreateRevision = before.CreateRevision
	}
	s.entries[op.Key] = entry
	s.history = append(s.history, kv.Event{Entry: entry})
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	fault, err := s.writeFault(ctx, CallGrant)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := kv.LeaseID(s.revision)
	s.leases[id] = &lease{ttl: ttl, expires: s.options.Now().Add(ttl)}
	if fault == FaultReplyLost {
		return 0, kv.ErrResultUnknown
	}
	return id, nil
}

// KeepAlive renews a lease once and returns its remaining TTL.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	fault, err := s.writeFault(ctx, CallKeepAlive)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	l, ok := s.leases[id]
	if !ok {
		return 0, kv.ErrLeaseExpired
	}
	l.expires = s.options.Now().Add(l.ttl)
	if fault == FaultReplyLost {
		return 0, kv.ErrResultUnknown
	}
	return l.ttl, nil
}

// Revoke ends a lease and deletes the keys attached to it.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	fault, err := s.writeFault(ctx, CallRevoke)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLeaseLocked(id)
	if fault == FaultReplyLost {
		return kv.ErrResultUnknown
	}
	return nil
}

// Compact drops all events so far; a watch from an earlier revision gets
// kv.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

func (s *Store) expireLeasesLocked() {
	now := s.options.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.removeLeaseLocked(id)
		}
	}
}

func (s *Store) removeLeaseLocked(id kv.LeaseID) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, entry := range s.entries {
		if entry.Lease == id {
			s.applyLocked(kv.Delete(key))
		}
	}
	s.notifyLocked()
}

// Watch streams the changes of keys with a prefix after a revision.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan kv.WatchBatch, error) {
	if err := s.readFault(ctx, CallWatch); err != nil {
		return nil, err
	}
	out := make(chan kv.WatchBatch)
	go s.stream(ctx, prefix, after, out)
	return out, nil
}

func (s *Store) stream(ctx context.Context, prefix string, after int64, out chan<- kv.WatchBatch) {
	defer close(out)
	for {
		batch, changed := s.eventsSince(prefix, after)
		if batch.Err != nil || len(batch.Events) > 0 {
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
			if batch.Err != nil {
				return
			}
		}
		after = max(after, batch.Revision)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// eventsSince returns the events after a revision and a channel that is closed at
// the next change.
func (s *Store) eventsSince(prefix string, after int64) (kv.WatchBatch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := kv.WatchBatch{Revision: s.revision}
	if after < s.compacted {
		batch.Err = kv.ErrCompacted
		return batch, s.changed
	}
	for _, event := range s.history {
		if event.Entry.ModRevision > after && strings.HasPrefix(event.Entry.Key, prefix) {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, s.changed
}

func (s *Store) readFault(ctx context.Context, call Call) error {
	if ctx.Err() != nil {
		return errors.WithMessage(kv.ErrUnavailable, ctx.Err().Error())
	}
	switch s.options.Fault(call) {
	case FaultNone:
		return nil
	case FaultRateLimited:
		return kv.ErrRateLimited
	default:
		return kv.ErrUnavailable
	}
}

func (s *Store) writeFault(ctx context.Context, call Call) (Fault, error) {
	if ctx.Err() != nil {
		return FaultRefused, errors.WithMessage(kv.ErrUnavailable, ctx.Err().Error())
	}
	fault := s.options.Fault(call)
	switch fault {
	case FaultRefused:
		return fault, kv.ErrUnavailable
	case FaultRateLimited:
		return fault, kv.ErrRateLimited
	case FaultRequestLost:
		return fault, kv.ErrResultUnknown
	default:
		return fault, nil
	}
}
