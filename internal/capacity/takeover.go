package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/claims"
)

const (
	againstJournal = "actions in a slot's journal"
	// journalSlot is the claim slot whose journal is filled.
	journalSlot = 0
	// actionBatch is the number of actions that are claimed concurrently.
	actionBatch = 1000
	answerSize  = 128
)

var journalSizes = []int{500, 2_000, 8_000, 18_000}

// TakeOver measures how long another daemon needs to take over a claim slot,
// against the number of actions in the slot's journal.
func (e *Experiment) TakeOver(ctx context.Context) error {
	filled := 0
	for i, size := range journalSizes {
		holder := e.newClaims(fmt.Sprintf("capacity-%d", i))
		for filled < size {
			batch := min(actionBatch, size-filled)
			if err := runActions(ctx, holder, batch); err != nil {
				return err
			}
			filled += batch
		}
		if err := holder.Shutdown(ctx); err != nil {
			return err
		}
		if err := e.recordTakeOver(ctx, fmt.Sprintf("capacity-heir-%d", i), size); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) newClaims(name string) *claims.Claims {
	logger := logrus.New()
	logger.SetLevel(logrus.ErrorLevel)
	return claims.New(claims.Options{
		Store: e.store, Self: name, Settings: claims.DefaultSettings(), Registry: metrics.NewRegistry(), Logger: logger,
	})
}

func (e *Experiment) recordTakeOver(ctx context.Context, name string, size int) error {
	before, err := e.KVState(ctx)
	if err != nil {
		return err
	}
	successor := e.newClaims(name)
	begun := time.Now()
	if err := runActions(ctx, successor, 1); err != nil {
		return err
	}
	taken := time.Since(begun).Seconds()
	after, err := e.KVState(ctx)
	if err != nil {
		return err
	}
	heap := heapOf(func() *claims.Claims {
		other := e.newClaims(name + "-memory")
		_ = runActions(ctx, other, 1)
		return other
	})
	e.recordAt(againstJournal, float64(size), "take-over of a slot: until its first action ran", "s", taken)
	e.recordAt(againstJournal, float64(size), "take-over of a slot: live heap of its holder", "B", heap)
	for _, c := range callsBetween(before, after) {
		e.recordAt(againstJournal, float64(size), "key-value "+c.kind+", take-over of a slot", "calls", float64(c.calls))
	}
	return successor.Shutdown(ctx)
}

// runActions runs count actions of journalSlot concurrently.
func runActions(ctx context.Context, holder *claims.Claims, count int) error {
	var group sync.WaitGroup
	failures := make([]error, count)
	for i := range count {
		key, err := keyOfSlot(holder)
		if err != nil {
			return err
		}
		group.Go(func() {
			action := claims.Action{Key: key, Workspace: workspaceName(0), Fingerprint: uint64(i)}
			if _, refused := holder.Do(ctx, action, answerAtOnce); refused != nil {
				failures[i] = refused
			}
		})
	}
	group.Wait()
	for _, failure := range failures {
		if failure != nil {
			return errors.Wrap(failure, "fill a journal")
		}
	}
	return nil
}

func answerAtOnce(context.Context) (claims.Result, error) {
	return claims.Result{Status: 200, Body: make([]byte, answerSize)}, nil
}

// keyOfSlot generates action keys until one belongs to journalSlot.
func keyOfSlot(holder *claims.Claims) (uuid.UUID, error) {
	for {
		key, err := uuid.NewV7()
		if err != nil || holder.SlotOf(key) == journalSlot {
			return key, errors.Wrap(err, "action key")
		}
	}
}
