package engine

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// Values of finish_reason.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// stream is one answer: its request, its state in the batch and the tokens
// generated so far. Guarded by Server.mu.
type stream struct {
	id        string
	requestID string
	model     string
	priority  fleet.Priority

	prompt []engineapi.Message
	// partial is the text that the request continues; partialTokens is its
	// length.
	partial       string
	partialTokens int
	// length is the number of tokens in the complete answer, including partial.
	length int
	finish string
	hash   uint64

	promptTokens int
	cachedTokens int
	// prefilledAt is when the prefill ends and the first token can be generated.
	prefilledAt time.Time

	tokens     []string
	finished   bool
	cancelled  bool
	finishedAt time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}

	readers int
	// unreadSince is when the last reader closed, or when the stream was
	// submitted.
	unreadSince time.Time
}

// newStream returns the stream for an accepted request.
func newStream(id, requestID string, req engineapi.ChatRequest, priority fleet.Priority) *stream {
	prompt, partial := splitContinued(req)
	hash := engineapi.PrefixHash(prompt)
	s := &stream{
		id: id, requestID: requestID, model: req.Model, priority: priority,
		prompt: prompt, partial: partial, partialTokens: countTokens(partial), hash: hash,
		finish: finishStop, length: answerLength(hash, 0),
		promptTokens: countPromptTokens(req.Messages), changed: make(chan struct{}),
	}
	if req.MaxTokens > 0 {
		s.length = s.partialTokens + req.MaxTokens
		s.finish = finishLength
	}
	return s
}

// generate appends one token and reports whether the answer is complete.
func (s *stream) generate() bool {
	next := s.partialTokens + len(s.tokens)
	if next < s.length {
		s.tokens = append(s.tokens, answerToken(s.hash, next))
		next++
	}
	return next >= s.length
}

// notifyReaders wakes the readers that wait for a change.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// orphaned reports whether the stream has had no reader for at least after.
func (s *stream) orphaned(now time.Time, after time.Duration) bool {
	return s.readers == 0 && now.Sub(s.unreadSince) >= after
}

// answer returns the text generated so far, including the continued part.
func (s *stream) answer() string {
	text := s.partial
	for _, token := range s.tokens {
		text += token
	}
	return text
}

func (s *stream) usage() engineapi.Usage {
	return engineapi.Usage{
		PromptTokens:        s.promptTokens,
		CompletionTokens:    len(s.tokens),
		TotalTokens:         s.promptTokens + len(s.tokens),
		PromptTokensDetails: engineapi.PromptDetails{CachedTokens: s.cachedTokens},
	}
}

// conversation returns the prompt followed by the answer as a message.
func (s *stream) conversation() []engineapi.Message {
	messages := make([]engineapi.Message, 0, len(s.prompt)+1)
	messages = append(messages, s.prompt...)
	return append(messages, engineapi.Message{Role: "assistant", Content: s.answer()})
}
