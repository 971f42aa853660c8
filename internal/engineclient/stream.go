package engineclient

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
)

// Token is one token of a response.
type Token struct {
	// Index is the zero-based position within this engine's stream.
	Index uint32
	Text  string
}

// Finish describes the end of a complete response.
type Finish struct {
	Reason string
	Usage  engineapi.Usage
}

// Stream is the response stream of a chat request. It is not safe for concurrent
// use. It must be closed with Close.
type Stream struct {
	// ID identifies the stream at its engine.
	ID string

	ctx          context.Context
	cancel       context.CancelCauseFunc
	watchdog     *time.Timer
	stallTimeout time.Duration
	body         io.ReadCloser
	requestID    string
	next         uint32
	pull         func() (sse.Event, error, bool)
	stop         func()
	finish       Finish
	finished     bool
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, stallTimeout time.Duration,
	response *http.Response, requestID string, first uint32) *Stream {
	events := sse.Read(response.Body, nil)
	pull, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &Stream{
		ID:  response.Header.Get(engineapi.HeaderStreamID),
		ctx: ctx, cancel: cancel, watchdog: watchdog, stallTimeout: stallTimeout,
		body: response.Body, requestID: requestID, next: first,
		pull: pull, stop: stop,
	}
}

// Next returns the next token. It returns io.EOF after the complete response;
// any other error means that the response is incomplete.
func (s *Stream) Next() (Token, error) {
	for {
		token, ok, err := s.readEvent()
		if err != nil {
			return Token{}, err
		}
		if ok {
			return token, nil
		}
	}
}

// Finish returns how the response ended. It is valid once Next has returned
// io.EOF.
func (s *Stream) Finish() Finish { return s.finish }

// Close releases the connection. The engine may continue to generate tokens for
// some time.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.cancel(nil)
	s.stop()
	_ = s.body.Close()
}

func (s *Stream) readEvent() (Token, bool, error) {
	event, err, ok := s.pull()
	if !ok || err != nil {
		return Token{}, false, s.streamError(err)
	}
	if event.Data == engineapi.DoneMarker {
		if !s.finished {
			return Token{}, false, errors.Wrap(ErrConnectionLost, "end marker without a finish reason")
		}
		return Token{}, false, io.EOF
	}
	s.watchdog.Reset(s.stallTimeout)
	return s.readChunk(event)
}

func (s *Stream) streamError(err error) error {
	if errors.Is(context.Cause(s.ctx), ErrStalled) {
		return ErrStalled
	}
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	if err == nil {
		return errors.Wrap(ErrConnectionLost, "no end marker")
	}
	return errors.Wrap(ErrConnectionLost, err.Error())
}

func (s *Stream) readChunk(event sse.Event) (Token, bool, error) {
	var chunk engineapi.ChatChunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return Token{}, false, errors.Wrap(ErrUnexpectedToken, err.Error())
	}
	if chunk.ID != s.requestID || len(chunk.Choices) != 1 {
		return Token{}, false, ErrUnexpectedToken
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		s.finished = true
		s.finish.Reason = *choice.FinishReason
	}
	if chunk.Usage != nil {
		s.finish.Usage = *chunk.Usage
	}
	if choice.Delta.Content == "" {
		return Token{}, false, nil
	}
	return s.acceptToken(event.LastEventID, choice.Delta.Content)
}

// acceptToken checks the token's index. A token that was already received is
// skipped; a gap means that tokens were lost.
func (s *Stream) acceptToken(id, text string) (Token, bool, error) {
	index, err := strconv.ParseUint(id, 10, 32)
	if err != nil {
		return Token{}, false, errors.Wrap(ErrUnexpectedToken, "event id is not a token index")
	}
	if uint32(index) < s.next {
		return Token{}, false, nil
	}
	if uint32(index) > s.next {
		return Token{}, false, errors.Wrap(ErrUnexpectedToken, "gap in the token indexes")
	}
	s.next++
	return Token{Index: uint32(index), Text: text}, true, nil
}
