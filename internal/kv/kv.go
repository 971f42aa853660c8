// Package kv defines the narrow interface to the platform's key-value service:
// transactions, leases and watches. Adapters live in subpackages.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. Callers test for them with errors.Is.
var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("key not found in the key-value service")
	// ErrUnavailable means that the call was not applied for certain: no
	// connection could be made, or the service answered that it is down.
	ErrUnavailable = errors.New("key-value service unavailable and the call was not applied: retry later")
	// ErrResultUnknown means that the call may have been applied: the reply was
	// lost. Read the key back before a retry.
	ErrResultUnknown = errors.New("key-value reply lost, the call may have been applied: read the key back")
	// ErrRateLimited means that the service refused the call for its rate; it
	// was not applied.
	ErrRateLimited = errors.New("key-value service refused the call for its rate: retry after a pause")
	// ErrLeaseExpired means that the lease is gone with all keys attached to it.
	ErrLeaseExpired = errors.New("lease expired: grant a new one")
	// ErrCompacted means that a watch asked for events that are no longer kept.
	ErrCompacted = errors.New("watch position no longer kept: list the prefix and watch from there")
)

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Entry is one key with its value. Revisions are those of the service.
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

// Txn applies all writes when all conditions hold, and none otherwise.
type Txn struct {
	If   []Compare
	Then []Op
}

// TxnResult reports whether the conditions held, and the service's revision.
type TxnResult struct {
	Succeeded bool
	Revision  int64
}

// Event is one change seen by a watch. Deleted events carry no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// WatchBatch is a group of events, in order. Err is set on the last batch of a
// watch that ended for another reason than its context.
type WatchBatch struct {
	Events   []Event
	Revision int64
	Err      error
}

// Store is the platform's key-value service. Each call counts against the
// service's rates, and a waiting watch counts as one call.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below a prefix in key order, with the revision
	// that a Watch can continue from.
	List(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its remaining time.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch streams the changes below a prefix after a revision. The channel
	// closes when the context ends or after a batch with Err set.
	Watch(ctx context.Context, prefix string, after int64) (<-chan WatchBatch, error)
}
