package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/pause"
)

const (
	// registrationLifetime is how long the record of a router outlives it. Other
	// routers go by digests; the record only tells where to look for them.
	registrationLifetime = 45 * time.Second
	// renewInterval leaves two renewals to fail.
	renewInterval = 15 * time.Second
	// registerRetry is the pause after a failure.
	registerRetry = 2 * time.Second
	// registerTimeout bounds one call.
	registerTimeout = 2 * time.Second
)

// register keeps this router's record in the store until the context ends.
func (e *Edge) register(ctx context.Context) error {
	var lease kv.LeaseID
	lost := false
	for {
		next, err := e.keepRegistered(ctx, lease)
		if ctx.Err() != nil {
			return nil
		}
		lease = next
		wait := renewInterval
		if err != nil {
			wait = registerRetry
		}
		if lost != (err != nil) {
			lost = err != nil
			e.logRegistration(err, lease)
		}
		if pause.For(ctx, wait) != nil {
			return nil
		}
	}
}

func (e *Edge) logRegistration(err error, lease kv.LeaseID) {
	if err != nil {
		e.options.Log.Failure("registration failed", err, decisionlog.Fields{"lease": lease})
		return
	}
	e.options.Log.Lifecycle("registered", decisionlog.Fields{"lease": lease})
}

// keepRegistered renews the lease, or grants one and writes the record.
func (e *Edge) keepRegistered(ctx context.Context, lease kv.LeaseID) (kv.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	store := e.options.Store
	if lease != 0 {
		_, err := store.KeepAlive(ctx, lease)
		if !errors.Is(err, kv.ErrLeaseExpired) {
			return lease, err
		}
	}
	lease, err := store.Grant(ctx, registrationLifetime)
	if err != nil {
		return 0, err
	}
	key, value := e.options.Provider.Registration(e.options.Settings.PeerAddress)
	put := kv.Put(key, value)
	put.Lease = lease
	// A lost reply is settled by the next write: the record is the same.
	if _, err := store.Commit(ctx, kv.Txn{Then: []kv.Op{put}}); err != nil {
		return 0, err
	}
	return lease, nil
}
