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

// Bounds of one transaction and of the pauses between attempts.
const (
	maxTxnOps        = 100
	maxTxnBytes      = 900_000
	minCommitBackoff = 50 * time.Millisecond
	maxCommitBackoff = 2 * time.Second
)

// CommitterOptions configure a Committer.
type CommitterOptions struct {
	Store kv.Store
	// Author names who commits; conflicts show it to others.
	Author string
	// Above is a revision that the next one must exceed; zero means none. It is for
	// a service that was restored from an older copy, behind what daemons have.
	Above uint64
	// Now is the clock of commit times; nil means time.Now.
	Now func() time.Time
	// Nonce returns a new unique text; nil means a random UUID.
	Nonce func() string
	// Sleep pauses between attempts; nil means a timer.
	Sleep func(ctx context.Context, d time.Duration)
}

// Committer commits changes of declarations.
type Committer struct {
	options CommitterOptions
	reader  *Reader
}

// NewCommitter returns a Committer; it makes no call.
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

// plan is one commit, ready to be sent as often as needed.
type plan struct {
	base    uint64
	next    Manifest
	puts    []kv.Op // shards
	deletes []kv.Op // replaced shards
	commit  kv.Txn  // manifest, index and record
}

// Commit makes changes that were checked against the base revision. It returns
// the new revision, a *ConflictError when the declarations are at another
// revision, or ErrOutcomeUnknown when the context ended before a lost reply
// could be settled. Failures that can pass are retried until the context ends.
func (c *Committer) Commit(ctx context.Context, base uint64, changes []declare.Change) (uint64, error) {
	p, err := c.prepare(ctx, base, changes)
	if err != nil {
		return 0, err
	}
	if !p.staged() {
		p.commit.Then = append(p.commit.Then, p.puts...)
		p.commit.Then = append(p.commit.Then, p.deletes...)
		return c.settle(ctx, p)
	}
	if err := c.stage(ctx, p.puts); err != nil {
		return 0, err
	}
	revision, err := c.settle(ctx, p)
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
		Revision: max(base, c.options.Above) + 1, Nonce: c.options.Nonce(), Author: c.options.Author, CommittedAt: c.options.Now().UTC(),
	}}
	versions, err := c.prepareShards(ctx, p, changes)
	if err != nil {
		return nil, err
	}
	p.commit.If = []kv.Compare{{Key: keyManifest, ModRevision: modRevision}}
	p.commit.Then, err = headOps(p.next, index{p.next.Revision, versions}, changes)
	return p, err
}

// headOps returns the writes of manifest, index and record, and the removal of
// the record that is no longer kept.
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
	if next.Revision > keptRecords {
		ops = append(ops, kv.Delete(recordKey(next.Revision-keptRecords)))
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

// prepareShards adds the writes of all changed shards to the plan and returns
// the new versions of all shards.
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

// conflict names the newest commit, which came in while this one was prepared.
func (c *Committer) conflict(ctx context.Context, base uint64) error {
	head, err := c.reader.Head(ctx)
	if err != nil {
		return err
	}
	if head.Revision == base {
		return errors.New("index or shard doesn't fit the manifest: restore the configuration from a backup")
	}
	return &ConflictError{Base: base, Current: head}
}

// staged reports whether the shards don't fit into the commit's transaction.
func (p *plan) staged() bool {
	ops := len(p.puts) + len(p.deletes) + len(p.commit.Then)
	size := 0
	for _, op := range append(p.commit.Then[:len(p.commit.Then):len(p.commit.Then)], p.puts...) {
		size += len(op.Value)
	}
	return ops > maxTxnOps || size > maxTxnBytes
}

// settle sends the commit until its result is certain or the context ends.
func (c *Committer) settle(ctx context.Context, p *plan) (uint64, error) {
	pauses := newPauses()
	uncertain := false
	for {
		result, err := c.options.Store.Commit(ctx, p.commit)
		if err == nil && result.Succeeded {
			return p.next.Revision, nil
		}
		if err != nil && !passing(err) {
			return 0, err
		}
		uncertain = uncertain || errors.Is(err, kv.ErrResultUnknown)
		if err == nil || uncertain {
			settled, verifyErr := c.verify(ctx, p)
			if settled {
				return p.next.Revision, verifyErr
			}
			err = verifyErr
		}
		if ctx.Err() != nil {
			return 0, endOfCommit(uncertain, err)
		}
		c.options.Sleep(ctx, pauses.NextBackOff())
	}
}

// verify reads back whether the commit was made. settled is false while that
// can't be told; a conflict is settled with an error.
func (c *Committer) verify(ctx context.Context, p *plan) (settled bool, err error) {
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
	case errors.Is(err, ErrNotKept):
		return true, ErrOutcomeUnknown
	case err != nil:
		return false, err
	case record.Nonce == p.next.Nonce:
		return true, nil
	default:
		return true, &ConflictError{Base: p.base, Current: head}
	}
}

func endOfCommit(uncertain bool, err error) error {
	if uncertain {
		return ErrOutcomeUnknown
	}
	if err == nil {
		err = kv.ErrUnavailable
	}
	return errors.WithMessage(err, "nothing was committed")
}

// passing reports whether a call can succeed later.
func passing(err error) bool {
	return errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrRateLimited) || errors.Is(err, kv.ErrResultUnknown)
}

func newPauses() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = minCommitBackoff
	pauses.MaxInterval = maxCommitBackoff
	return pauses
}
