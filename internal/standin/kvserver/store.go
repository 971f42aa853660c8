package kvserver

import (
	"bytes"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Errors of the store. Their messages are those of the real gateway.
var (
	ErrLeaseNotFound  = errors.New("etcdserver: requested lease not found")
	ErrLeaseExists    = errors.New("etcdserver: lease already exists")
	ErrTooLarge       = errors.New("etcdserver: request is too large")
	ErrEmptyKey       = errors.New("etcdserver: key is not provided")
	ErrDuplicateKey   = errors.New("etcdserver: duplicate key given in txn request")
	ErrInvalidCompare = errors.New("etcdserver: invalid compare in txn request")
	ErrCompacted      = errors.New("etcdserver: mvcc: required revision has been compacted")
)

// change is one entry of the revision history.
type change struct {
	revision int64
	deleted  bool
	// hidden excludes the change from all watches.
	hidden bool
	kv     keyValue
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// store is the state of the service: keys with revisions, a bounded history
// for watches, and leases. It is not safe for concurrent use.
type store struct {
	revision     int64
	compacted    int64
	historyLimit int
	keys         map[string]keyValue
	sortedKeys   []string
	history      []change
	// hideNext is the number of upcoming changes to hide from watches.
	hideNext  int
	leases    map[int64]*lease
	nextLease int64
}

func newStore(historyLimit int) *store {
	return &store{
		revision:     1,
		historyLimit: historyLimit,
		keys:         make(map[string]keyValue),
		leases:       make(map[int64]*lease),
		nextLease:    7_000_000,
	}
}

func (s *store) header() *responseHeader {
	return &responseHeader{ClusterID: 1, MemberID: 1, Revision: Int64(s.revision), RaftTerm: 1}
}

// inRange reports whether a key is in [from, end). An empty end selects the single
// key from; an end of one zero byte selects all keys greater than or equal to from.
func inRange(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	if bytes.Compare(key, from) < 0 {
		return false
	}
	if len(end) == 1 && end[0] == 0 {
		return true
	}
	return bytes.Compare(key, end) < 0
}

// find returns the entries of a range in key order.
func (s *store) find(from, end []byte) []keyValue {
	if len(end) == 0 {
		if kv, ok := s.keys[string(from)]; ok {
			return []keyValue{kv}
		}
		return nil
	}
	var out []keyValue
	first := sort.SearchStrings(s.sortedKeys, string(from))
	for _, key := range s.sortedKeys[first:] {
		if !inRange([]byte(key), from, end) {
			break
		}
		out = append(out, s.keys[key])
	}
	return out
}

func (s *store) rangeKeys(req rangeRequest) *rangeResponse {
	found := s.find(req.Key, req.RangeEnd)
	resp := &rangeResponse{Header: s.header(), Count: Int64(len(found))}
	if req.CountOnly {
		return resp
	}
	if req.Limit > 0 && int(req.Limit) < len(found) {
		found = found[:req.Limit]
		resp.More = true
	}
	if req.KeysOnly {
		for i := range found {
			found[i].Value = nil
		}
	}
	resp.Kvs = found
	return resp
}

// validatePut checks a put request without applying it.
func (s *store) validatePut(req putRequest) error {
	if len(req.Key) == 0 {
		return ErrEmptyKey
	}
	if len(req.Value) > MaxValueBytes {
		return ErrTooLarge
	}
	if req.Lease != 0 && s.leases[int64(req.Lease)] == nil {
		return ErrLeaseNotFound
	}
	return nil
}

// applyPut sets a key at a revision and returns the previous entry, or nil.
func (s *store) applyPut(req putRequest, revision int64) *keyValue {
	old, existed := s.keys[string(req.Key)]
	kv := keyValue{
		Key: req.Key, Value: req.Value, Lease: req.Lease, Version: old.Version + 1,
		CreateRevision: old.CreateRevision, ModRevision: Int64(revision),
	}
	if !existed {
		kv.CreateRevision = Int64(revision)
		s.insertSorted(string(req.Key))
	}
	s.detach(old)
	s.keys[string(req.Key)] = kv
	if req.Lease != 0 {
		s.leases[int64(req.Lease)].keys[string(req.Key)] = struct{}{}
	}
	s.record(change{revision: revision, kv: kv})
	if !existed {
		return nil
	}
	return &old
}

// applyDelete deletes the keys in a range at a revision and returns their entries.
func (s *store) applyDelete(req deleteRequest, revision int64) []keyValue {
	found := s.find(req.Key, req.RangeEnd)
	for _, kv := range found {
		s.detach(kv)
		delete(s.keys, string(kv.Key))
		s.removeSorted(string(kv.Key))
		s.record(change{revision: revision, deleted: true, kv: keyValue{Key: kv.Key, ModRevision: Int64(revision)}})
	}
	return found
}

func (s *store) insertSorted(key string) {
	at := sort.SearchStrings(s.sortedKeys, key)
	s.sortedKeys = slices.Insert(s.sortedKeys, at, key)
}

func (s *store) removeSorted(key string) {
	at := sort.SearchStrings(s.sortedKeys, key)
	s.sortedKeys = slices.Delete(s.sortedKeys, at, at+1)
}

// detach removes a key from the lease it is attached to, if any.
func (s *store) detach(kv keyValue) {
	if l := s.leases[int64(kv.Lease)]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// record appends a change to the history and sets the store's revision to that of
// the change. A history above its limit is compacted to about half the limit.
func (s *store) record(c change) {
	s.revision = c.revision
	if s.hideNext > 0 {
		s.hideNext--
		c.hidden = true
	}
	s.history = append(s.history, c)
	if len(s.history) > s.historyLimit {
		s.compact(s.history[len(s.history)-s.historyLimit/2-1].revision)
	}
}

// compact drops the history up to and including a revision.
func (s *store) compact(revision int64) {
	if revision > s.revision {
		revision = s.revision
	}
	if revision <= s.compacted {
		return
	}
	keep := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > revision })
	s.history = append([]change(nil), s.history[keep:]...)
	s.compacted = revision
}

// changesFrom returns the changes in a key range, starting at a revision. Hidden
// changes are left out.
func (s *store) changesFrom(revision int64, from, end []byte) ([]change, error) {
	if revision <= s.compacted {
		return nil, ErrCompacted
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= revision })
	var out []change
	for _, c := range s.history[first:] {
		if !c.hidden && inRange(c.kv.Key, from, end) {
			out = append(out, c)
		}
	}
	return out, nil
}

// put validates and applies a put request.
func (s *store) put(req putRequest) (*putResponse, error) {
	if err := s.validatePut(req); err != nil {
		return nil, err
	}
	old := s.applyPut(req, s.revision+1)
	resp := &putResponse{Header: s.header()}
	if req.PrevKv {
		resp.PrevKv = old
	}
	return resp, nil
}

// deleteRange applies a delete request.
func (s *store) deleteRange(req deleteRequest) *deleteResponse {
	removed := s.applyDelete(req, s.revision+1)
	resp := &deleteResponse{Header: s.header(), Deleted: Int64(len(removed))}
	if req.PrevKv {
		resp.PrevKvs = removed
	}
	return resp
}
