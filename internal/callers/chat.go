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

// eventError is the name of an event that ends a stream with a refusal.
const eventError = "error"

// ChatCall is one turn of a chat.
type ChatCall struct {
	Workspace string
	Chat      string
	Model     string
	Messages  []engineapi.Message
	// MaxTokens is the length of the answer.
	MaxTokens int
	// Priority is "low", "normal", "high", or empty for the workspace's own.
	Priority string
}

// ChatResult is what a caller got. It is whole when Chat returned no error.
type ChatResult struct {
	// Tokens are the texts of the events, in order.
	Tokens       []string
	FinishReason string
	Usage        engineapi.Usage
	// Upstream is the engine that began the last attempt's answer.
	Upstream string
	// Attempts counts the connections used, Resumes those that continued a
	// stream, and Restarts those that began the answer anew.
	Attempts, Resumes, Restarts int
	// LostConnections counts the connections that broke or went silent before the
	// caller's own deadline.
	LostConnections int
	// TimeToFirstToken is the time from the call until the first token.
	TimeToFirstToken time.Duration
}

// Chat sends one turn and returns the whole answer. The context's deadline
// bounds all attempts together. The error is a *refusal.Refusal when the fleet
// refused the turn.
func (c *Client) Chat(ctx context.Context, call ChatCall) (*ChatResult, error) {
	s := &chatSession{
		client: c, call: call, started: time.Now(), answer: &ChatResult{},
		route: route{client: c, key: addressKey{Workspace: call.Workspace, Model: call.Model, Chat: call.Chat}},
	}
	return s.answer, retryUntilDone(ctx, &s.route, s.attempt)
}

// chatSession is the state of one turn over its attempts.
type chatSession struct {
	client  *Client
	call    ChatCall
	route   route
	started time.Time
	// lastEvent is the identifier to resume from; empty before the first token.
	lastEvent string
	answer    *ChatResult
}

// attempt makes one exchange and counts it when it is lost.
func (s *chatSession) attempt(ctx context.Context, router string) error {
	err := s.exchange(ctx, router)
	if errors.Is(err, ErrConnectionLost) && ctx.Err() == nil {
		s.answer.LostConnections++
	}
	return err
}

// exchange sends the turn to one router and reads what it sends.
func (s *chatSession) exchange(ctx context.Context, router string) error {
	watchdog, ctx := newWatchdog(ctx, &s.client.settings)
	defer watchdog.stop()
	request, err := s.request(ctx, router)
	if err != nil {
		return err
	}
	s.count()
	response, err := s.client.http.Do(request)
	if err != nil {
		return connectionError(err)
	}
	defer func() { _ = response.Body.Close() }()
	s.route.heed(response)
	if response.StatusCode != http.StatusOK {
		return s.refused(readRefusal(response))
	}
	s.answer.Upstream = response.Header.Get(HeaderUpstream)
	return s.refused(s.readEvents(watchdog.reader(response.Body)))
}

func (s *chatSession) count() {
	s.answer.Attempts++
	if s.lastEvent != "" {
		s.answer.Resumes++
	}
}

// refused begins the answer anew when the fleet can't resume it; a chat is
// idempotent, so it may run again.
func (s *chatSession) refused(err error) error {
	var r *refusal.Refusal
	if !errors.As(err, &r) || r.Kind != refusal.StreamLost || s.lastEvent == "" {
		return err
	}
	s.lastEvent = ""
	s.answer.Tokens = nil
	s.answer.Restarts++
	return errors.Wrap(ErrConnectionLost, r.Error())
}

func (s *chatSession) request(ctx context.Context, router string) (*http.Request, error) {
	body, err := json.Marshal(engineapi.ChatRequest{
		Model: s.call.Model, Messages: s.call.Messages, MaxTokens: s.call.MaxTokens, Stream: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode chat")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base(router)+engineapi.PathChat, bytes.NewReader(body))
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

// readEvents adds the events of a stream to the answer until its end.
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
		s.answer.Usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			s.answer.FinishReason = *choice.FinishReason
		}
		if choice.Delta.Content == "" {
			continue
		}
		if len(s.answer.Tokens) == 0 {
			s.answer.TimeToFirstToken = time.Since(s.started)
		}
		s.answer.Tokens = append(s.answer.Tokens, choice.Delta.Content)
	}
}

func readRefusalEvent(data string) error {
	var body refusal.Body
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return errors.Wrap(ErrInvalidResponse, err.Error())
	}
	return fromBody(body)
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
