// Package configstore keeps the declarations in the key-value service and
// brings each process to the newest revision.
//
// Layout: the manifest names the newest revision and is the only key that
// commits compare; the index names the current version of each shard; shards
// hold the objects; each revision has one record with its changes, of which the
// newest are kept. A commit writes all of them in one transaction.
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

// Keys in the service.
const (
	keyManifest  = "config/manifest"
	keyIndex     = "config/index"
	prefixChange = "config/change/"
	prefixShard  = "config/shard/"
)

const (
	// shardCount is the number of shards that objects are spread over.
	shardCount = 256
	// keptRecords is the number of revisions whose changes are kept.
	keptRecords = 1000
	// maxValueBytes bounds one value in the service.
	maxValueBytes = 1_000_000
	// maxRecordBytes bounds a record; one with more changes only says so.
	maxRecordBytes = 128 << 10
)

// Manifest names the newest revision.
type Manifest struct {
	// Revision rises by one with each commit; zero means none yet.
	Revision uint64 `json:"revision"`
	// Nonce identifies the commit.
	Nonce string `json:"nonce"`
	// Author is who committed it.
	Author string `json:"author"`
	// CommittedAt is the committer's clock.
	CommittedAt time.Time `json:"committed_at"`
}

// Record is the changes of one revision.
type Record struct {
	Manifest
	Changes []declare.Change `json:"changes,omitempty"`
	// Oversized is set when the changes are too many for a record; readers load
	// the whole.
	Oversized bool `json:"oversized,omitempty"`
}

// FullCopy is all declarations at one revision.
type FullCopy struct {
	Revision     uint64                `json:"revision"`
	Declarations *declare.Declarations `json:"declarations"`
}

// index names the version of each shard, which is the last part of its key; an
// empty version means that the shard has no objects.
type index struct {
	Revision uint64   `json:"revision"`
	Versions []string `json:"versions"`
}

func recordKey(revision uint64) string { return fmt.Sprintf("%s%020d", prefixChange, revision) }

func shardKey(shard int, version string) string {
	return fmt.Sprintf("%s%03d/%s", prefixShard, shard, version)
}

// shardVersion names the version of a shard that one commit writes.
func shardVersion(revision uint64, nonce string) string {
	return fmt.Sprintf("%020d-%s", revision, nonce)
}

// versionRevision returns the revision in a shard's key, or false.
func versionRevision(key string) (uint64, bool) {
	version := key[strings.LastIndexByte(key, '/')+1:]
	digits, _, ok := strings.Cut(version, "-")
	if !ok {
		return 0, false
	}
	revision, err := strconv.ParseUint(digits, 10, 64)
	return revision, err == nil
}

// shardOf returns the shard of an object.
func shardOf(c declare.Change) int { return int(xxhash.Sum64String(c.ObjectPath()) % shardCount) }

func decode(what string, data []byte, out any) error {
	return errors.Wrapf(json.Unmarshal(data, out), "%s in the key-value service is damaged: restore it from a backup", what)
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
