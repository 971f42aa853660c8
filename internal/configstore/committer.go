package configstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/pause"
)

// Limits of one transaction, and bounds of the back-off between attempts.
const (
	maxTxnOps        = 100
	maxTxnBytes      = 900_000
	minCommitBackoff = 50 * time.Millisecond
	maxCommitBackoff = 2 * time.Second
)

// CommitterOptions configures a Committer.
type CommitterOptions struct {
	Store kv.Store
	// Author is the name of the committer. It is shown to other operators in conflict
	// errors.
	Author string
	// AboveRevision is a revision that the next one must exceed; zero means none. It is
	// needed after the key-value service was restored from a backup that is older
	// than the revision that daemons have applied.
	AboveRevision uint64
	// Now returns the commit time; nil means time.Now.
	Now func() time.Time
	// Nonce returns a new unique string; nil means a random UUID.
	Nonce func() string
	// Sleep waits between attempts; nil means a timer.
	Sleep func(ctx context.Context, d time.Duration)
}

// Committer commits changes of the declarations to the key-value service.
type Committer struct {
	options CommitterOptions
	reader  *Reader
}

// NewCommitter returns a Committer. It doesn't call the key-value service.
func NewCommitter(options CommitterOptions) *Committer {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Nonce == nil {
		options.Nonce = uuid.NewString
	}
	if options.Sleep == nil {
		options.Sleep = func(ctx context.Context, d time.Duration) { _ = pause.For(ctx, d) }
	}
	return &Committer{options: options, reader: NewReader(options.Store)}
}

// plan is one prepared commit. It can be sent repeatedly.
type plan struct {
	base    uint64
	next    Manifest
	puts    []kv.Op // new shard versions
	deletes []kv.Op // replaced shard versions
	commit  kv.Txn  // manifest, index and record, conditional on the manifest
}

// Commit commits changes that were validated against the base revision. It returns
// the new revision, a *ConflictError if the declarations are at another revision, or
// ErrOutcomeUnknown if a response was lost and it could not be determined whether the
// commit was applied, because the context ended or the record is no longer retained.
// Transient failures are retried until the context ends.
func (c *Committer) Commit(ctx context.Context, base uint64, changes []declare.Change) (uint64, error) {
	p, err := c.prepare(ctx, base, changes)
	if err != nil {
		return 0, err
	}
	if !p.needsStaging() {
		p.commit.Then = append(p.commit.Then, p.puts...)
		p.commit.Then = append(p.commit.Then, p.deletes...)
		return c.commitWithRetry(ctx, p)
	}
	if err := c.stage(ctx, p.puts); err != nil {
		return 0, err
	}
	revision, err := c.commitWithRetry(ctx, p)
	c.clean(ctx, p, err)
	return revision, err
}

func (c *Committer) prepare(ctx context.Context, base uint64, changes []declare.Change) (*plan, error) {
	head, modRevision, err := c.reader.head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Revision != base {
		return nil, &ConflictError{Base: base, Current: head}
	}
	p := &plan{base: base, next: Manifest{
		Revision: max(base, c.options.AboveRevision) + 1, Nonce: c.options.Nonce(), Author: c.options.Author, CommittedAt: c.options.Now().UTC(),
	}}
	versions, err := c.prepareShards(ctx, p, changes)
	if err != nil {
		return nil, err
	}
	p.commit.If = []kv.Compare{{Key: keyManifest, ModRevision: modRevision}}
	p.commit.Then, err = headOps(p.next, index{p.next.Revision, versions}, changes)
	return p, err
}

// headOps returns the writes of the manifest, index and record, and the deletion of
// the record that leaves the retention window.
func headOps(next Manifest, current index, changes []declare.Change) ([]kv.Op, error) {
	manifest, err := encode(next)
	if err != nil {
		return nil, err
	}
	versions, err := encode(current)
	if err != nil {
		return nil, err
	}
	record, err := encodeRecord(Record{Manifest: next, Changes: changes})
	if err != nil {
		return nil, err
	}
	ops := []kv.Op{kv.Put(keyManifest, manifest), kv.Put(keyIndex, versions), kv.Put(recordKey(next.Revision), record)}
	if next.Revision > retainedRecords {
		ops = append(ops, kv.Delete(recordKey(next.Revision-retainedRecords)))
	}
	return ops, nil
}

func encodeRecord(record Record) ([]byte, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(data) <= maxRecordBytes {
		return data, nil
	}
	return encode(Record{Manifest: record.Manifest, Oversized: true})
}

