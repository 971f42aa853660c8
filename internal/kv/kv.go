// Package kv defines the interface to the platform's key-value service: reads,
// transactions, leases and watches. Implementations are in subpackages.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. Callers test for them with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found in the key-value service")
	// ErrUnavailable means that the call was certainly not applied: no connection
	// could be made, or the service responded that it is down.
	ErrUnavailable = errors.New("key-value service unavailable and the call was not applied: retry later")
	// ErrResultUnknown means that the response was lost and the call may have been
	// applied. Read the key back before a retry.
	ErrResultUnknown = errors.New("key-value response lost, the call may have been applied: read the key back")
	// ErrRateLimited means that the service rejected the call because of its rate
	// limit; the call was not applied.
	ErrRateLimited = errors.New("key-value service rate limit exceeded and the call was not applied: retry after a pause")
	// ErrLeaseExpired means that the lease no longer exists and that all keys
	// attached to it were deleted.
	ErrLeaseExpired = errors.New("lease expired: grant a new one")
	// ErrCompacted means that a watch asked for events that have been compacted.
	ErrCompacted = errors.New("watch revision compacted: list the prefix and watch from the returned revision")
	// ErrRestored means that the service was restored from an older copy during the
	// call, so that its result or condition is about a state that is gone.
	ErrRestored = errors.New("key-value service was restored from an older copy during the call: read the keys again")
)

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Entry is one key with its value. The revisions are assigned by the service; see
// JoinRevision for services that return from older copies.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Compare is one condition of a transaction: the key's ModRevision must equal
// ModRevision. Zero means that the key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Op is one write of a transaction.
type Op struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// Put returns an Op that sets a key.
func Put(key string, value []byte) Op { return Op{Key: key, Value: value} }

// Delete returns an Op that removes a key.
func Delete(key string) Op { return Op{Key: key, Delete: true} }

// Txn applies all writes of Then atomically if all conditions of If hold, and
// none otherwise.
type Txn struct {
	If   []Compare
	Then []Op
}

// TxnResult reports whether the conditions held, and the service's revision after
// the transaction.
type TxnResult struct {
	Succeeded bool
	Revision  int64
}

// Event is one change reported by a watch. Events with Deleted set carry no
// value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// WatchBatch is an ordered group of events. Err is set on the last batch if the
// watch ended for a reason other than its context.
type WatchBatch struct {
	Events   []Event
	Revision int64
	Err      error
}

// Store is a client of the platform's key-value service. Each call counts against
// the service's rate limits, and an open watch counts as one call.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries with a key prefix in key order, and the revision
	// from which a Watch can continue.
	List(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its remaining TTL.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch streams the changes of keys with a prefix after a revision. The channel
	// is closed when the context ends or after a batch with Err set.
	Watch(ctx context.Context, prefix string, after int64) (<-chan WatchBatch, error)
}
