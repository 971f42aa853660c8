package configstore

import (
	"context"
	"sort"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/kv"
)

const (
	// loadAttempts limits the attempts to read all declarations while commits replace
	// shards.
	loadAttempts = 8
	// maxRecordReads limits the records that are read one by one; a reader that is
	// further behind loads a full copy.
	maxRecordReads = 32
)

// Reader reads the declarations from the key-value service.
type Reader struct {
	store kv.Store
	// bytes counts the bytes of the values read.
	bytes metrics.Counter
}

// NewReader returns a Reader. It doesn't call the key-value service.
func NewReader(store kv.Store) *Reader {
	return &Reader{store: store, bytes: metrics.NilCounter{}}
}

// Head returns the manifest. Its revision is zero if nothing has been committed.
func (r *Reader) Head(ctx context.Context) (Manifest, error) {
	manifest, _, err := r.head(ctx)
	return manifest, err
}

// head also returns the ModRevision of the manifest in the key-value service, zero if
// there is no manifest.
func (r *Reader) head(ctx context.Context) (Manifest, int64, error) {
	var manifest Manifest
	entry, err := r.read(ctx, keyManifest, &manifest)
	return manifest, entry.ModRevision, err
}

// read decodes the value of a key into out. If the key doesn't exist, it leaves out
// unchanged and returns a zero Entry.
func (r *Reader) read(ctx context.Context, key string, out any) (kv.Entry, error) {
	entry, err := r.store.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return kv.Entry{}, nil
	}
	if err != nil {
		return kv.Entry{}, errors.WithMessage(err, "read "+key)
	}
	r.bytes.Inc(int64(len(entry.Value)))
	return entry, decode(key, entry.Value, out)
}

// LoadAll returns all declarations at one revision. If a commit during the read has
// deleted a shard version that it needs, it reads again.
func (r *Reader) LoadAll(ctx context.Context) (*FullCopy, error) {
	for range loadAttempts {
		current, err := r.loadOnce(ctx)
		if err != nil || current != nil {
			return current, err
		}
	}
	return nil, ErrChangedDuringRead
}

// loadOnce returns nil if a shard version in the index has been deleted already.
func (r *Reader) loadOnce(ctx context.Context) (*FullCopy, error) {
	var current index
	if _, err := r.read(ctx, keyIndex, &current); err != nil {
		return nil, err
	}
	entries, _, err := r.store.List(ctx, prefixShard)
	if err != nil {
		return nil, errors.WithMessage(err, "read shards")
	}
	shards := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		r.bytes.Inc(int64(len(entry.Value)))
		shards[entry.Key] = entry.Value
	}
	return assemble(current, shards)
}

func assemble(current index, shards map[string][]byte) (*FullCopy, error) {
	var changes []declare.Change
	for shard, version := range current.Versions {
		if version == "" {
			continue
		}
		data, ok := shards[shardKey(shard, version)]
		if !ok {
			return nil, nil
		}
		part, err := declare.Decode(data)
		if err != nil {
			return nil, err
		}
		changes = append(changes, part.Changes()...)
	}
	return &FullCopy{Revision: current.Revision, Declarations: declare.FromChanges(changes)}, nil
}

// ChangesAfter returns the records of all later revisions in order. It reads them one
// by one, and returns ErrNotRetained if they are too many or one of them isn't retained.
func (r *Reader) ChangesAfter(ctx context.Context, after uint64) ([]Record, error) {
	head, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Revision > after+maxRecordReads {
		return nil, ErrNotRetained
	}
	var records []Record
	for revision := after + 1; revision <= head.Revision; revision++ {
		record, err := r.Record(ctx, revision)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// Record returns the record of one revision, or ErrNotRetained.
func (r *Reader) Record(ctx context.Context, revision uint64) (Record, error) {
	var record Record
	if _, err := r.read(ctx, recordKey(revision), &record); err != nil {
		return Record{}, err
	}
	if record.Revision != revision {
		return Record{}, errors.WithMessagef(ErrNotRetained, "revision %d", revision)
	}
	return record, nil
}

// History returns the records of all later revisions in order, or ErrNotRetained if the
// first of them isn't retained. It reads all retained records, and is meant for
// operators' tools and not for daemons.
func (r *Reader) History(ctx context.Context, after uint64) ([]Record, error) {
	entries, _, err := r.store.List(ctx, prefixChange)
	if err != nil {
		return nil, errors.WithMessage(err, "read changes")
	}
	var records []Record
	for _, entry := range entries {
		var record Record
		if err := decode(entry.Key, entry.Value, &record); err != nil {
			return nil, err
		}
		if record.Revision > after {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Revision < records[j].Revision })
	if len(records) > 0 && records[0].Revision != after+1 {
		return nil, errors.WithMessagef(ErrNotRetained, "retained from revision %d", records[0].Revision)
	}
	return records, nil
}

// CheckOverlap returns a *ConflictError if the changes affect an object that was
// changed after the base revision, up to the current one.
func (r *Reader) CheckOverlap(ctx context.Context, base, current uint64, changes []declare.Change) error {
	if base >= current {
		return nil
	}
	records, err := r.History(ctx, base)
	if err != nil {
		return err
	}
	changed := make(map[string]bool, len(changes))
	for _, change := range changes {
		changed[change.ObjectPath()] = true
	}
	for _, record := range records {
		if record.Revision <= current && record.touches(changed) {
			return r.conflictSince(ctx, base)
		}
	}
	return nil
}

func (r *Reader) conflictSince(ctx context.Context, base uint64) error {
	head, err := r.Head(ctx)
	if err != nil {
		return err
	}
	return &ConflictError{Base: base, Current: head}
}

func (r Record) touches(objects map[string]bool) bool {
	if r.Oversized {
		return true
	}
	for _, change := range r.Changes {
		if objects[change.ObjectPath()] {
			return true
		}
	}
	return false
}
