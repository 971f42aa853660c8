package kvserver

import (
	"net/http"
	"strings"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Faults are the switchable faults of the service. The zero value has none.
type Faults struct {
	// Outage fails every call and ends the watches.
	Outage standin.Outage `json:"outage"`
	// DelayMS is added before each call is applied, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseWriteReplies is the number of coming writes that are applied while
	// their reply is lost. It counts down.
	LoseWriteReplies int `json:"lose_write_replies"`
	// LoseWritePrefix limits LoseWriteReplies to writes of keys below a prefix.
	LoseWritePrefix string `json:"lose_write_prefix"`
	// WatchDelayMS is added before each batch of events, in milliseconds.
	WatchDelayMS int `json:"watch_delay_ms"`
}

// Action is the body of POST /admin/actions: things that happen once.
type Action struct {
	// EndWatches closes the connections of all watches.
	EndWatches bool `json:"end_watches"`
	// DropWatchEvents is the number of coming changes that no watch is sent.
	DropWatchEvents int `json:"drop_watch_events"`
	// ExpireLeases ends leases now.
	ExpireLeases []Int64 `json:"expire_leases"`
	// ExpireAllLeases ends every lease now.
	ExpireAllLeases bool `json:"expire_all_leases"`
	// CompactRevision drops the history up to a revision; -1 drops all of it.
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

// faultsChanged ends the watches when an outage begins.
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

// losesReply reports whether the reply to a write of these keys is lost, and
// counts it.
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
