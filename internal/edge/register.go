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
	// registrationLifetime is how long a router's record outlives the process. Other
	// routers detect failures by digests; the record only tells them the address.
	registrationLifetime = 45 * time.Second
	// renewInterval lets two renewals fail before the record expires.
	renewInterval = 15 * time.Second
	// registerRetry is the delay after a failed renewal or registration.
	registerRetry = 2 * time.Second
	// registerTimeout bounds one renewal or registration.
	registerTimeout = 2 * time.Second
)

// register keeps this router's record in the store until the context ends.
func (e *Edge) register(ctx context.Context) error {
	var lease kv.LeaseID
	failing := false
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
		if failing != (err != nil) {
			failing = err != nil
			e.logRegistration(err, lease)
		}
		lost, err := e.waitForRenewal(ctx, wait)
		if err != nil {
			return nil
		}
		if lost {
			lease = 0
		}
	}
}

// registrationLost tells that the store has lost this router's record and lease.
type registrationLost struct {
	// delay is when to write the record again, so that a fleet doesn't write at once.
	delay time.Duration
}

// waitForRenewal waits until the record has to be renewed or, if lost is true, to be
// written again. Its error is that of the context.
func (e *Edge) waitForRenewal(ctx context.Context, wait time.Duration) (lost bool, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false, nil
	case l := <-e.reregister:
		return true, pause.For(ctx, l.delay)
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (e *Edge) logRegistration(err error, lease kv.LeaseID) {
	if err != nil {
		e.options.Log.Failure("registration failed", err, decisionlog.Fields{"lease": lease})
		return
	}
	e.options.Log.Lifecycle("registered", decisionlog.Fields{"lease": lease})
}

// keepRegistered renews the lease. If there is none or it has expired, it grants one
// and writes the record.
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
	// If the reply is lost, the next attempt writes the same record.
	if _, err := store.Commit(ctx, kv.Txn{Then: []kv.Op{put}}); err != nil {
		return 0, err
	}
	return lease, nil
}
