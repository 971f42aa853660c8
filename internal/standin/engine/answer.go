package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
)

// Length of an answer, in tokens, when the request names none.
const (
	minAnswerTokens  = 16
	answerTokenRange = 33
)

// tokenRange is the number of different tokens.
const tokenRange = 36 * 36 * 36 * 36

// ExpectedAnswer returns the whole answer to a prompt. The answer has
// maxTokens tokens, or a length that depends on the prompt when maxTokens is
// zero. An answer that is continued elsewhere stays the same as a whole.
func ExpectedAnswer(messages []engineapi.Message, maxTokens int) string {
	hash := engineapi.PrefixHash(messages)
	var text strings.Builder
	for i := range answerLength(hash, maxTokens) {
		text.WriteString(answerToken(hash, i))
	}
	return text.String()
}

// answerLength returns the number of tokens of a whole answer.
func answerLength(hash uint64, maxTokens int) int {
	if maxTokens > 0 {
		return maxTokens
	}
	return minAnswerTokens + int(hash%answerTokenRange)
}

// answerToken returns token i of the answer to the prompt with a hash. Tokens
// are words; all but the first start with a space.
func answerToken(hash uint64, i int) string {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], hash)
	binary.LittleEndian.PutUint64(seed[8:], uint64(i))
	word := "t" + strconv.FormatUint(xxhash.Sum64(seed[:])%tokenRange, 36)
	if i == 0 {
		return word
	}
	return " " + word
}

// countTokens returns the number of words of a text.
func countTokens(text string) int {
	return len(strings.Fields(text))
}

// countPromptTokens returns the number of words of all messages.
func countPromptTokens(messages []engineapi.Message) int {
	total := 0
	for _, m := range messages {
		total += countTokens(m.Content)
	}
	return total
}

// splitContinued separates the prompt from the answer so far.
func splitContinued(req engineapi.ChatRequest) (prompt []engineapi.Message, soFar string) {
	if !req.ContinueFinalMessage {
		return req.Messages, ""
	}
	last := len(req.Messages) - 1
	return req.Messages[:last], req.Messages[last].Content
}
