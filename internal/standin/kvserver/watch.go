package kvserver

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// watcher streams events to one open watch.
type watcher struct {
	server *Server
	create watchCreate
	// next is the first revision that has not been sent yet.
	next    int64
	encoder *json.Encoder
	flush   func()
}

// serveWatch streams the changes in a key range until the client disconnects, the
// server closes the watch, or the next revision to send has been compacted.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if !s.admit(w, r, &req, func() bool { return false }) {
		return
	}
	if req.Create == nil {
		writeError(w, errors.New("etcdserver: watch needs create_request"))
		return
	}
	watch := s.openWatch(w, *req.Create)
	defer s.closeWatch()
	watch.run(r)
}

func (s *Server) openWatch(w http.ResponseWriter, create watchCreate) *watcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Calls.Watch++
	s.state.OpenWatches++
	next := int64(create.StartRevision)
	if next == 0 {
		next = s.store.revision + 1
	}
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/json")
	return &watcher{
		server: s, create: create, next: next, encoder: json.NewEncoder(w),
		flush: func() { _ = controller.Flush() },
	}
}

func (s *Server) closeWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.OpenWatches--
}

func (w *watcher) run(r *http.Request) {
	ended := w.server.watchesEndedSignal()
	w.send(watchResponse{Header: w.server.headerNow(), Created: true})
	for {
		batch, changed, err := w.nextBatch()
		if err != nil {
			w.sendCompacted(err)
			return
		}
		if len(batch.Events) > 0 {
			if standin.Sleep(r.Context(), w.server.clock, w.server.Faults.Get().watchDelay()) != nil {
				return
			}
			w.send(batch)
		}
		if !w.wait(r, changed, ended) {
			return
		}
	}
}

// wait blocks until the store changes, and returns false if the client disconnects
// first. It cuts the connection if the server closes the watch.
func (w *watcher) wait(r *http.Request, changed, ended <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-r.Context().Done():
		return false
	case <-ended:
		standin.CutConnection()
	}
	return false
}

// nextBatch returns the changes that have not been sent yet, and a channel that is
// closed at the next change of the store.
func (w *watcher) nextBatch() (watchResponse, <-chan struct{}, error) {
	s := w.server
	s.mu.Lock()
	defer s.mu.Unlock()
	changes, err := s.store.changesFrom(w.next, w.create.Key, w.create.RangeEnd)
	if err != nil {
		return watchResponse{}, nil, err
	}
	if s.store.revision >= w.next {
		w.next = s.store.revision + 1
	}
	resp := watchResponse{Header: s.store.header()}
	for _, c := range changes {
		resp.Events = append(resp.Events, toWatchEvent(c))
	}
	return resp, s.changed, nil
}

func toWatchEvent(c change) watchEvent {
	event := watchEvent{Kv: c.kv}
	if c.deleted {
		event.Type = "DELETE"
	}
	return event
}

func (w *watcher) sendCompacted(err error) {
	s := w.server
	s.mu.Lock()
	compacted := s.store.compacted
	s.mu.Unlock()
	w.send(watchResponse{
		Header: s.headerNow(), Canceled: true,
		CompactRevision: Int64(compacted + 1), CancelReason: err.Error(),
	})
}

func (w *watcher) send(resp watchResponse) {
	_ = w.encoder.Encode(watchMessage{Result: resp})
	w.flush()
}

func (s *Server) headerNow() *responseHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.header()
}

func (s *Server) watchesEndedSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesEnded
}
