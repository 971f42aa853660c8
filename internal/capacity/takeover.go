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
	// filledSlot is the claim slot whose journal is filled.
	filledSlot = 0
	// fillBatch is the number of actions that are claimed at the same time.
	fillBatch  = 1000
	answerSize = 128
)

var journalSizes = []int{500, 2_000, 8_000, 18_000}

// TakeOver measures how long another daemon needs to take a claim slot over,
// by the number of actions in the slot's journal.
func (e *Experiment) TakeOver(ctx context.Context) error {
	filled := 0
	for i, size := range journalSizes {
		holder := e.newClaims(fmt.Sprintf("capacity-%d", i))
		for filled < size {
			batch := min(fillBatch, size-filled)
			if err := fill(ctx, holder, batch); err != nil {
				return err
			}
			filled += batch
		}
		if err := holder.Shutdown(ctx); err != nil {
			return err
		}
		if err := e.noteTakeOver(ctx, fmt.Sprintf("capacity-heir-%d", i), size); err != nil {
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

func (e *Experiment) noteTakeOver(ctx context.Context, name string, size int) error {
	before, err := e.KVState(ctx)
	if err != nil {
		return err
	}
	heir := e.newClaims(name)
	begun := time.Now()
	if err := fill(ctx, heir, 1); err != nil {
		return err
	}
	taken := time.Since(begun).Seconds()
	after, err := e.KVState(ctx)
	if err != nil {
		return err
	}
	heap := heapOf(func() *claims.Claims {
		other := e.newClaims(name + "-memory")
		_ = fill(ctx, other, 1)
		return other
	})
	e.noteAt(againstJournal, float64(size), "take-over of a slot: until its first action ran", "s", taken)
	e.noteAt(againstJournal, float64(size), "take-over of a slot: live heap of its holder", "B", heap)
	for _, c := range callsBetween(before, after) {
		e.noteAt(againstJournal, float64(size), "key-value "+c.kind+", take-over of a slot", "calls", float64(c.calls))
	}
	return heir.Shutdown(ctx)
}

// fill runs actions of the filled slot, all at the same time.
func fill(ctx context.Context, holder *claims.Claims, count int) error {
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

// keyOfSlot makes action keys until one belongs to the filled slot.
func keyOfSlot(holder *claims.Claims) (uuid.UUID, error) {
	for {
		key, err := uuid.NewV7()
		if err != nil || holder.SlotOf(key) == filledSlot {
			return key, errors.Wrap(err, "action key")
		}
	}
}
