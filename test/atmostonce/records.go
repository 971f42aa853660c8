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

// records keeps one record per action in the key-value service. The record is
// created before the action is sent and then set to the outcome. Deleting records
// after the retention costs no call here, as if many shared one lease.
type records struct {
	*liveDaemons
	links         []*link
	mu            sync.Mutex
	owners        map[uuid.UUID]int
	outcomeWrites sync.WaitGroup
}

func newRecords(links []*link) *records {
	return &records{liveDaemons: newLiveDaemons(len(links)), links: links, owners: make(map[uuid.UUID]int)}
}

// First byte of a record: a claim is followed by its nonce, an outcome by its
// status.
const (
	recordClaim   = 'c'
	recordOutcome = 'o'
)

func (rec *records) issue() uuid.UUID { return newKey() }

func (rec *records) submit(key uuid.UUID, dispatch claims.DispatchFunc) (claims.Result, *refusal.Refusal) {
	daemon := rec.randomLive()
	claimed, revision, r := rec.claim(daemon, key)
	if r != nil {
		return claims.Result{}, r
	}
	if !claimed {
		return rec.recordedResult(daemon, key)
	}
	rec.mu.Lock()
	rec.owners[key] = daemon
	rec.mu.Unlock()
	result, err := dispatch(context.Background())
	if err != nil || rec.isKilled(daemon) {
		return claims.Result{}, unconfirmed()
	}
	rec.outcomeWrites.Go(func() { rec.recordOutcome(daemon, key, revision, result) })
	return result, nil
}

// claim creates the record. claimed is false if there is one already.
func (rec *records) claim(daemon int, key uuid.UUID) (claimed bool, revision int64, r *refusal.Refusal) {
	value := binary.BigEndian.AppendUint64([]byte{recordClaim}, rand.Uint64())
	txn := kv.Txn{If: []kv.Compare{{Key: recordKey(key)}}, Then: []kv.Op{kv.Put(recordKey(key), value)}}
	deadline := time.Now().Add(claimWait)
	uncertain := false
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		result, err := rec.commit(daemon, txn)
		uncertain = uncertain || errors.Is(err, kv.ErrResultUnknown)
		if err == nil && result.Succeeded {
			return true, result.Revision, nil
		}
		if err == nil && uncertain {
			return rec.wroteRecord(daemon, key, value)
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

// wroteRecord reports whether the record has the value that this request tried to
// write, after a reply was lost.
func (rec *records) wroteRecord(daemon int, key uuid.UUID, value []byte) (bool, int64, *refusal.Refusal) {
	entry, err := rec.get(daemon, key)
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

// recordedResult returns the outcome stored in an existing record.
func (rec *records) recordedResult(daemon int, key uuid.UUID) (claims.Result, *refusal.Refusal) {
	entry, err := rec.get(daemon, key)
	if err != nil || entry.Value[0] != recordOutcome {
		return claims.Result{}, unconfirmed()
	}
	status := binary.BigEndian.Uint64(entry.Value[1:])
	return claims.Result{Status: int(status), Recorded: true}, nil
}

// recordOutcome writes the outcome and retries until the pause reaches
// maxRetryPause, which takes the place of the retention in these short runs.
func (rec *records) recordOutcome(daemon int, key uuid.UUID, revision int64, result claims.Result) {
	value := binary.BigEndian.AppendUint64([]byte{recordOutcome}, uint64(result.Status))
	txn := kv.Txn{
		If:   []kv.Compare{{Key: recordKey(key), ModRevision: revision}},
		Then: []kv.Op{kv.Put(recordKey(key), value)},
	}
	for pause := minRetryPause; pause < maxRetryPause; pause *= 2 {
		if _, err := rec.commit(daemon, txn); err == nil {
			return
		}
		time.Sleep(pause)
	}
}

func (rec *records) commit(daemon int, txn kv.Txn) (kv.TxnResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return rec.links[daemon].Commit(ctx, txn)
}

func (rec *records) get(daemon int, key uuid.UUID) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return rec.links[daemon].Get(ctx, recordKey(key))
}

func recordKey(key uuid.UUID) string { return "actions/" + key.String() }

func (rec *records) owner(key uuid.UUID) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.owners[key]
}

func (rec *records) kill(daemon int) {
	rec.links[daemon].killed.Store(true)
	rec.liveDaemons.kill(daemon)
}

func (rec *records) close() { rec.outcomeWrites.Wait() }