// prepareShards adds the writes of all changed shards to the plan. It returns the
// versions of all shards after the commit.
func (c *Committer) prepareShards(ctx context.Context, p *plan, changes []declare.Change) ([]string, error) {
	current := index{Versions: make([]string, shardCount)}
	if _, err := c.reader.read(ctx, keyIndex, &current); err != nil {
		return nil, err
	}
	if current.Revision != p.base {
		return nil, c.conflict(ctx, p.base)
	}
	for shard, part := range splitByShard(changes) {
		if err := c.prepareShard(ctx, p, &current, shard, part); err != nil {
			return nil, err
		}
	}
	return current.Versions, nil
}

func splitByShard(changes []declare.Change) map[int][]declare.Change {
	parts := make(map[int][]declare.Change)
	for _, change := range changes {
		shard := shardOf(change)
		parts[shard] = append(parts[shard], change)
	}
	return parts
}

func (c *Committer) prepareShard(ctx context.Context, p *plan, current *index, shard int, changes []declare.Change) error {
	before := &declare.Declarations{}
	if version := current.Versions[shard]; version != "" {
		key := shardKey(shard, version)
		entry, err := c.reader.read(ctx, key, before)
		if err != nil {
			return err
		}
		if entry.ModRevision == 0 {
			return c.conflict(ctx, p.base)
		}
		p.deletes = append(p.deletes, kv.Delete(key))
	}
	data, err := before.Apply(changes).Encode()
	if err != nil {
		return err
	}
	if len(data) > maxValueBytes {
		return errors.WithMessagef(ErrTooLarge, "shard %d has %d bytes", shard, len(data))
	}
	current.Versions[shard] = shardVersion(p.next.Revision, p.next.Nonce)
	p.puts = append(p.puts, kv.Put(shardKey(shard, current.Versions[shard]), data))
	return nil
}

// conflict returns a *ConflictError with the newest commit, which was made while this
// one was prepared. If the manifest is still at the base, the index or a shard is
// inconsistent with it.
func (c *Committer) conflict(ctx context.Context, base uint64) error {
	head, err := c.reader.Head(ctx)
	if err != nil {
		return err
	}
	if head.Revision == base {
		return errors.New("index or shard is inconsistent with the manifest: restore the configuration from a backup")
	}
	return &ConflictError{Base: base, Current: head}
}

// needsStaging reports whether the shards are too large or too many for the commit's
// transaction and have to be written before it.
func (p *plan) needsStaging() bool {
	ops := len(p.puts) + len(p.deletes) + len(p.commit.Then)
	size := 0
	for _, op := range append(p.commit.Then[:len(p.commit.Then):len(p.commit.Then)], p.puts...) {
		size += len(op.Value)
	}
	return ops > maxTxnOps || size > maxTxnBytes
}

// commitWithRetry sends the commit until its outcome is known or the context ends.
func (c *Committer) commitWithRetry(ctx context.Context, p *plan) (uint64, error) {
	retryBackoff := newRetryBackoff()
	uncertain := false
	for {
		result, err := c.options.Store.Commit(ctx, p.commit)
		if err == nil && result.Succeeded {
			return p.next.Revision, nil
		}
		if err != nil && !isTransient(err) {
			return 0, err
		}
		uncertain = uncertain || errors.Is(err, kv.ErrResultUnknown)
		if err == nil || uncertain {
			resolved, verifyErr := c.verify(ctx, p)
			if resolved {
				return p.next.Revision, verifyErr
			}
			err = verifyErr
		}
		if ctx.Err() != nil {
			return 0, commitError(uncertain, err)
		}
		c.options.Sleep(ctx, retryBackoff.NextBackOff())
	}
}

// verify reads back whether the commit was applied. resolved is false while the
// outcome is still open; a conflict is resolved and returned as an error.
func (c *Committer) verify(ctx context.Context, p *plan) (resolved bool, err error) {
	head, err := c.reader.Head(ctx)
	if err != nil {
		return false, err
	}
	switch {
	case head.Nonce == p.next.Nonce:
		return true, nil
	case head.Revision == p.base:
		return false, nil
	case head.Revision == p.next.Revision:
		return true, &ConflictError{Base: p.base, Current: head}
	}
	record, err := c.reader.Record(ctx, p.next.Revision)
	switch {
	case errors.Is(err, ErrNotRetained):
		return true, ErrOutcomeUnknown
	case err != nil:
		return false, err
	case record.Nonce == p.next.Nonce:
		return true, nil
	default:
		return true, &ConflictError{Base: p.base, Current: head}
	}
}

func commitError(uncertain bool, err error) error {
	if uncertain {
		return ErrOutcomeUnknown
	}
	if err == nil {
		err = kv.ErrUnavailable
	}
	return errors.WithMessage(err, "nothing was committed")
}

// isTransient reports whether a call that failed with err may succeed on a retry.
func isTransient(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrRateLimited) || errors.Is(err, kv.ErrResultUnknown)
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = minCommitBackoff
	retryBackoff.MaxInterval = maxCommitBackoff
	return retryBackoff
}
