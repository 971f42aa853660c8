package main

import (
	"context"
	"sync"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// incarnations hands out keys that name the one daemon which may run them. The
// daemon remembers them in memory; nothing is written.
type incarnations struct {
	*live
	mu      sync.Mutex
	actions map[uuid.UUID]*action
}

type action struct {
	ended  chan struct{}
	result claims.Result
	err    error
}

func newIncarnations(daemons int) *incarnations {
	return &incarnations{live: newLive(daemons), actions: make(map[uuid.UUID]*action)}
}

// issue puts the daemon into the key's last byte.
func (w *incarnations) issue() uuid.UUID {
	key := newKey()
	key[len(key)-1] = byte(w.random())
	return key
}

func (w *incarnations) owner(key uuid.UUID) int { return int(key[len(key)-1]) }

func (w *incarnations) do(key uuid.UUID, dispatch claims.DispatchFunc) (claims.Result, *refusal.Refusal) {
	if w.isDead(w.owner(key)) {
		return claims.Result{}, unconfirmed()
	}
	a, first := w.action(key)
	if first {
		a.result, a.err = dispatch(context.Background())
		close(a.ended)
	}
	<-a.ended
	if a.err != nil || w.isDead(w.owner(key)) {
		return claims.Result{}, unconfirmed()
	}
	result := a.result
	result.Recorded = !first
	return result, nil
}

func (w *incarnations) action(key uuid.UUID) (a *action, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.actions[key]
	if !ok {
		a = &action{ended: make(chan struct{})}
		w.actions[key] = a
	}
	return a, !ok
}

func (w *incarnations) close() {}
