package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// design is a design under measurement, run by several daemons in this process.
type design interface {
	// issue returns the key of a new action.
	issue() uuid.UUID
	// submit sends or resends an action through a live daemon.
	submit(key uuid.UUID, dispatch claims.DispatchFunc) (claims.Result, *refusal.Refusal)
	// owner returns the daemon that runs or ran an action.
	owner(key uuid.UUID) int
	// kill stops a daemon: its calls fail, and its responses are discarded.
	kill(daemon int)
	close()
}

func newDesign(name string, o options, links []*link) (design, error) {
	switch name {
	case "record":
		return newRecords(links), nil
	case "journal":
		return newJournals(o, links), nil
	case "incarnation":
		return newIncarnations(o.daemons), nil
	default:
		return nil, errors.Errorf("-ways: %q is none of record, journal, incarnation", name)
	}
}

// errDaemonKilled is the error of a killed daemon's calls to the key-value
// service.
var errDaemonKilled = errors.WithMessage(kv.ErrUnavailable, "daemon was killed")

// link is one daemon's connection to the key-value service.
type link struct {
	kv.Store
	killed atomic.Bool
}

func (l *link) Get(ctx context.Context, key string) (kv.Entry, error) {
	if l.killed.Load() {
		return kv.Entry{}, errDaemonKilled
	}
	return l.Store.Get(ctx, key)
}

func (l *link) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	if l.killed.Load() {
		return nil, 0, errDaemonKilled
	}
	return l.Store.List(ctx, prefix)
}

func (l *link) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if l.killed.Load() {
		return kv.TxnResult{}, errDaemonKilled
	}
	return l.Store.Commit(ctx, txn)
}

// liveDaemons records which of the daemons were killed.
type liveDaemons struct {
	mu     sync.Mutex
	killed map[int]bool
	total  int
}

func newLiveDaemons(daemons int) *liveDaemons {
	return &liveDaemons{killed: make(map[int]bool), total: daemons}
}

func (l *liveDaemons) kill(daemon int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed[daemon] = true
}

func (l *liveDaemons) isKilled(daemon int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.killed[daemon]
}

// nextLive returns the given daemon, or the next live one if it was killed.
func (l *liveDaemons) nextLive(daemon int) int {
	for l.isKilled(daemon % l.total) {
		daemon++
	}
	return daemon % l.total
}

func (l *liveDaemons) randomLive() int { return l.nextLive(rand.IntN(l.total)) }

// Limits of the baselines, equal to the defaults of package claims.
const (
	claimWait     = 2 * time.Second
	callTimeout   = time.Second
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

func newKey() uuid.UUID { return uuid.Must(uuid.NewV7()) }

func notRun() *refusal.Refusal {
	return refusal.New(refusal.ClaimsUnavailable, "not claimed in time")
}

func unconfirmed() *refusal.Refusal {
	return refusal.NewUnknown(refusal.ActionUnconfirmed, "claimed without an outcome")
}
