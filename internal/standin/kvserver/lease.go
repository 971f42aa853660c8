package kvserver

import (
	"sort"
	"time"
)

// grant creates a lease. A zero identifier asks for a new one.
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

// renew extends a lease by its time to live, which it returns.
func (s *store) renew(now time.Time, id int64) (time.Duration, error) {
	l := s.leases[id]
	if l == nil {
		return 0, ErrLeaseNotFound
	}
	l.expires = now.Add(l.ttl)
	return l.ttl, nil
}

// revoke ends a lease and removes its keys at one revision.
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

// expire ends the leases that are due and returns their number.
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

// nextExpiry returns the earliest end of a lease, and false without leases.
func (s *store) nextExpiry() (time.Time, bool) {
	var first time.Time
	for _, l := range s.leases {
		if first.IsZero() || l.expires.Before(first) {
			first = l.expires
		}
	}
	return first, !first.IsZero()
}

// noTimeLeft is the time to live that is told for an unknown lease.
const noTimeLeft Int64 = -1

// timeToLive describes a lease.
func (s *store) timeToLive(now time.Time, req leaseRequest) leaseResponse {
	resp := leaseResponse{Header: s.header(), ID: req.ID, TTL: noTimeLeft}
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
