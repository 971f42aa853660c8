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

// way is one design, run by a fleet of daemons in this process.
type way interface {
	// issue returns the key of a new action.
	issue() uuid.UUID
	// do sends an action, or sends it again, through any live daemon.
	do(key uuid.UUID, dispatch claims.DispatchFunc) (claims.Result, *refusal.Refusal)
	// owner returns the daemon that runs an action, or ran it.
	owner(key uuid.UUID) int
	// kill ends a daemon: nothing that it does reaches anybody any more.
	kill(daemon int)
	close()
}

func newWay(name string, o options, links []*link) (way, error) {
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

// errDead is what a killed daemon's calls end with.
var errDead = errors.WithMessage(kv.ErrUnavailable, "daemon is dead")

// link is one daemon's connection to the key-value service.
type link struct {
	kv.Store
	dead atomic.Bool
}

func (l *link) Get(ctx context.Context, key string) (kv.Entry, error) {
	if l.dead.Load() {
		return kv.Entry{}, errDead
	}
	return l.Store.Get(ctx, key)
}

func (l *link) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	if l.dead.Load() {
		return nil, 0, errDead
	}
	return l.Store.List(ctx, prefix)
}

func (l *link) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if l.dead.Load() {
		return kv.TxnResult{}, errDead
	}
	return l.Store.Commit(ctx, txn)
}

// live is the set of live daemons.
type live struct {
	mu   sync.Mutex
	dead map[int]bool
	all  int
}

func newLive(daemons int) *live { return &live{dead: make(map[int]bool), all: daemons} }

func (l *live) kill(daemon int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead[daemon] = true
}

func (l *live) isDead(daemon int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead[daemon]
}

// at returns a daemon, or the next live one.
func (l *live) at(daemon int) int {
	for l.isDead(daemon % l.all) {
		daemon++
	}
	return daemon % l.all
}

func (l *live) random() int { return l.at(rand.IntN(l.all)) }

// bounds of the baselines, equal to those of package claims.
const (
	claimWait   = 2 * time.Second
	callTimeout = time.Second
	firstPause  = 50 * time.Millisecond
	longPause   = 2 * time.Second
)

func newKey() uuid.UUID { return uuid.Must(uuid.NewV7()) }

func notRun() *refusal.Refusal {
	return refusal.New(refusal.ClaimsUnavailable, "not claimed in time")
}

func unconfirmed() *refusal.Refusal {
	return refusal.NewUnknown(refusal.ActionUnconfirmed, "claimed without an outcome")
}
