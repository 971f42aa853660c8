package router

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
)

// completionWriter buffers a chat's answer and writes it as one JSON body.
type completionWriter struct {
	w      http.ResponseWriter
	info   callInfo
	model  string
	text   strings.Builder
	tokens int
}

// Completion is the response body of an answer that isn't streamed.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *engineapi.Usage   `json:"usage"`
}

// CompletionChoice is the content of a Completion.
type CompletionChoice struct {
	Index        int               `json:"index"`
	Message      engineapi.Message `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

func newCompletionWriter(w http.ResponseWriter, info callInfo, model string) *completionWriter {
	return &completionWriter{w: w, info: info, model: model}
}

func (a *completionWriter) Started() bool               { return false }
func (a *completionWriter) Writer() http.ResponseWriter { return a.w }
func (a *completionWriter) Fail(*refusal.Refusal)       {}

// WriteHead implements relay.AnswerWriter.
func (a *completionWriter) WriteHead(head *peerpb.ResponseHead) error {
	a.w.Header().Set(HeaderUpstream, head.GetUpstream())
	return nil
}

// WriteToken implements relay.AnswerWriter.
func (a *completionWriter) WriteToken(_ relay.Position, text string) error {
	a.tokens++
	a.text.WriteString(text)
	return nil
}

// WriteBody implements relay.AnswerWriter.
func (a *completionWriter) WriteBody([]byte) error { return errBodyInChat }

// End implements relay.AnswerWriter.
func (a *completionWriter) End(end *peerpb.AnswerEnd) error {
	completion := Completion{
		ID: a.info.requestID, Object: "chat.completion", Model: a.model,
		Choices: []CompletionChoice{{
			Message:      engineapi.Message{Role: "assistant", Content: a.text.String()},
			FinishReason: end.GetFinishReason(),
		}},
		Usage: usage(end, a.tokens),
	}
	a.w.Header().Set("Content-Type", "application/json")
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	return json.NewEncoder(a.w).Encode(completion)
}
