// Package configstore stores the declarations in the key-value service and updates
// each process to the newest revision.
//
// Layout: the manifest holds the newest revision and is the only key that commits
// are conditional on; the index holds the current version of each shard; the shards
// hold the objects; each revision has a record with its changes, and the newest
// records are retained. A commit writes the manifest, the index and the record in one
// transaction, and also the shards if they fit; otherwise the shards are written
// before it.
package configstore

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/declare"
)

// Keys and key prefixes in the key-value service.
const (
	keyManifest  = "config/manifest"
	keyIndex     = "config/index"
	prefixChange = "config/change/"
	prefixShard  = "config/shard/"
)

const (
	// shardCount is the number of shards that the objects are distributed over.
	shardCount = 256
	// retainedRecords is the number of revisions whose records are retained.
	retainedRecords = 1000
	// maxValueBytes limits the size of one value in the key-value service.
	maxValueBytes = 1_000_000
	// maxRecordBytes limits the size of a record. A larger one is stored without its
	// changes and marked as oversized.
	maxRecordBytes = 128 << 10
)

// Manifest describes the newest commit.
type Manifest struct {
	// Revision increases with each commit, by one unless CommitterOptions.AboveRevision
	// requires a higher one; zero means that nothing has been committed.
	Revision uint64 `json:"revision"`
	// Nonce identifies the commit, so that a committer whose response was lost can
	// recognize its own.
	Nonce string `json:"nonce"`
	// Author is the name of the committer.
	Author string `json:"author"`
	// CommittedAt is the commit time by the committer's clock.
	CommittedAt time.Time `json:"committed_at"`
}

// Record holds the changes of one revision.
type Record struct {
	Manifest
	Changes []declare.Change `json:"changes,omitempty"`
	// Oversized is set if the changes exceed the size limit of a record and are left
	// out; readers load a full copy instead.
	Oversized bool `json:"oversized,omitempty"`
}

// FullCopy holds all declarations at one revision.
type FullCopy struct {
	Revision     uint64                `json:"revision"`
	Declarations *declare.Declarations `json:"declarations"`
}

// index holds the current version of each shard, which is the last part of the
// shard's key. An empty version means that the shard has not been written and has no
// objects.
type index struct {
	Revision uint64   `json:"revision"`
	Versions []string `json:"versions"`
}

func recordKey(revision uint64) string { return fmt.Sprintf("%s%020d", prefixChange, revision) }

func shardKey(shard int, version string) string {
	return fmt.Sprintf("%s%03d/%s", prefixShard, shard, version)
}

// shardVersion returns the version of the shards that a commit writes.
func shardVersion(revision uint64, nonce string) string {
	return fmt.Sprintf("%020d-%s", revision, nonce)
}

// versionRevision returns the revision in the key of a shard, or false if the key has
// none.
func versionRevision(key string) (uint64, bool) {
	version := key[strings.LastIndexByte(key, '/')+1:]
	digits, _, ok := strings.Cut(version, "-")
	if !ok {
		return 0, false
	}
	revision, err := strconv.ParseUint(digits, 10, 64)
	return revision, err == nil
}

// shardOf returns the shard of the object that a change applies to.
func shardOf(c declare.Change) int { return int(xxhash.Sum64String(c.ObjectPath()) % shardCount) }

func decode(key string, data []byte, out any) error {
	return errors.Wrapf(json.Unmarshal(data, out), "%s in the key-value service can't be decoded: restore it from a backup", key)
}

func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(data) > maxValueBytes {
		return nil, errors.WithMessagef(ErrTooLarge, "%d bytes", len(data))
	}
	return data, nil
}
