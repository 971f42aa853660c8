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

// ErrLayoutDiffers means that the stored journals use another number of slots.
// With both numbers in use, one action could be claimed in two journals.
var ErrLayoutDiffers = errors.New("claims.slots differs from the stored layout: set the stored number, or refuse all actions for one retention and then delete the layout key")

const layoutKey = journalKeyRoot + "claims/layout"

// layout checks that all daemons hash actions to the same number of slots.
type layout struct {
	slots   int
	checked atomic.Bool
}

// check compares the configured number of slots with the stored one, and stores
// it if there is none. After a success it makes no further calls.
func (l *layout) check(ctx context.Context, store kv.Store) error {
	if l.checked.Load() {
		return nil
	}
	entry, err := store.Get(ctx, layoutKey)
	if errors.Is(err, kv.ErrNotFound) {
		// If the reply was lost, the read below returns the value in force.
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

// create stores the layout unless another daemon has already stored one.
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

// loadRefusal returns a refusal that names the remedy if a journal can't be
// loaded because of its content or layout, and nil for other errors, such as an
// outage.
func loadRefusal(err error) *refusal.Refusal {
	if errors.Is(err, ErrLayoutDiffers) || errors.Is(err, ErrJournalDamaged) {
		return refusal.New(refusal.ClaimsUnavailable, err.Error())
	}
	return nil
}
