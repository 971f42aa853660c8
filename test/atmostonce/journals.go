package main

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// journals is package claims: the holder of a slot appends to its journal.
type journals struct {
	*live
	links   []*link
	daemons []*claims.Claims
	mu      sync.Mutex
	owners  map[uuid.UUID]int
}

func newJournals(o options, links []*link) *journals {
	w := &journals{live: newLive(len(links)), links: links, owners: make(map[uuid.UUID]int)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for i, l := range links {
		w.daemons = append(w.daemons, claims.New(claims.Options{
			Store: l, Self: fmt.Sprint("daemon-", i), Settings: o.settings,
			Registry: metrics.NewRegistry(), Logger: logger,
		}))
	}
	return w
}

func (w *journals) issue() uuid.UUID { return newKey() }

// do sends the action to the live holder of its slot.
func (w *journals) do(key uuid.UUID, dispatch claims.DispatchFunc) (claims.Result, *refusal.Refusal) {
	holder := w.at(w.daemons[0].SlotOf(key))
	run := func(ctx context.Context) (claims.Result, error) {
		w.mu.Lock()
		w.owners[key] = holder
		w.mu.Unlock()
		return dispatch(ctx)
	}
	return w.daemons[holder].Do(context.Background(), claims.Action{Key: key}, run)
}

func (w *journals) owner(key uuid.UUID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owners[key]
}

func (w *journals) kill(daemon int) {
	w.links[daemon].dead.Store(true)
	w.live.kill(daemon)
}

func (w *journals) close() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, d := range w.daemons {
		_ = d.Shutdown(ctx)
	}
}
