package owner

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// errNoTokensLeft means that an answer had all its tokens when its engine
// failed.
var errNoTokensLeft = errors.New("the answer has all its tokens")

// Fields of a chat request that routers change. Engines get all others as the
// caller sent them.
const (
	fieldMessages = "messages"
	fieldStream   = "stream"
	fieldContinue = "continue_final_message"
)

// limitFields are the names under which a request may limit its answer.
var limitFields = []string{"max_tokens", "max_completion_tokens"}

// requestFields are the fields of a chat request in their JSON form.
type requestFields map[string]json.RawMessage

func (f requestFields) set(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, name)
	}
	f[name] = data
	return nil
}

// engineBody returns the request for an engine: the caller's, streamed, and
// going on from the text that earlier engines generated.
func engineBody(call *peerpb.ChatCall) (json.RawMessage, error) {
	fields := make(requestFields)
	if err := json.Unmarshal(call.GetBody(), &fields); err != nil {
		return nil, errors.Wrap(err, "chat request")
	}
	if err := fields.set(fieldStream, true); err != nil {
		return nil, err
	}
	if call.GetGeneratedTokens() > 0 {
		if err := fields.goOnFrom(call); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(fields)
	return data, errors.Wrap(err, "chat request")
}

// goOnFrom makes the engine continue the text that was generated.
func (f requestFields) goOnFrom(call *peerpb.ChatCall) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(f[fieldMessages], &messages); err != nil {
		return errors.Wrap(err, fieldMessages)
	}
	generated, err := json.Marshal(engineapi.Message{Role: "assistant", Content: call.GetGeneratedText()})
	if err != nil {
		return errors.Wrap(err, fieldMessages)
	}
	if err := f.set(fieldMessages, append(messages, generated)); err != nil {
		return err
	}
	if err := f.set(fieldContinue, true); err != nil {
		return err
	}
	for _, name := range limitFields {
		if err := f.reduceLimit(name, int(call.GetGeneratedTokens())); err != nil {
			return err
		}
	}
	return nil
}

// reduceLimit takes off the tokens that were generated; errNoTokensLeft means
// that none are left. A request without a limit has none afterwards.
func (f requestFields) reduceLimit(name string, generated int) error {
	data, limited := f[name]
	if !limited {
		return nil
	}
	maxTokens := 0
	if err := json.Unmarshal(data, &maxTokens); err != nil {
		return errors.Wrap(err, name)
	}
	if maxTokens == 0 {
		return nil
	}
	if maxTokens <= generated {
		return errNoTokensLeft
	}
	return f.set(name, maxTokens-generated)
}
