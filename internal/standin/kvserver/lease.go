package kvserver

import (
	"sort"
	"time"
)

// grant creates a lease and returns its ID. If id is zero, the store assigns one.
func (s *store) grant(now time.Time, id int64, ttl time.Duration) (int64, error) {
	if id == 0 {
		s.nextLease++
		id = s.nextLease
	}
	if s.leases[id] != nil {
		return 0, ErrLeaseExists
	}
	s.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl), keys: make(map[string]struct{})}
	return id, nil
}

// renew resets the expiry of a lease to its full time to live, which it returns.
func (s *store) renew(now time.Time, id int64) (time.Duration, error) {
	l := s.leases[id]
	if l == nil {
		return 0, ErrLeaseNotFound
	}
	l.expires = now.Add(l.ttl)
	return l.ttl, nil
}

// revoke deletes a lease together with its keys, all at one revision.
func (s *store) revoke(id int64) error {
	l := s.leases[id]
	if l == nil {
		return ErrLeaseNotFound
	}
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	revision := s.revision + 1
	for _, key := range keys {
		s.applyDelete(deleteRequest{Key: []byte(key)}, revision)
	}
	delete(s.leases, id)
	return nil
}

// expire revokes the leases whose expiry has passed and returns their number.
func (s *store) expire(now time.Time) int {
	var due []int64
	for id, l := range s.leases {
		if !l.expires.After(now) {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, id := range due {
		_ = s.revoke(id)
	}
	return len(due)
}

// nextExpiry returns the earliest expiry of all leases, or false if there are no
// leases.
func (s *store) nextExpiry() (time.Time, bool) {
	var first time.Time
	for _, l := range s.leases {
		if first.IsZero() || l.expires.Before(first) {
			first = l.expires
		}
	}
	return first, !first.IsZero()
}

// unknownLeaseTTL is the TTL that timetolive reports for an unknown lease.
const unknownLeaseTTL Int64 = -1

// timeToLive returns the remaining and granted TTL of a lease, and its keys if the
// request asks for them.
func (s *store) timeToLive(now time.Time, req leaseRequest) leaseResponse {
	resp := leaseResponse{Header: s.header(), ID: req.ID, TTL: unknownLeaseTTL}
	l := s.leases[int64(req.ID)]
	if l == nil {
		return resp
	}
	resp.TTL = ttlSeconds(l.expires.Sub(now))
	resp.GrantedTTL = ttlSeconds(l.ttl)
	if !req.Keys {
		return resp
	}
	for key := range l.keys {
		resp.Keys = append(resp.Keys, []byte(key))
	}
	sort.Slice(resp.Keys, func(i, j int) bool { return string(resp.Keys[i]) < string(resp.Keys[j]) })
	return resp
}
