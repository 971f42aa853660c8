package edge

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// crashRecordRetry is the delay after a failed write of the record.
	crashRecordRetry = 2 * time.Second
	// crashRecordTimeout bounds one write of the record.
	crashRecordTimeout = 2 * time.Second
	// maxCrashRecordBytes bounds the records that are read.
	maxCrashRecordBytes = 64 << 10
)

// crashRecordState is this router's record of the crashes for which calls are refused.
// It outlasts the processes: after the loss of all routers, those that start would learn
// by further crashes which calls to refuse.
type crashRecordState struct {
	// struck is set if calls of this router were in flight at a crash since the last
	// write. Routers without such calls leave the writing to others.
	struck bool
	// stored identifies the strikes in the record, zero if there is no record.
	stored  uint64
	writing bool
	nextTry time.Time
	// applied are the revisions of the routers' records that were applied, by key.
	applied map[string]int64
}

// updateCrashRecord writes or deletes this router's record if the strikes have changed.
func (c *control) updateCrashRecord(now time.Time) {
	r := &c.crashRecord
	strikes := c.edge.balancer.BlamedStrikes()
	id := containment.IdentifyStrikes(strikes)
	if r.writing || now.Before(r.nextTry) || id == r.stored || id != 0 && !r.struck {
		return
	}
	r.writing, r.struck = true, false
	go func() {
		err := c.edge.writeCrashRecord(strikes)
		c.edge.post(crashRecordWritten{id: id, strikes: len(strikes), err: err})
	}()
}

// writeCrashRecord writes the record of the strikes, or deletes it if there are none.
func (e *Edge) writeCrashRecord(strikes []*peerpb.Strike) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashRecordTimeout)
	defer cancel()
	key, store := e.options.Provider.CrashRecordKey(), e.options.Store
	if len(strikes) == 0 {
		_, err := store.Commit(ctx, kv.Txn{Then: []kv.Op{kv.Delete(key)}})
		return err
	}
	value, err := proto.Marshal(&peerpb.StateResponse{Strikes: strikes})
	if err != nil {
		return err
	}
	settings := containment.DefaultSettings()
	lease, err := store.Grant(ctx, settings.RefusalTime.Std())
	if err != nil {
		return err
	}
	put := kv.Put(key, value)
	put.Lease = lease
	_, err = store.Commit(ctx, kv.Txn{Then: []kv.Op{put}})
	return err
}

type crashRecordWritten struct {
	id      uint64
	strikes int
	err     error
}

func (w crashRecordWritten) apply(c *control, now time.Time) {
	r := &c.crashRecord
	r.writing = false
	if w.err != nil {
		r.nextTry, r.struck = now.Add(crashRecordRetry), true
		c.edge.options.Log.Failure("crash record not written", w.err, decisionlog.Fields{"strikes": w.strikes})
		return
	}
	r.stored = w.id
	c.edge.options.Log.Decision("crash record written", decisionlog.Fields{"strikes": w.strikes})
}

// applyCrashRecords applies the strikes in the records of all routers. This router's own
// may be from before its start.
func (c *control) applyCrashRecords(records []kv.Entry) {
	r := &c.crashRecord
	listed := make(map[string]int64, len(records))
	for _, record := range records {
		listed[record.Key] = record.ModRevision
		if r.applied[record.Key] == record.ModRevision {
			continue
		}
		c.applyCrashRecord(record)
	}
	r.applied = listed
}

func (c *control) applyCrashRecord(record kv.Entry) {
	content := &peerpb.StateResponse{}
	if len(record.Value) > maxCrashRecordBytes || proto.Unmarshal(record.Value, content) != nil {
		c.edge.options.Log.Decision("invalid crash record ignored", decisionlog.Fields{"key": record.Key, "bytes": len(record.Value)})
		return
	}
	added := 0
	for _, strike := range content.GetStrikes()[:min(len(content.GetStrikes()), containment.MaxBlamedStrikes)] {
		if c.edge.balancer.ApplyStrike(strike) {
			added++
		}
	}
	if added > 0 {
		c.edge.options.Log.Decision("crash record applied", decisionlog.Fields{
			"key": record.Key, "revision": kv.RawRevision(record.ModRevision), "strikes": len(content.GetStrikes()), "new": added,
		})
	}
}
