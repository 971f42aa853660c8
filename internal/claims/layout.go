package claims

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/journalpb"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// ErrLayoutDiffers means that the journals were made with another number of
// slots: one action would have two journals.
var ErrLayoutDiffers = errors.New("claims.slots differs from the stored layout: set the stored number, or refuse all actions for one retention and then delete the layout key")

const layoutKey = journalKeyRoot + "claims/layout"

// layout makes sure that all daemons hash actions to the same slots.
type layout struct {
	slots   int
	checked atomic.Bool
}

// check compares the stored number of slots, or stores it the first time.
func (l *layout) check(ctx context.Context, store kv.Store) error {
	if l.checked.Load() {
		return nil
	}
	entry, err := store.Get(ctx, layoutKey)
	if errors.Is(err, kv.ErrNotFound) {
		// A lost reply is settled by the read that follows.
		if err := l.create(ctx, store); err != nil && !errors.Is(err, kv.ErrResultUnknown) {
			return err
		}
		entry, err = store.Get(ctx, layoutKey)
	}
	if err != nil {
		return err
	}
	return l.compare(entry.Value)
}

// create stores the layout unless another daemon has done so.
func (l *layout) create(ctx context.Context, store kv.Store) error {
	value, err := proto.Marshal(&journalpb.Layout{Slots: uint32(l.slots)})
	if err != nil {
		return err
	}
	_, err = store.Commit(ctx, kv.Txn{
		If:   []kv.Compare{{Key: layoutKey}},
		Then: []kv.Op{kv.Put(layoutKey, value)},
	})
	return err
}

func (l *layout) compare(value []byte) error {
	var stored journalpb.Layout
	if err := proto.Unmarshal(value, &stored); err != nil {
		return errors.WithMessage(ErrLayoutDiffers, err.Error())
	}
	if int(stored.GetSlots()) != l.slots {
		return errors.WithMessagef(ErrLayoutDiffers, "stored %d, set %d", stored.GetSlots(), l.slots)
	}
	l.checked.Store(true)
	return nil
}

// loadRefusal names the remedy when a journal can't be loaded for another
// reason than an outage, and is nil otherwise.
func loadRefusal(err error) *refusal.Refusal {
	if errors.Is(err, ErrLayoutDiffers) || errors.Is(err, ErrJournalDamaged) {
		return refusal.New(refusal.ClaimsUnavailable, err.Error())
	}
	return nil
}
