package steward

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/orders"
	"github.com/verbenatrail/verbenatrail/internal/pause"
)

// holderKey is the key of the lease holder's record. Its revision in the key-value
// service is the fence.
const holderKey = "steward/holder"

const (
	// renewalsPerLease is the number of renewals within one lease TTL.
	renewalsPerLease = 3
	revokeTimeout    = time.Second
)

// holder is the value of holderKey. The nonce is new in each attempt, so that
// a process can tell its own key from one of a process with the same name.
type holder struct {
	Name  string `json:"name"`
	Nonce string `json:"nonce"`
}

// election campaigns for the lease and renews it while this process holds it.
type election struct {
	store kv.Store
	name  string
	ttl   time.Duration
	// resign receives a value to make the holder give up the lease.
	resign chan struct{}
	// emit receives orders.Elected, orders.LeaseRenewed and orders.LeaseLost.
	emit func(orders.Event)
}

func (e *election) run(ctx context.Context) {
	for ctx.Err() == nil {
		if id, ok := e.campaign(ctx); ok {
			e.keepLease(ctx, id)
			e.emit(orders.LeaseLost{})
			e.revoke(ctx, id)
		}
		_ = pause.For(ctx, e.ttl/4+rand.N(e.ttl/4+1))
	}
}

// campaign tries once to acquire the lease.
func (e *election) campaign(ctx context.Context) (kv.LeaseID, bool) {
	ctx, cancel := context.WithTimeout(ctx, e.ttl)
	defer cancel()
	if _, err := e.store.Get(ctx, holderKey); !errors.Is(err, kv.ErrNotFound) {
		return 0, false
	}
	requestedAt := time.Now()
	id, err := e.store.Grant(ctx, e.ttl)
	if err != nil {
		return 0, false
	}
	fence, err := e.createHolderKey(ctx, id)
	if err != nil || fence == 0 {
		e.revoke(ctx, id)
		return 0, false
	}
	e.emit(orders.Elected{Fence: fence, Until: requestedAt.Add(e.ttl)})
	return id, true
}

// createHolderKey creates the holder's key and returns its revision, or zero if
// another process holds it. If the result of the commit is unknown, it reads the
// key back.
func (e *election) createHolderKey(ctx context.Context, id kv.LeaseID) (int64, error) {
	own := holder{Name: e.name, Nonce: uuid.NewString()}
	value, err := json.Marshal(own)
	if err != nil {
		return 0, errors.Wrap(err, "encode holder")
	}
	result, err := e.store.Commit(ctx, kv.Txn{
		If:   []kv.Compare{{Key: holderKey}},
		Then: []kv.Op{{Key: holderKey, Value: value, Lease: id}},
	})
	if err == nil && result.Succeeded {
		return result.Revision, nil
	}
	if err == nil || !errors.Is(err, kv.ErrResultUnknown) {
		return 0, err
	}
	entry, err := e.store.Get(ctx, holderKey)
	if err != nil {
		return 0, err
	}
	var current holder
	if err := json.Unmarshal(entry.Value, &current); err != nil || current != own {
		return 0, err
	}
	return entry.ModRevision, nil
}

// keepLease renews the lease until it expires, is given up, or the context ends.
func (e *election) keepLease(ctx context.Context, id kv.LeaseID) {
	until := time.Now().Add(e.ttl)
	ticker := time.NewTicker(e.ttl / renewalsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-e.resign:
			return
		case <-ctx.Done():
			return
		}
		requestedAt := time.Now()
		remaining, err := e.renew(ctx, id)
		switch {
		case err == nil:
			until = requestedAt.Add(remaining)
			e.emit(orders.LeaseRenewed{Until: until})
		case errors.Is(err, kv.ErrLeaseExpired), !time.Now().Before(until):
			return
		}
	}
}

func (e *election) renew(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, e.ttl/renewalsPerLease)
	defer cancel()
	return e.store.KeepAlive(ctx, id)
}

// revoke ends the lease, even if the context has ended. If the call fails, the
// lease expires after its TTL.
func (e *election) revoke(ctx context.Context, id kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = e.store.Revoke(ctx, id)
}
