package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// noIndex is the index of a chunk without a token.
const noIndex = -1

// Values of the object field in responses.
const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
)

// reader is the state of one connection that receives a stream.
type reader struct {
	stream *stream
	// next is the index of the first token that has not been sent.
	next int
	sent int
	// silentAfter and cutAfter are the numbers of sent chunks after which the
	// fault occurs, or noFault.
	silentAfter int
	cutAfter    int
	silenced    <-chan struct{}
	cut         <-chan struct{}
}

// chunkEvent is one server-sent event of a stream. Its index is noIndex when it
// carries no token.
type chunkEvent struct {
	index int
	chunk engineapi.ChatChunk
}

// newReader returns a reader with the stream faults of its connection. The
// caller must not hold s.mu, which a change of Faults locks.
func (s *Server) newReader() *reader {
	rd := &reader{silentAfter: noFault, cutAfter: noFault}
	faults := s.Faults.Get()
	if faults.Silent.Count == 0 && faults.Cut.Count == 0 {
		return rd
	}
	s.Faults.Update(func(f *Faults) {
		rd.silentAfter = f.Silent.consume()
		rd.cutAfter = f.Cut.consume()
	})
	return rd
}

// openReaderLocked attaches a reader to a stream, at the token with index next.
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

// writeStream sends the tokens from rd.next on as server-sent events.
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

// collect returns the events that have not been sent, and a channel that is
// closed at the next change of the stream. The channel is nil when the stream
// has finished.
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

// finishEvent adds the usage and the finish reason to the last event.
func (s *stream) finishEvent(event *chunkEvent) {
	usage := s.usage()
	event.chunk.Usage = &usage
	event.chunk.Choices[0].FinishReason = &s.finish
}

// writeEvent sends one event, subject to the current faults.
func (s *Server) writeEvent(w http.ResponseWriter, r *http.Request, rd *reader, event chunkEvent) {
	s.applyStreamFaults(r, rd)
	s.waitUnfrozen(r)
	faults := s.Faults.Get()
	if standin.Sleep(r.Context(), s.clock, milliseconds(faults.ChunkDelayMS)) != nil {
		standin.CutConnection()
	}
	if s.swapDue() {
		event = s.chunkSwap.swap(r.Context(), s.clock, rd.stream.id, event, s.confirmSwap)
	}
	event.write(w)
	if s.consumeDuplicate() {
		event.write(w)
	}
	flush(w)
	rd.sent++
	s.applyStreamFaults(r, rd)
}

// flush sends buffered data to the client.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}

// swapDue reports whether a swap is requested and another reader is open.
func (s *Server) swapDue() bool {
	if s.Faults.Get().SwapChunks == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openReaders > 1
}

func (s *Server) confirmSwap() bool {
	if !s.consumeSwap() {
		return false
	}
	s.updateState(func(state *State) { state.ChunksSwapped++ })
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

// applyStreamFaults cuts or silences a connection when it has sent the number
// of chunks that its fault sets.
func (s *Server) applyStreamFaults(r *http.Request, rd *reader) {
	if rd.cutAfter == rd.sent {
		s.updateState(func(state *State) { state.Cut++ })
		standin.CutConnection()
	}
	if rd.silentAfter == rd.sent {
		s.staySilent(r)
	}
}

// staySilent keeps a connection open without sending until the caller
// disconnects or the server stops.
func (s *Server) staySilent(r *http.Request) {
	s.updateState(func(state *State) { state.WentSilent++ })
	select {
	case <-r.Context().Done():
	case <-s.stopped:
	}
	standin.CutConnection()
}

// wait returns when the stream has changed. If the connection ends first, it
// aborts the handler instead of returning.
func (s *Server) wait(r *http.Request, rd *reader, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-rd.silenced:
		s.staySilent(r)
	case <-rd.cut:
		s.updateState(func(state *State) { state.Cut++ })
		standin.CutConnection()
	case <-s.stopped:
		standin.CutConnection()
	case <-r.Context().Done():
		standin.CutConnection()
	}
}

// writeCompletion waits for the complete answer and sends it as one JSON body.
func (s *Server) writeCompletion(w http.ResponseWriter, r *http.Request, rd *reader) {
	for {
		_, changed := s.collect(rd)
		if changed == nil {
			break
		}
		s.wait(r, rd, changed)
	}
	s.applyStreamFaults(r, rd)
	answer := s.completion(rd.stream)
	if s.swapDue() {
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
