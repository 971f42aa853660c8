package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// maxCacheEvents limits the retained events; beyond it the older half is
// dropped.
const maxCacheEvents = 20_000

// cacheEvent is an event and the time from which callers can see it.
type cacheEvent struct {
	event     engineapi.CacheEvent
	visibleAt time.Time
}

// eventLog publishes cache events with a delay and with gaps in the sequence
// numbers. It is not safe for concurrent use.
type eventLog struct {
	delay time.Duration
	// gapEvery drops each event whose sequence number is a multiple of it; zero
	// drops none.
	gapEvery int64
	sequence int64
	events   []cacheEvent
}

func (l *eventLog) add(now time.Time, kind string, node *cacheNode) {
	l.sequence++
	if l.gapEvery > 0 && l.sequence%l.gapEvery == 0 {
		return
	}
	event := engineapi.CacheEvent{
		Sequence: l.sequence, Kind: kind, PrefixHash: node.Hash, Tokens: node.Total,
	}
	l.events = append(l.events, cacheEvent{event: event, visibleAt: now.Add(l.delay)})
	if len(l.events) > maxCacheEvents {
		l.events = append([]cacheEvent(nil), l.events[maxCacheEvents/2:]...)
	}
}

// visible returns the events after a sequence number whose delay has passed.
func (l *eventLog) visible(now time.Time, after int64) []engineapi.CacheEvent {
	out := []engineapi.CacheEvent{}
	for _, e := range l.events {
		if e.event.Sequence > after && !e.visibleAt.After(now) {
			out = append(out, e.event)
		}
	}
	return out
}

// cacheTransfer is the body of an export, opaque to the caller, and of an
// import.
type cacheTransfer struct {
	Nodes []cacheNode `json:"nodes"`
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := queryAfter(r, 0)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "after is no number")
		return
	}
	s.mu.Lock()
	events := s.events.visible(s.clock.Now(), after)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, engineapi.CacheEvents{Events: events})
}

func (s *Server) serveCacheExport(w http.ResponseWriter, r *http.Request) {
	var export engineapi.CacheExport
	if standin.ReadJSON(w, r, &export) != nil {
		return
	}
	s.mu.Lock()
	nodes := s.cache.export(export.PrefixHash)
	s.state.CacheExports++
	s.mu.Unlock()
	if nodes == nil {
		standin.WriteError(w, http.StatusNotFound, "prefix not cached")
		return
	}
	if standin.Sleep(r.Context(), s.clock, s.transferTime(nodes)) != nil {
		return
	}
	standin.WriteJSON(w, http.StatusOK, cacheTransfer{Nodes: nodes})
}

func (s *Server) serveCacheImport(w http.ResponseWriter, r *http.Request) {
	var transfer cacheTransfer
	if standin.ReadJSON(w, r, &transfer) != nil {
		return
	}
	if standin.Sleep(r.Context(), s.clock, s.transferTime(transfer.Nodes)) != nil {
		return
	}
	s.mu.Lock()
	s.cache.restore(transfer.Nodes)
	s.state.CacheImports++
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// transferTime returns how long the export or import of a prefix takes.
func (s *Server) transferTime(nodes []cacheNode) time.Duration {
	if len(nodes) == 0 {
		return 0
	}
	return time.Duration(nodes[len(nodes)-1].Total) * s.cfg.TransferPerToken
}

// queryAfter parses the query parameter with the last index or sequence number
// that the caller has. It returns absent when the parameter is not set.
func queryAfter(r *http.Request, absent int64) (int64, error) {
	text := r.URL.Query().Get(engineapi.QueryAfter)
	if text == "" {
		return absent, nil
	}
	return strconv.ParseInt(text, 10, 64)
}
