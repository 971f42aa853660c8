package main

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// records keeps one record per action in the key-value service: created before
// the action is sent, and set to the outcome afterwards. The records' removal
// after the retention costs no call here, as with one lease for many.
type records struct {
	*live
	links  []*link
	mu     sync.Mutex
	owners map[uuid.UUID]int
	work   sync.WaitGroup
}

func newRecords(links []*link) *records {
	return &records{live: newLive(len(links)), links: links, owners: make(map[uuid.UUID]int)}
}

// Forms of a record: a claim with its nonce, or a status.
const (
	recordClaim   = 'c'
	recordOutcome = 'o'
)

func (w *records) issue() uuid.UUID { return newKey() }

func (w *records) do(key uuid.UUID, dispatch claims.DispatchFunc) (claims.Result, *refusal.Refusal) {
	daemon := w.random()
	claimed, revision, r := w.claim(daemon, key)
	if r != nil {
		return claims.Result{}, r
	}
	if !claimed {
		return w.known(daemon, key)
	}
	w.mu.Lock()
	w.owners[key] = daemon
	w.mu.Unlock()
	result, err := dispatch(context.Background())
	if err != nil || w.isDead(daemon) {
		return claims.Result{}, unconfirmed()
	}
	w.work.Go(func() { w.recordOutcome(daemon, key, revision, result) })
	return result, nil
}

// claim creates the record; claimed is false when there is one already.
func (w *records) claim(daemon int, key uuid.UUID) (claimed bool, revision int64, r *refusal.Refusal) {
	value := binary.BigEndian.AppendUint64([]byte{recordClaim}, rand.Uint64())
	txn := kv.Txn{If: []kv.Compare{{Key: recordKey(key)}}, Then: []kv.Op{kv.Put(recordKey(key), value)}}
	deadline := time.Now().Add(claimWait)
	uncertain := false
	for pause := firstPause; ; pause = min(2*pause, longPause) {
		result, err := w.commit(daemon, txn)
		uncertain = uncertain || errors.Is(err, kv.ErrResultUnknown)
		if err == nil && result.Succeeded {
			return true, result.Revision, nil
		}
		if err == nil && uncertain {
			return w.isOurs(daemon, key, value)
		}
		if err == nil {
			return false, 0, nil
		}
		if time.Now().Add(pause).After(deadline) {
			return false, 0, notRunOrUnknown(uncertain)
		}
		time.Sleep(pause)
	}
}

// isOurs settles a lost reply.
func (w *records) isOurs(daemon int, key uuid.UUID, value []byte) (bool, int64, *refusal.Refusal) {
	entry, err := w.get(daemon, key)
	if err != nil {
		return false, 0, unconfirmed()
	}
	return string(entry.Value) == string(value), entry.ModRevision, nil
}

func notRunOrUnknown(uncertain bool) *refusal.Refusal {
	if uncertain {
		return unconfirmed()
	}
	return notRun()
}

// known answers from a record that is there already.
func (w *records) known(daemon int, key uuid.UUID) (claims.Result, *refusal.Refusal) {
	entry, err := w.get(daemon, key)
	if err != nil || entry.Value[0] != recordOutcome {
		return claims.Result{}, unconfirmed()
	}
	status := binary.BigEndian.Uint64(entry.Value[1:])
	return claims.Result{Status: int(status), Recorded: true}, nil
}

// recordOutcome tries until the retention of a short run is over.
func (w *records) recordOutcome(daemon int, key uuid.UUID, revision int64, result claims.Result) {
	value := binary.BigEndian.AppendUint64([]byte{recordOutcome}, uint64(result.Status))
	txn := kv.Txn{
		If:   []kv.Compare{{Key: recordKey(key), ModRevision: revision}},
		Then: []kv.Op{kv.Put(recordKey(key), value)},
	}
	for pause := firstPause; pause < longPause; pause *= 2 {
		if _, err := w.commit(daemon, txn); err == nil {
			return
		}
		time.Sleep(pause)
	}
}

func (w *records) commit(daemon int, txn kv.Txn) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return w.links[daemon].Commit(ctx, txn)
}

func (w *records) get(daemon int, key uuid.UUID) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return w.links[daemon].Get(ctx, recordKey(key))
}

func recordKey(key uuid.UUID) string { return "actions/" + key.String() }

func (w *records) owner(key uuid.UUID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owners[key]
}

func (w *records) kill(daemon int) {
	w.links[daemon].dead.Store(true)
	w.live.kill(daemon)
}

func (w *records) close() { w.work.Wait() }
