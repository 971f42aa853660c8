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

// journals runs actions through package claims, where the holder of a slot
// appends claims and outcomes to the slot's journal.
type journals struct {
	*liveDaemons
	links   []*link
	daemons []*claims.Claims
	mu      sync.Mutex
	owners  map[uuid.UUID]int
}

func newJournals(o options, links []*link) *journals {
	j := &journals{liveDaemons: newLiveDaemons(len(links)), links: links, owners: make(map[uuid.UUID]int)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for i, l := range links {
		j.daemons = append(j.daemons, claims.New(claims.Options{
			Store: l, Self: fmt.Sprint("daemon-", i), Settings: o.settings,
			Registry: metrics.NewRegistry(), Logger: logger,
		}))
	}
	return j
}

func (j *journals) issue() uuid.UUID { return newKey() }

// submit sends the action to the live daemon that holds its slot.
func (j *journals) submit(key uuid.UUID, dispatch claims.DispatchFunc) (claims.Result, *refusal.Refusal) {
	holder := j.nextLive(j.daemons[0].SlotOf(key))
	run := func(ctx context.Context) (claims.Result, error) {
		j.mu.Lock()
		j.owners[key] = holder
		j.mu.Unlock()
		return dispatch(ctx)
	}
	return j.daemons[holder].Do(context.Background(), claims.Action{Key: key}, run)
}

func (j *journals) owner(key uuid.UUID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.owners[key]
}

func (j *journals) kill(daemon int) {
	j.links[daemon].killed.Store(true)
	j.liveDaemons.kill(daemon)
}

func (j *journals) close() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, d := range j.daemons {
		_ = d.Shutdown(ctx)
	}
}
