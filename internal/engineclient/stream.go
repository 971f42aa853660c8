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

// Token is one step of an answer.
type Token struct {
	// Index is the position within this engine's stream, from zero.
	Index uint32
	Text  string
}

// Finish ends an answer.
type Finish struct {
	Reason string
	Usage  engineapi.Usage
}

// Stream is an answer that an engine is writing. It is not safe for concurrent
// use. Close must be called.
type Stream struct {
	// ID identifies the stream at its engine.
	ID string

	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *time.Timer
	stall     time.Duration
	body      io.ReadCloser
	requestID string
	next      uint32
	pull      func() (sse.Event, error, bool)
	stop      func()
	finish    Finish
	finished  bool
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, stall time.Duration,
	response *http.Response, requestID string, first uint32) *Stream {
	events := sse.Read(response.Body, nil)
	pull, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &Stream{
		ID:  response.Header.Get(engineapi.HeaderStreamID),
		ctx: ctx, cancel: cancel, watchdog: watchdog, stall: stall,
		body: response.Body, requestID: requestID, next: first,
		pull: pull, stop: stop,
	}
}

// Next returns the next token. It returns io.EOF after the whole answer, when
// Finish is valid; every other error means that the answer isn't whole.
func (s *Stream) Next() (Token, error) {
	for {
		token, ok, err := s.step()
		if err != nil {
			return Token{}, err
		}
		if ok {
			return token, nil
		}
	}
}

// Finish returns how the answer ended. It is valid after Next returned io.EOF.
func (s *Stream) Finish() Finish { return s.finish }

// Close releases the connection. The engine may go on generating for a while.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.cancel(nil)
	s.stop()
	_ = s.body.Close()
}

func (s *Stream) step() (Token, bool, error) {
	event, err, ok := s.pull()
	if !ok || err != nil {
		return Token{}, false, s.endOfConnection(err)
	}
	if event.Data == engineapi.DoneMarker {
		if !s.finished {
			return Token{}, false, errors.Wrap(ErrConnectionLost, "end marker without a finish reason")
		}
		return Token{}, false, io.EOF
	}
	s.watchdog.Reset(s.stall)
	return s.readChunk(event)
}

func (s *Stream) endOfConnection(err error) error {
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

// acceptToken checks the token's index. A repeated token is skipped; a gap
// means that tokens were lost.
func (s *Stream) acceptToken(id, text string) (Token, bool, error) {
	index, err := strconv.ParseUint(id, 10, 32)
	if err != nil {
		return Token{}, false, errors.Wrap(ErrUnexpectedToken, "event id is no index")
	}
	if uint32(index) < s.next {
		return Token{}, false, nil
	}
	if uint32(index) > s.next {
		return Token{}, false, errors.Wrap(ErrUnexpectedToken, "tokens are missing")
	}
	s.next++
	return Token{Index: uint32(index), Text: text}, true, nil
}
