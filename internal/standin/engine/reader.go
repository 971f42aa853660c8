package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// noIndex marks a chunk that carries no token.
const noIndex = -1

// Object names of answers.
const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
)

// reader is one connection that receives a stream.
type reader struct {
	stream *stream
	// next is the index of the first token that has not been sent.
	next int
	sent int
	// silentAfter and cutAfter are numbers of chunks, or neverStruck.
	silentAfter int
	cutAfter    int
	silenced    <-chan struct{}
	cut         <-chan struct{}
}

// chunkEvent is one event of a stream. Its index is noIndex when it carries no
// token.
type chunkEvent struct {
	index int
	chunk engineapi.ChatChunk
}

// newReader returns a reader with the faults that strike its connection. It is
// called without the mutex.
func (s *Server) newReader() *reader {
	rd := &reader{silentAfter: neverStruck, cutAfter: neverStruck}
	faults := s.Faults.Get()
	if faults.Silent.Count == 0 && faults.Cut.Count == 0 {
		return rd
	}
	s.Faults.Update(func(f *Faults) {
		rd.silentAfter = f.Silent.take()
		rd.cutAfter = f.Cut.take()
	})
	return rd
}

// openReaderLocked joins a reader to a stream.
func (s *Server) openReaderLocked(rd *reader, st *stream, next int) {
	rd.stream = st
	rd.next = next
	rd.silenced = s.silenced
	rd.cut = s.cut
	st.readers++
	s.openReaders++
}

func (s *Server) closeReader(rd *reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openReaders--
	rd.stream.readers--
	if rd.stream.readers == 0 {
		rd.stream.unreadSince = s.clock.Now()
	}
}

// writeStream sends the rest of a stream as server-sent events.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, rd *reader) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for {
		events, changed := s.collect(rd)
		for _, event := range events {
			s.writeEvent(w, r, rd, event)
		}
		if changed == nil {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", engineapi.DoneMarker)
			return
		}
		s.wait(r, rd, changed)
	}
}

// collect returns the events that have not been sent, and the signal of the
// next change, which is nil when the stream is whole.
func (s *Server) collect(rd *reader) ([]chunkEvent, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := rd.stream
	if st.cancelled {
		standin.CutConnection()
	}
	var events []chunkEvent
	for ; rd.next < len(st.tokens); rd.next++ {
		events = append(events, st.tokenEvent(rd.next))
	}
	if !st.finished {
		return events, st.changed
	}
	if len(events) == 0 {
		events = append(events, st.emptyEvent())
	}
	st.finishEvent(&events[len(events)-1])
	return events, nil
}

func (s *stream) tokenEvent(index int) chunkEvent {
	choice := engineapi.Choice{Delta: engineapi.Delta{Content: s.tokens[index]}}
	if index == 0 {
		choice.Delta.Role = "assistant"
	}
	return chunkEvent{index: index, chunk: s.chunk(choice)}
}

func (s *stream) emptyEvent() chunkEvent {
	return chunkEvent{index: noIndex, chunk: s.chunk(engineapi.Choice{})}
}

func (s *stream) chunk(choice engineapi.Choice) engineapi.ChatChunk {
	return engineapi.ChatChunk{
		ID: s.requestID, Object: objectChunk, Model: s.model, Choices: []engineapi.Choice{choice},
	}
}

// finishEvent marks the last event of a stream.
func (s *stream) finishEvent(event *chunkEvent) {
	usage := s.usage()
	event.chunk.Usage = &usage
	event.chunk.Choices[0].FinishReason = &s.finish
}

// writeEvent sends one event under the present faults.
func (s *Server) writeEvent(w http.ResponseWriter, r *http.Request, rd *reader, event chunkEvent) {
	s.strike(r, rd)
	s.waitThawed(r)
	faults := s.Faults.Get()
	if standin.Sleep(r.Context(), s.clock, milliseconds(faults.ChunkDelayMS)) != nil {
		standin.CutConnection()
	}
	if s.swaps() {
		event = s.chunkSwap.swap(r.Context(), s.clock, rd.stream.id, event, s.confirmSwap)
	}
	event.write(w)
	if s.takeDuplicate() {
		event.write(w)
	}
	flush(w)
	rd.sent++
	s.strike(r, rd)
}

// flush sends what has been written so far.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}

// swaps reports whether a swap is due and another stream is open for it.
func (s *Server) swaps() bool {
	if s.Faults.Get().SwapChunks == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openReaders > 1
}

func (s *Server) confirmSwap() bool {
	if !s.takeSwap() {
		return false
	}
	s.count(func(state *State) { state.ChunksSwapped++ })
	return true
}

func (e chunkEvent) write(w http.ResponseWriter) {
	data, err := json.Marshal(e.chunk)
	if err != nil {
		standin.CutConnection()
	}
	if e.index != noIndex {
		_, _ = fmt.Fprintf(w, "id: %d\n", e.index)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

// strike cuts or silences a connection that has sent enough chunks.
func (s *Server) strike(r *http.Request, rd *reader) {
	if rd.cutAfter == rd.sent {
		s.count(func(state *State) { state.Cut++ })
		standin.CutConnection()
	}
	if rd.silentAfter == rd.sent {
		s.staySilent(r)
	}
}

// staySilent holds a connection open until the caller goes.
func (s *Server) staySilent(r *http.Request) {
	s.count(func(state *State) { state.WentSilent++ })
	select {
	case <-r.Context().Done():
	case <-s.stopped:
	}
	standin.CutConnection()
}

// wait returns when the stream has changed. It doesn't return when the
// connection ends first.
func (s *Server) wait(r *http.Request, rd *reader, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-rd.silenced:
		s.staySilent(r)
	case <-rd.cut:
		s.count(func(state *State) { state.Cut++ })
		standin.CutConnection()
	case <-s.stopped:
		standin.CutConnection()
	case <-r.Context().Done():
		standin.CutConnection()
	}
}

// writeWhole sends an answer as one JSON body.
func (s *Server) writeWhole(w http.ResponseWriter, r *http.Request, rd *reader) {
	for {
		_, changed := s.collect(rd)
		if changed == nil {
			break
		}
		s.wait(r, rd, changed)
	}
	s.strike(r, rd)
	answer := s.completion(rd.stream)
	if s.swaps() {
		answer = s.answerSwap.swap(r.Context(), s.clock, rd.stream.id, answer, s.confirmSwap)
	}
	standin.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) completion(st *stream) Completion {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for _, token := range st.tokens {
		text += token
	}
	return Completion{
		ID: st.requestID, Object: objectCompletion, Model: st.model, Usage: st.usage(),
		Choices: []CompletionChoice{{
			Message:      engineapi.Message{Role: "assistant", Content: text},
			FinishReason: st.finish,
		}},
	}
}
