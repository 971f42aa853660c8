package router

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
)

// errBodyInChat means that a body part was received in a chat's answer, which
// consists of tokens.
var errBodyInChat = errors.New("body part in the answer of a chat")

// errTokenInService means that a token was received in a service's response.
var errTokenInService = errors.New("token in the response of a service")

// eventWriter writes a chat's answer as server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	info       callInfo
	model      string
	received   time.Time
	metrics    *serverMetrics
	started    bool
	tokens     int
}

func newEventWriter(w http.ResponseWriter, info callInfo, model string, received time.Time, m *serverMetrics) *eventWriter {
	return &eventWriter{
		w: w, controller: http.NewResponseController(w), info: info, model: model, received: received, metrics: m,
	}
}

func (a *eventWriter) Started() bool               { return a.started }
func (a *eventWriter) Writer() http.ResponseWriter { return a.w }

// WriteHead implements relay.AnswerWriter. The status is sent with the first token,
// so that a refusal before it can still set its own.
func (a *eventWriter) WriteHead(head *peerpb.ResponseHead) error {
	a.w.Header().Set(HeaderUpstream, head.GetUpstream())
	return nil
}

// WriteToken implements relay.AnswerWriter.
func (a *eventWriter) WriteToken(position relay.Position, text string) error {
	a.start()
	a.tokens++
	chunk := newChunk(a.info.requestID, a.model)
	chunk.Choices[0].Delta.Content = text
	return a.send(position.String(), "", chunk)
}

// WriteBody implements relay.AnswerWriter.
func (a *eventWriter) WriteBody([]byte) error { return errBodyInChat }

// End implements relay.AnswerWriter.
func (a *eventWriter) End(end *peerpb.AnswerEnd) error {
	a.start()
	chunk := newChunk(a.info.requestID, a.model)
	reason := end.GetFinishReason()
	chunk.Choices[0].FinishReason = &reason
	chunk.Usage = usage(end, a.tokens)
	if err := a.send("", "", chunk); err != nil {
		return err
	}
	return a.write("", "", engineapi.DoneMarker)
}

// Fail implements chatWriter. The end marker isn't sent, by which the caller
// recognizes an incomplete answer.
func (a *eventWriter) Fail(refused *refusal.Refusal) {
	_ = a.write("", EventError, string(refused.JSON(a.info.requestID)))
}

func (a *eventWriter) start() {
	if a.started {
		return
	}
	a.started = true
	a.metrics.firstToken.UpdateSince(a.received)
	header := a.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *eventWriter) send(id, eventType string, chunk *engineapi.ChatChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode chunk")
	}
	return a.write(id, eventType, string(data))
}

func (a *eventWriter) write(id, eventType, data string) error {
	message := &sse.Message{}
	if id != "" {
		message.ID = sse.ID(id)
	}
	if eventType != "" {
		message.Type = sse.Type(eventType)
	}
	message.AppendData(data)
	if err := a.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := message.WriteTo(a.w); err != nil {
		return err
	}
	return a.controller.Flush()
}

func newChunk(requestID, model string) *engineapi.ChatChunk {
	return &engineapi.ChatChunk{
		ID: requestID, Object: "chat.completion.chunk", Model: model,
		Choices: []engineapi.Choice{{}},
	}
}

func usage(end *peerpb.AnswerEnd, tokens int) *engineapi.Usage {
	completion := max(tokens, int(end.GetCompletionTokens()))
	return &engineapi.Usage{
		PromptTokens: int(end.GetPromptTokens()), CompletionTokens: completion,
		TotalTokens:         int(end.GetPromptTokens()) + completion,
		PromptTokensDetails: engineapi.PromptDetails{CachedTokens: int(end.GetCachedTokens())},
	}
}
