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

// keyHolder names the holder of the stewards' lease. Its revision in the
// service is the fence.
const keyHolder = "steward/holder"

const (
	// renewalsPerLease is how often a lease is renewed within its time.
	renewalsPerLease = 3
	revokeTimeout    = time.Second
)

// holder is the value of keyHolder.
type holder struct {
	Name  string `json:"name"`
	Nonce string `json:"nonce"`
}

// election holds the lease for as long as it can, again and again.
type election struct {
	store kv.Store
	name  string
	ttl   time.Duration
	// resign receives a value when the lease is to be given up.
	resign chan struct{}
	// emit passes orders.Elected, orders.Renewed and orders.Lost on.
	emit func(orders.Event)
}

func (e *election) run(ctx context.Context) {
	for ctx.Err() == nil {
		if id, ok := e.campaign(ctx); ok {
			e.hold(ctx, id)
			e.emit(orders.LeaseLost{})
			e.revoke(ctx, id)
		}
		_ = pause.For(ctx, e.ttl/4+rand.N(e.ttl/4+1))
	}
}

// campaign tries once to become the holder.
func (e *election) campaign(ctx context.Context) (kv.LeaseID, bool) {
	ctx, cancel := context.WithTimeout(ctx, e.ttl)
	defer cancel()
	if _, err := e.store.Get(ctx, keyHolder); !errors.Is(err, kv.ErrNotFound) {
		return 0, false
	}
	asked := time.Now()
	id, err := e.store.Grant(ctx, e.ttl)
	if err != nil {
		return 0, false
	}
	fence, err := e.claim(ctx, id)
	if err != nil || fence == 0 {
		e.revoke(ctx, id)
		return 0, false
	}
	e.emit(orders.Elected{Fence: fence, Until: asked.Add(e.ttl)})
	return id, true
}

// claim creates the holder's key and returns its revision, or zero when another
// process came first. A lost reply is settled by reading the key back.
func (e *election) claim(ctx context.Context, id kv.LeaseID) (int64, error) {
	own := holder{Name: e.name, Nonce: uuid.NewString()}
	value, err := json.Marshal(own)
	if err != nil {
		return 0, errors.Wrap(err, "encode holder")
	}
	result, err := e.store.Commit(ctx, kv.Txn{
		If:   []kv.Compare{{Key: keyHolder}},
		Then: []kv.Op{{Key: keyHolder, Value: value, Lease: id}},
	})
	if err == nil && result.Succeeded {
		return result.Revision, nil
	}
	if err == nil || !errors.Is(err, kv.ErrResultUnknown) {
		return 0, err
	}
	entry, err := e.store.Get(ctx, keyHolder)
	if err != nil {
		return 0, err
	}
	var current holder
	if err := json.Unmarshal(entry.Value, &current); err != nil || current != own {
		return 0, err
	}
	return entry.ModRevision, nil
}

// hold renews the lease until it is lost, given up, or the context ends.
func (e *election) hold(ctx context.Context, id kv.LeaseID) {
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
		asked := time.Now()
		left, err := e.renew(ctx, id)
		switch {
		case err == nil:
			until = asked.Add(left)
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

// revoke ends the lease, also after the context has ended; a failure leaves it
// to run out.
func (e *election) revoke(ctx context.Context, id kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = e.store.Revoke(ctx, id)
}
