package router

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
	"github.com/verbenatrail/verbenatrail/internal/telemetry"
)

// maxTokensLimit is the largest max_tokens that a caller may request.
const maxTokensLimit = 1 << 20

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, info callInfo) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		s.refuse(w, info, refusal.New(refusal.MethodNotAllowed, "chat completions take POST only"))
		return
	}
	body, release, refused := s.readBody(w, r)
	if refused != nil {
		s.refuse(w, info, refused)
		return
	}
	defer release()
	request, refused := parseChat(body)
	if refused != nil {
		s.refuse(w, info, refused)
		return
	}
	answer := s.newChatWriter(w, info, request)
	if refused := s.runChat(r, info, request, body, answer); refused != nil {
		s.endWithRefusal(answer, refused)
	}
}

func (s *Server) runChat(r *http.Request, info callInfo, request *engineapi.ChatRequest, body []byte,
	answer relay.AnswerWriter) *refusal.Refusal {
	call := chatCall(r, info, request, body)
	lastEventID := r.Header.Get(HeaderLastEventID)
	if lastEventID == "" {
		return s.relay.Serve(r.Context(), call, answer)
	}
	position, err := relay.ParsePosition(lastEventID)
	if err != nil {
		return refusal.New(refusal.BadRequest, err.Error())
	}
	return s.relay.Resume(r.Context(), call, position, answer)
}

func chatCall(r *http.Request, info callInfo, request *engineapi.ChatRequest, body []byte) relay.Call {
	affinity := relay.ChatAffinityKey(info.workspace, info.chat)
	if info.chat == "" {
		affinity = info.requestID
	}
	deadline, _ := r.Context().Deadline()
	return relay.Call{
		RequestID: info.requestID, Workspace: info.workspace, AffinityKey: affinity,
		Target: request.Model, Kind: fleet.KindEngine, Priority: info.priority,
		Deadline: deadline, Fingerprint: call.Fingerprint(body, info.workspace), Keys: chatKeys(info.workspace, request),
		Traceparent: telemetry.Traceparent(r.Context()), Chat: &peerpb.ChatCall{Body: body},
	}
}

// chatKeys returns the keys of the chat's messages. Later turns of a chat send the earlier
// messages again, and many chats begin with the same ones.
func chatKeys(workspace string, request *engineapi.ChatRequest) []uint64 {
	messages := make([]string, 0, len(request.Messages))
	for _, m := range request.Messages {
		messages = append(messages, m.Role+"\x00"+m.Content)
	}
	return call.SharedKeys(messages, []string{workspace, request.Model})
}

func parseChat(body []byte) (*engineapi.ChatRequest, *refusal.Refusal) {
	request := &engineapi.ChatRequest{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, refusal.New(refusal.BadRequest, "the body is no valid chat request: "+err.Error())
	}
	switch {
	case request.Model == "":
		return nil, refusal.New(refusal.BadRequest, "model is missing: name a model")
	case len(request.Messages) == 0:
		return nil, refusal.New(refusal.BadRequest, "messages is empty: send at least one")
	case request.MaxTokens < 0 || request.MaxTokens > maxTokensLimit:
		return nil, refusal.New(refusal.BadRequest, "max_tokens is out of range: use 0 to 1048576")
	case request.ContinueFinalMessage:
		return nil, refusal.New(refusal.BadRequest, "continue_final_message is reserved for the routers: leave it out")
	}
	return request, nil
}

// newChatWriter returns the writer for the response that the caller requested:
// server-sent events, or one JSON body.
func (s *Server) newChatWriter(w http.ResponseWriter, info callInfo, request *engineapi.ChatRequest) chatWriter {
	if request.Stream {
		return newEventWriter(w, info, request.Model, time.Now(), s.metrics)
	}
	return newCompletionWriter(w, info, request.Model)
}

// chatWriter is a relay.AnswerWriter that can also end the answer with a refusal.
type chatWriter interface {
	relay.AnswerWriter
	// Started reports whether part of the answer has been sent.
	Started() bool
	// Fail ends a started answer with a refusal.
	Fail(refused *refusal.Refusal)
	// Writer returns the response writer of an answer that has not started.
	Writer() http.ResponseWriter
}

func (s *Server) endWithRefusal(answer chatWriter, refused *refusal.Refusal) {
	if answer.Started() {
		s.metrics.countRefusal(refused)
		answer.Fail(refused)
		return
	}
	s.refuse(answer.Writer(), callInfo{requestID: answer.Writer().Header().Get(HeaderRequestID)}, refused)
}
