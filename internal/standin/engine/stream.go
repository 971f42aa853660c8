package engine

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// Reasons why an answer has finished.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// stream is one answer: its request, its place in the batch and the tokens so
// far. The server's mutex guards it.
type stream struct {
	id        string
	requestID string
	model     string
	priority  fleet.Priority

	prompt []engineapi.Message
	// soFar is the text that the answer continues, with soFarTokens words.
	soFar       string
	soFarTokens int
	// length is the number of tokens of the whole answer.
	length int
	finish string
	hash   uint64

	promptTokens int
	cachedTokens int
	// prefilledAt is when the first token can be generated.
	prefilledAt time.Time

	tokens     []string
	finished   bool
	cancelled  bool
	finishedAt time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}

	readers int
	// unreadSince is when the last reader went.
	unreadSince time.Time
}

// newStream returns the stream of an accepted request.
func newStream(id, requestID string, req engineapi.ChatRequest, priority fleet.Priority) *stream {
	prompt, soFar := splitContinued(req)
	hash := engineapi.PrefixHash(prompt)
	s := &stream{
		id: id, requestID: requestID, model: req.Model, priority: priority,
		prompt: prompt, soFar: soFar, soFarTokens: countTokens(soFar), hash: hash,
		finish: finishStop, length: answerLength(hash, 0),
		promptTokens: countPromptTokens(req.Messages), changed: make(chan struct{}),
	}
	if req.MaxTokens > 0 {
		s.length = s.soFarTokens + req.MaxTokens
		s.finish = finishLength
	}
	return s
}

// generate appends one token and reports whether the answer is whole.
func (s *stream) generate() bool {
	next := s.soFarTokens + len(s.tokens)
	if next < s.length {
		s.tokens = append(s.tokens, answerToken(s.hash, next))
		next++
	}
	return next >= s.length
}

// wake tells the readers of a change.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// orphaned reports whether the stream has had no reader for too long.
func (s *stream) orphaned(now time.Time, after time.Duration) bool {
	return s.readers == 0 && now.Sub(s.unreadSince) >= after
}

// answer returns the text of the whole answer so far.
func (s *stream) answer() string {
	text := s.soFar
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

// whole returns the messages of the chat with the finished answer.
func (s *stream) whole() []engineapi.Message {
	messages := make([]engineapi.Message, 0, len(s.prompt)+1)
	messages = append(messages, s.prompt...)
	return append(messages, engineapi.Message{Role: "assistant", Content: s.answer()})
}
