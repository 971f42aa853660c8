package main

import (
	"context"
	"sync"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// incarnations issues keys that name the one daemon that may run the action. The
// daemon keeps the outcomes in memory; nothing is written to the key-value
// service.
type incarnations struct {
	*liveDaemons
	mu      sync.Mutex
	actions map[uuid.UUID]*action
}

type action struct {
	done   chan struct{}
	result claims.Result
	err    error
}

func newIncarnations(daemons int) *incarnations {
	return &incarnations{liveDaemons: newLiveDaemons(daemons), actions: make(map[uuid.UUID]*action)}
}

// issue stores the daemon's number in the key's last byte.
func (i *incarnations) issue() uuid.UUID {
	key := newKey()
	key[len(key)-1] = byte(i.randomLive())
	return key
}

func (i *incarnations) owner(key uuid.UUID) int { return int(key[len(key)-1]) }

func (i *incarnations) submit(key uuid.UUID, dispatch claims.DispatchFunc) (claims.Result, *refusal.Refusal) {
	if i.isKilled(i.owner(key)) {
		return claims.Result{}, unconfirmed()
	}
	a, first := i.action(key)
	if first {
		a.result, a.err = dispatch(context.Background())
		close(a.done)
	}
	<-a.done
	if a.err != nil || i.isKilled(i.owner(key)) {
		return claims.Result{}, unconfirmed()
	}
	result := a.result
	result.Recorded = !first
	return result, nil
}

func (i *incarnations) action(key uuid.UUID) (a *action, first bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a, ok := i.actions[key]
	if !ok {
		a = &action{done: make(chan struct{})}
		i.actions[key] = a
	}
	return a, !ok
}

func (i *incarnations) close() {}
