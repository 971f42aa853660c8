package engine

import (
	"net/http"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// Completion is the response body of a chat request without streaming.
type Completion struct {
	// ID repeats the X-Request-Id of the request.
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   engineapi.Usage    `json:"usage"`
}

// CompletionChoice is the answer in a Completion.
type CompletionChoice struct {
	Index        int               `json:"index"`
	Message      engineapi.Message `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// Errors that reject a chat request.
var (
	errNoMessages       = errors.New("messages are empty")
	errLastNotAssistant = errors.New("continue_final_message needs a last message of the role assistant")
	errNegativeMax      = errors.New("max_tokens is negative")
	errUnknownModel     = errors.New("model not loaded")
	errLeaving          = errors.New("leaving: use another engine")
)

func validate(req engineapi.ChatRequest) error {
	if len(req.Messages) == 0 {
		return errNoMessages
	}
	if req.MaxTokens < 0 {
		return errNegativeMax
	}
	last := req.Messages[len(req.Messages)-1]
	if req.ContinueFinalMessage && last.Role != "assistant" {
		return errLastNotAssistant
	}
	return nil
}

// serveChat validates a chat request, adds it to the batch and sends its answer.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	var req engineapi.ChatRequest
	if standin.ReadJSON(w, r, &req) != nil {
		return
	}
	if err := validate(req); err != nil {
		standin.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	rd, err := s.accept(r, req)
	if s.isStopped() {
		standin.CutConnection()
	}
	switch {
	case errors.Is(err, errUnknownModel):
		standin.WriteError(w, http.StatusNotFound, err.Error())
		return
	case err != nil:
		standin.WriteError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	defer s.closeReader(rd)
	s.answer(w, r, rd, req.Stream)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, rd *reader, streamed bool) {
	delay := milliseconds(s.Faults.Get().AnswerDelayMS)
	if standin.Sleep(r.Context(), s.clock, delay) != nil {
		standin.CutConnection()
	}
	w.Header().Set(engineapi.HeaderRequestID, rd.stream.requestID)
	w.Header().Set(engineapi.HeaderStreamID, rd.stream.id)
	if streamed {
		s.writeStream(w, r, rd)
		return
	}
	s.writeCompletion(w, r, rd)
}

// accept adds a request to the batch and opens a reader of its stream.
func (s *Server) accept(r *http.Request, req engineapi.ChatRequest) (*reader, error) {
	priority, ok := fleet.ParsePriority(r.Header.Get(engineapi.HeaderPriority))
	if !ok {
		priority = fleet.PriorityNormal
	}
	requestID := r.Header.Get(engineapi.HeaderRequestID)
	if requestID == "" {
		requestID = uuid.NewString()
	}
	rd := s.newReader()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.expireStreamsLocked(now)
	if s.refusesNewWorkLocked(now) {
		s.state.RefusedLeaving++
		return nil, errLeaving
	}
	if !s.servesLocked(req.Model) {
		return nil, errUnknownModel
	}
	s.state.Chats++
	st := newStream(s.streamIDLocked(r), requestID, req, priority)
	s.openReaderLocked(rd, st, 0)
	s.submitLocked(st)
	return rd, nil
}

// streamIDLocked returns the stream ID from the request header, or a new one if
// the header is empty or its ID is in use.
func (s *Server) streamIDLocked(r *http.Request) string {
	chosen := r.Header.Get(engineapi.HeaderStreamID)
	if _, taken := s.streams[chosen]; chosen == "" || taken {
		return uuid.NewString()
	}
	return chosen
}

// serveResume sends a stream from the token after the given index.
func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := queryAfter(r, -1)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "after is no number")
		return
	}
	rd := s.resume(r.PathValue("id"), int(after)+1)
	if rd == nil {
		standin.WriteError(w, http.StatusNotFound, "stream not kept")
		return
	}
	defer s.closeReader(rd)
	s.answer(w, r, rd, true)
}

func (s *Server) resume(id string, next int) *reader {
	rd := s.newReader()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireStreamsLocked(s.clock.Now())
	st := s.streams[id]
	if st == nil || st.cancelled || next < 0 {
		return nil
	}
	s.state.Resumes++
	s.openReaderLocked(rd, st, next)
	return rd
}

// serveCancel cancels a stream that has not ended.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[r.PathValue("id")]
	if st == nil {
		standin.WriteError(w, http.StatusNotFound, "stream not kept")
		return
	}
	if !st.finished && !st.cancelled {
		now := s.clock.Now()
		s.state.Cancelled++
		s.endLocked(now, st, true)
		s.fillSlotsLocked(now)
		s.recordLoadLocked(now)
	}
	w.WriteHeader(http.StatusNoContent)
}
