package configstore

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// stage writes the shards of a large commit before the commit itself. The index
// doesn't refer to them yet, so readers ignore them.
func (c *Committer) stage(ctx context.Context, puts []kv.Op) error {
	for _, batch := range splitOps(puts) {
		if err := c.writeWithRetry(ctx, batch); err != nil {
			return errors.WithMessage(err, "nothing was committed")
		}
	}
	return nil
}

// writeWithRetry sends idempotent writes until they are applied, fail permanently, or
// the context ends.
func (c *Committer) writeWithRetry(ctx context.Context, ops []kv.Op) error {
	retryBackoff := newRetryBackoff()
	for {
		_, err := c.options.Store.Commit(ctx, kv.Txn{Then: ops})
		if err == nil || !isTransient(err) || ctx.Err() != nil {
			return err
		}
		c.options.Sleep(ctx, retryBackoff.NextBackOff())
	}
}

// splitOps splits writes into batches within the limits of one transaction.
func splitOps(ops []kv.Op) [][]kv.Op {
	var batches [][]kv.Op
	var batch []kv.Op
	size := 0
	for _, op := range ops {
		if len(batch) == maxTxnOps || (len(batch) > 0 && size+len(op.Value) > maxTxnBytes) {
			batches = append(batches, batch)
			batch, size = nil, 0
		}
		batch = append(batch, op)
		size += len(op.Value)
	}
	if len(batch) > 0 {
		batches = append(batches, batch)
	}
	return batches
}

// clean deletes shard versions that the index doesn't refer to: after a conflict the
// staged ones; after a commit the replaced ones, and those that other committers
// staged without completing their commit. If it fails, the next large commit deletes
// them.
func (c *Committer) clean(ctx context.Context, p *plan, commitErr error) {
	if errors.Is(commitErr, ErrConflict) {
		_ = c.remove(ctx, p.puts)
		return
	}
	if commitErr != nil {
		return
	}
	var current index
	if _, err := c.reader.read(ctx, keyIndex, &current); err != nil {
		return
	}
	entries, _, err := c.options.Store.List(ctx, prefixShard)
	if err != nil {
		return
	}
	_ = c.remove(ctx, unusedShards(current, entries))
}

// unusedShards returns the shard versions up to the index's revision that the index
// doesn't refer to. Later ones may be staged for a commit in progress.
func unusedShards(current index, entries []kv.Entry) []kv.Op {
	used := make(map[string]bool, len(current.Versions))
	for shard, version := range current.Versions {
		used[shardKey(shard, version)] = true
	}
	var out []kv.Op
	for _, entry := range entries {
		revision, ok := versionRevision(entry.Key)
		if ok && revision <= current.Revision && !used[entry.Key] && strings.HasPrefix(entry.Key, prefixShard) {
			out = append(out, kv.Op{Key: entry.Key})
		}
	}
	return out
}

func (c *Committer) remove(ctx context.Context, ops []kv.Op) error {
	deletes := make([]kv.Op, 0, len(ops))
	for _, op := range ops {
		deletes = append(deletes, kv.Delete(op.Key))
	}
	for _, batch := range splitOps(deletes) {
		if err := c.writeWithRetry(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}
