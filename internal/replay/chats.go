package replay

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/callers"
	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/standin/engine"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// Message roles.
const (
	roleUser      = "user"
	roleAssistant = "assistant"
)

// turnsByChat groups turns by chat. The chats are in the order of their first turns.
func turnsByChat(turns []trace.Turn) [][]trace.Turn {
	index := make(map[string]int)
	var out [][]trace.Turn
	for _, turn := range turns {
		at, ok := index[turn.Chat]
		if !ok {
			at = len(out)
			index[turn.Chat] = at
			out = append(out, nil)
		}
		out[at] = append(out[at], turn)
	}
	return out
}

// playChat sends the turns of one chat, each after the previous one has ended. The
// message of a turn that got no answer is not part of later prompts.
func (r *run) playChat(ctx context.Context, turns []trace.Turn) {
	var history []engineapi.Message
	for _, turn := range turns {
		if r.waitUntil(ctx, turn.At()) != nil {
			return
		}
		history = r.playTurn(ctx, turn, history)
	}
}

// playTurn sends one turn, records the result and returns the messages of the chat
// after it.
func (r *run) playTurn(ctx context.Context, turn trace.Turn, history []engineapi.Message) []engineapi.Message {
	question := engineapi.Message{Role: roleUser, Content: messageText(turn.ID, turn.NewWords)}
	messages := append(history[:len(history):len(history)], question)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(turn.TimeoutMS)*time.Millisecond)
	defer cancel()
	started := time.Now()
	answer, err := r.clients[turn.Workspace].Chat(ctx, callers.ChatCall{
		Workspace: turn.Workspace, Chat: turn.Chat, Model: turn.Model,
		Messages: messages, MaxTokens: turn.MaxTokens, Priority: turn.Priority,
	})
	record := turnRecord(turn, messages, answer, err)
	record.At = started.Sub(r.started)
	record.Latency = time.Since(started)
	record.PrefixTokens = prefixTokens(history)
	r.addTurn(record)
	if err != nil {
		return history
	}
	return append(messages, engineapi.Message{Role: roleAssistant, Content: strings.Join(answer.Tokens, "")})
}

func turnRecord(turn trace.Turn, messages []engineapi.Message, answer *callers.ChatResult, err error) TurnRecord {
	record := TurnRecord{
		ID: turn.ID, Workspace: turn.Workspace, Chat: turn.Chat, Upstream: answer.Upstream, Returning: turn.Turn > 0,
		CachedTokens: answer.Usage.PromptTokensDetails.CachedTokens,
		Attempts:     answer.Attempts, Resumes: answer.Resumes, Restarts: answer.Restarts, Lost: answer.LostConnections,
		FirstToken: answer.TimeToFirstToken,
	}
	if err != nil {
		var refused *refusal.Refusal
		record.Refused = errors.As(err, &refused)
		record.Failure = err.Error()
		return record
	}
	record.Whole = strings.Join(answer.Tokens, "") == engine.ExpectedAnswer(messages, turn.MaxTokens)
	record.Wrong = !record.Whole
	return record
}

func prefixTokens(messages []engineapi.Message) int {
	total := 0
	for _, m := range messages {
		total += countWords(m.Content)
	}
	return total
}

func (r *run) addTurn(record TurnRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Turns = append(r.record.Turns, record)
}
