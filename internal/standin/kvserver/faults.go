package kvserver

import (
	"net/http"
	"strings"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Faults configures fault injection. The zero value injects no faults.
type Faults struct {
	// Outage fails every call and closes all watches.
	Outage standin.Outage `json:"outage"`
	// DelayMS is the delay before each call is applied, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseWriteReplies is the number of upcoming writes that are applied but
	// whose connection is cut instead of a reply. Each such write decrements it.
	LoseWriteReplies int `json:"lose_write_replies"`
	// LoseWritePrefix limits LoseWriteReplies to writes of keys with this prefix.
	LoseWritePrefix string `json:"lose_write_prefix"`
	// WatchDelayMS is the delay before each batch of watch events, in milliseconds.
	WatchDelayMS int `json:"watch_delay_ms"`
}

// Action is the body of POST /admin/actions: one-shot operations and faults.
type Action struct {
	// EndWatches closes the connections of all watches.
	EndWatches bool `json:"end_watches"`
	// DropWatchEvents is the number of upcoming changes that are not sent to any
	// watch.
	DropWatchEvents int `json:"drop_watch_events"`
	// ExpireLeases lists leases to expire immediately.
	ExpireLeases []Int64 `json:"expire_leases"`
	// ExpireAllLeases expires every lease immediately.
	ExpireAllLeases bool `json:"expire_all_leases"`
	// CompactRevision compacts the history up to and including a revision. A
	// negative value, such as -1, compacts all of it.
	CompactRevision Int64 `json:"compact_revision"`
}

// Act performs an action.
func (s *Server) Act(a Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.hideNext += a.DropWatchEvents
	for _, id := range s.leasesToExpire(a) {
		if s.store.revoke(id) == nil {
			s.state.LeasesExpired++
		}
	}
	if a.CompactRevision < 0 {
		s.store.compact(s.store.revision)
	} else {
		s.store.compact(int64(a.CompactRevision))
	}
	if a.EndWatches {
		s.endWatchesLocked()
	}
	s.changedLocked()
}

func (s *Server) endWatchesLocked() {
	close(s.watchesEnded)
	s.watchesEnded = make(chan struct{})
}

// faultsChanged closes all watches if an outage is set.
func (s *Server) faultsChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.Faults.Get()
	if f.Outage == standin.OutageNone {
		return
	}
	s.endWatchesLocked()
}

func (s *Server) leasesToExpire(a Action) []int64 {
	var ids []int64
	for _, id := range a.ExpireLeases {
		ids = append(ids, int64(id))
	}
	if a.ExpireAllLeases {
		for id := range s.store.leases {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *Server) serveActions(w http.ResponseWriter, r *http.Request) {
	var action Action
	if standin.ReadStrictJSON(w, r, &action) != nil {
		return
	}
	s.Act(action)
	w.WriteHeader(http.StatusNoContent)
}

// losesReply reports whether the reply to a write of these keys is to be
// dropped, and decrements LoseWriteReplies if so.
func (s *Server) losesReply(keys [][]byte) bool {
	lost := false
	s.Faults.Update(func(f *Faults) {
		if f.LoseWriteReplies > 0 && anyBelow(keys, f.LoseWritePrefix) {
			f.LoseWriteReplies--
			lost = true
		}
	})
	return lost
}

func anyBelow(keys [][]byte, prefix string) bool {
	for _, key := range keys {
		if strings.HasPrefix(string(key), prefix) {
			return true
		}
	}
	return prefix == ""
}

func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

func (f Faults) watchDelay() time.Duration {
	return time.Duration(f.WatchDelayMS) * time.Millisecond
}
