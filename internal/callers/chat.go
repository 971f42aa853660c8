package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

// eventError is the type of the event that ends a stream with a refusal.
const eventError = "error"

// ChatCall is one turn of a chat.
type ChatCall struct {
	Workspace string
	Chat      string
	Model     string
	Messages  []engineapi.Message
	// MaxTokens is the maximum length of the response.
	MaxTokens int
	// Priority is "low", "normal", "high", or empty for the workspace's default.
	Priority string
}

// ChatResult is the result of a chat call. It is complete if Chat returned no
// error.
type ChatResult struct {
	// Tokens are the texts of the tokens, in order.
	Tokens       []string
	FinishReason string
	Usage        engineapi.Usage
	// Upstream is the engine that started the most recent response.
	Upstream string
	// Attempts counts the requests, Resumes those that resumed a stream, and
	// Restarts how often the response was started again from the beginning.
	Attempts, Resumes, Restarts int
	// LostConnections counts the connections that failed or timed out before the
	// caller's deadline.
	LostConnections int
	// TimeToFirstToken is the time from the start of the call to the first token.
	TimeToFirstToken time.Duration
}

// Chat sends one turn and returns the complete response. The context's deadline
// bounds all attempts together. The error is a *refusal.Refusal if the fleet
// refused the turn.
func (c *Client) Chat(ctx context.Context, call ChatCall) (*ChatResult, error) {
	s := &chatSession{
		client: c, call: call, started: time.Now(), result: &ChatResult{},
		route: route{client: c, key: addressKey{Workspace: call.Workspace, Model: call.Model, Chat: call.Chat}},
	}
	return s.result, retryUntilDone(ctx, &s.route, s.attempt)
}

// chatSession is the state of one turn across its attempts.
type chatSession struct {
	client  *Client
	call    ChatCall
	route   route
	started time.Time
	// lastEvent is the event ID to resume after; empty before the first token.
	lastEvent string
	result    *ChatResult
}

// attempt makes one exchange and counts lost connections.
func (s *chatSession) attempt(ctx context.Context, router string) error {
	err := s.exchange(ctx, router)
	if errors.Is(err, ErrConnectionLost) && ctx.Err() == nil {
		s.result.LostConnections++
	}
	return err
}

// exchange sends the turn to one router and reads the response.
func (s *chatSession) exchange(ctx context.Context, router string) error {
	watchdog, ctx := newWatchdog(ctx, &s.client.settings)
	defer watchdog.stop()
	request, err := s.request(ctx, router)
	if err != nil {
		return err
	}
	s.countAttempt()
	response, err := s.client.http.Do(request)
	if err != nil {
		return connectionError(err)
	}
	defer func() { _ = response.Body.Close() }()
	s.route.checkMoveTo(response)
	if response.StatusCode != http.StatusOK {
		return s.handleStreamLost(readRefusal(response))
	}
	s.result.Upstream = response.Header.Get(HeaderUpstream)
	return s.handleStreamLost(s.readEvents(watchdog.reader(response.Body)))
}

func (s *chatSession) countAttempt() {
	s.result.Attempts++
	if s.lastEvent != "" {
		s.result.Resumes++
	}
}

// handleStreamLost discards the tokens received so far if err says that the fleet
// can't resume the stream, and returns a retryable error. A chat call is
// idempotent, so it may run again.
func (s *chatSession) handleStreamLost(err error) error {
	var r *refusal.Refusal
	if !errors.As(err, &r) || r.Kind != refusal.StreamLost || s.lastEvent == "" {
		return err
	}
	s.lastEvent = ""
	s.result.Tokens = nil
	s.result.Restarts++
	return errors.Wrap(ErrConnectionLost, r.Error())
}

func (s *chatSession) request(ctx context.Context, router string) (*http.Request, error) {
	body, err := json.Marshal(engineapi.ChatRequest{
		Model: s.call.Model, Messages: s.call.Messages, MaxTokens: s.call.MaxTokens, Stream: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode chat")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(router)+engineapi.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "chat request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderWorkspace, s.call.Workspace)
	request.Header.Set(HeaderChat, s.call.Chat)
	setOptional(request.Header, HeaderPriority, s.call.Priority)
	setOptional(request.Header, HeaderLastEvent, s.lastEvent)
	setTimeout(ctx, request.Header)
	return request, nil
}

// readEvents adds the events of a stream to the result until the stream ends.
func (s *chatSession) readEvents(body io.Reader) error {
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return errors.Wrap(ErrConnectionLost, err.Error())
		}
		done, err := s.addEvent(e)
		if err != nil || done {
			return err
		}
	}
}

func (s *chatSession) addEvent(e event) (done bool, err error) {
	if e.name == eventError {
		return false, readRefusalEvent(e.data)
	}
	if e.data == engineapi.DoneMarker {
		return true, nil
	}
	var chunk engineapi.ChatChunk
	if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
		return false, errors.Wrap(ErrInvalidResponse, err.Error())
	}
	s.addChunk(chunk)
	if e.id != "" {
		s.lastEvent = e.id
	}
	return false, nil
}

func (s *chatSession) addChunk(chunk engineapi.ChatChunk) {
	if chunk.Usage != nil {
		s.result.Usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			s.result.FinishReason = *choice.FinishReason
		}
		if choice.Delta.Content == "" {
			continue
		}
		if len(s.result.Tokens) == 0 {
			s.result.TimeToFirstToken = time.Since(s.started)
		}
		s.result.Tokens = append(s.result.Tokens, choice.Delta.Content)
	}
}

func readRefusalEvent(data string) error {
	var body refusal.Body
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return errors.Wrap(ErrInvalidResponse, err.Error())
	}
	return refusalFromBody(body)
}

func setOptional(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func setTimeout(ctx context.Context, header http.Header) {
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
}
