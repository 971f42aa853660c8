package edge

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/boottime"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/origins"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// originWriteTimeout bounds the write of a record, originRetry is the pause after one
	// that failed.
	originWriteTimeout = 500 * time.Millisecond
	originRetry        = 250 * time.Millisecond
	// originWriteTries is how often a record is written with the revision or the lease that
	// the store turns out to have.
	originWriteTries = 3
	// originLease is how long the record of a router outlasts it: longer than its streams
	// can be taken up. renewOriginLease lets it be renewed in time.
	originLease      = 2 * time.Minute
	renewOriginLease = 30 * time.Second
)

// isStreamRecord reports whether a key is that of a router's record of streams. Other routers
// read these when they need them; they are not among the records that routers copy.
func (e *Edge) isStreamRecord(key string) bool {
	return strings.HasPrefix(key, e.options.Provider.OriginsKey()+"/")
}

// originReader reads the records of versions and streams.
type originReader struct{ edge *Edge }

var _ origins.Reader = originReader{}

// ReadOrigins implements origins.Reader. Records that can't be decoded are left out.
func (r originReader) ReadOrigins(ctx context.Context) (origins.Contents, error) {
	contents := origins.Contents{At: boottime.Now()}
	key := r.edge.options.Provider.OriginsKey()
	entries, revision, err := r.edge.options.Store.List(ctx, key)
	if err != nil {
		return contents, err
	}
	contents.Era = kv.EraOf(revision)
	for _, entry := range entries {
		switch {
		case entry.Key == key:
			contents.Served = r.edge.decodeServed(entry)
		case r.edge.isStreamRecord(entry.Key):
			record := &peerpb.StreamOrigins{}
			if err := proto.Unmarshal(entry.Value, record); err != nil {
				r.edge.logInvalidOrigins(entry, err)
				continue
			}
			contents.Streams = append(contents.Streams, record)
		}
	}
	return contents, nil
}

// decodeServed decodes the record of versions, nil if it is invalid.
func (e *Edge) decodeServed(entry kv.Entry) *peerpb.ServedVersions {
	record := &peerpb.ServedVersions{}
	if err := proto.Unmarshal(entry.Value, record); err != nil {
		e.logInvalidOrigins(entry, err)
		return nil
	}
	return record
}

func (e *Edge) logInvalidOrigins(entry kv.Entry, err error) {
	e.options.Log.Decision("invalid record of streams ignored", decisionlog.Fields{
		"key": entry.Key, "bytes": len(entry.Value), "error": err.Error(),
	})
}

// originWriter keeps this router's record of streams in the store. Each process has a record
// of its own, so that none replaces what an earlier one has left.
type originWriter struct {
	edge *Edge
	// key is that of the record, empty before the start.
	key string
	// revision is that of the record in the store, zero if there is none. It isn't known
	// after a write without a result, which may still be done.
	revision        int64
	revisionUnknown bool
	lease           kv.LeaseID
	renewedAt       time.Time
	failing         bool
	writes, failed  metrics.Counter
}

func newOriginWriter(e *Edge) *originWriter {
	return &originWriter{
		edge:   e,
		writes: metrics.GetOrRegisterCounter("origins.writes", e.options.Registry),
		failed: metrics.GetOrRegisterCounter("origins.write_failures", e.options.Registry),
	}
}

// run writes the record whenever it is due, until the context ends.
func (w *originWriter) run(ctx context.Context) error {
	tracker, options := w.edge.origins, &w.edge.options
	w.key = fmt.Sprintf("%s/%s/%x", options.Provider.OriginsKey(), options.Settings.Name, time.Now().UnixNano())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tracker.Due():
		}
		wait := w.edge.originInterval(w.edge.fleetSize())
		record, number := tracker.Record()
		if err := w.write(ctx, record); err != nil {
			w.failed.Inc(1)
			wait = originRetry
			w.logFailure(err, record)
			w.edge.post(streamsUnrecorded{record: record})
			tracker.Rewrite()
		} else {
			w.logSuccess(record)
			tracker.Written(number)
		}
		if pause.For(ctx, wait) != nil {
			return nil
		}
	}
}

// streamsUnrecorded tells the other routers of the streams that could not be recorded: all of
// them, or some by turns in a large fleet.
type streamsUnrecorded struct{ record *peerpb.StreamOrigins }

func (s streamsUnrecorded) apply(c *control, _ time.Time) {
	to := c.members.PeerAddresses()
	if len(to) >= smallFleetSize {
		to = c.members.Targets()
	}
	c.edge.link.SendStreams(to, s.record)
}

// write puts the record into the store.
func (w *originWriter) write(ctx context.Context, record *peerpb.StreamOrigins) error {
	if len(record.GetStreams()) == 0 && w.revision == 0 && !w.revisionUnknown {
		return nil
	}
	value, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, originWriteTimeout)
	defer cancel()
	for range originWriteTries {
		if err = w.prepare(ctx); err != nil {
			return err
		}
		w.writes.Inc(1)
		var done bool
		if done, err = w.commit(ctx, value); done || err != nil {
			return err
		}
	}
	return errors.Wrapf(kv.ErrResultUnknown, "the record %s is changed by others: only this process is expected to write it", w.key)
}

// prepare makes sure that the lease holds and the revision of the record is known.
func (w *originWriter) prepare(ctx context.Context) error {
	store, now := w.edge.options.Store, boottime.Now()
	if w.lease != 0 && now.Sub(w.renewedAt) >= renewOriginLease {
		_, err := store.KeepAlive(ctx, w.lease)
		switch {
		case errors.Is(err, kv.ErrLeaseExpired):
			w.lease = 0
		case err != nil:
			return err
		default:
			w.renewedAt = now
		}
	}
	if w.lease == 0 {
		lease, err := store.Grant(ctx, originLease)
		if err != nil {
			return err
		}
		w.lease, w.renewedAt = lease, now
	}
	if !w.revisionUnknown {
		return nil
	}
	entry, err := store.Get(ctx, w.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	w.revision, w.revisionUnknown = entry.ModRevision, false
	return nil
}

// commit writes the record if it is as this process has left it, so that a write without a
// result can't be done later in place of a newer one. It returns false if the revision or
// the lease has turned out to be another one.
func (w *originWriter) commit(ctx context.Context, value []byte) (done bool, err error) {
	put := kv.Put(w.key, value)
	put.Lease = w.lease
	result, err := w.edge.options.Store.Commit(ctx, kv.Txn{If: []kv.Compare{{Key: w.key, ModRevision: w.revision}}, Then: []kv.Op{put}})
	switch {
	case errors.Is(err, kv.ErrLeaseExpired):
		w.lease = 0
		return false, nil
	case err != nil:
		w.revisionUnknown = true
		return false, err
	case !result.Succeeded:
		w.revisionUnknown = true
		return false, nil
	}
	w.revision = result.Revision
	return true, nil
}

func (w *originWriter) logFailure(err error, record *peerpb.StreamOrigins) {
	if !w.failing {
		w.failing = true
		w.edge.options.Log.Failure("streams not recorded", err, decisionlog.Fields{"streams": countStreams(record)})
	}
}

func (w *originWriter) logSuccess(record *peerpb.StreamOrigins) {
	if w.failing {
		w.failing = false
		w.edge.options.Log.Lifecycle("streams recorded again", decisionlog.Fields{"streams": countStreams(record)})
	}
}

func countStreams(record *peerpb.StreamOrigins) int {
	n := 0
	for _, group := range record.GetStreams() {
		n += len(group.GetStreams())
	}
	return n
}
