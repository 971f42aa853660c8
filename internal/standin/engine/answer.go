package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
)

// Bounds of the answer length, in tokens, when the request sets no max_tokens.
const (
	minAnswerTokens  = 16
	answerTokenRange = 33
)

// vocabularySize is the number of distinct tokens: the numbers of up to four
// base-36 digits.
const vocabularySize = 36 * 36 * 36 * 36

// ExpectedAnswer returns the complete answer to a prompt. The answer has
// maxTokens tokens, or a length derived from the prompt when maxTokens is
// zero. An answer that another engine continues has the same complete text.
func ExpectedAnswer(messages []engineapi.Message, maxTokens int) string {
	hash := engineapi.PrefixHash(messages)
	var text strings.Builder
	for i := range answerLength(hash, maxTokens) {
		text.WriteString(answerToken(hash, i))
	}
	return text.String()
}

// answerLength returns the number of tokens in the complete answer.
func answerLength(hash uint64, maxTokens int) int {
	if maxTokens > 0 {
		return maxTokens
	}
	return minAnswerTokens + int(hash%answerTokenRange)
}

// answerToken returns token i of the answer to the prompt with the given hash.
// Tokens are words; all but the first start with a space.
func answerToken(hash uint64, i int) string {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], hash)
	binary.LittleEndian.PutUint64(seed[8:], uint64(i))
	word := "t" + strconv.FormatUint(xxhash.Sum64(seed[:])%vocabularySize, 36)
	if i == 0 {
		return word
	}
	return " " + word
}

// countTokens returns the number of words in text; each word is one token.
func countTokens(text string) int {
	return len(strings.Fields(text))
}

// countPromptTokens returns the total number of tokens in messages.
func countPromptTokens(messages []engineapi.Message) int {
	total := 0
	for _, m := range messages {
		total += countTokens(m.Content)
	}
	return total
}

// splitContinued separates the prompt from the partial answer that the request
// continues.
func splitContinued(req engineapi.ChatRequest) (prompt []engineapi.Message, partial string) {
	if !req.ContinueFinalMessage {
		return req.Messages, ""
	}
	last := len(req.Messages) - 1
	return req.Messages[:last], req.Messages[last].Content
}
