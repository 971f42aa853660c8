package owner

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// errNoTokensLeft is returned when the response had already reached its token
// limit when its engine failed.
var errNoTokensLeft = errors.New("response has already reached its token limit")

// Fields of a chat request that routers modify. All other fields reach the engine
// as the caller sent them.
const (
	fieldMessages = "messages"
	fieldStream   = "stream"
	fieldContinue = "continue_final_message"
)

// limitFields are the request fields that may limit the tokens of the response.
var limitFields = []string{"max_tokens", "max_completion_tokens"}

// requestFields maps the field names of a chat request to their raw JSON values.
type requestFields map[string]json.RawMessage

func (f requestFields) set(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, name)
	}
	f[name] = data
	return nil
}

// engineBody returns the request body for an engine: the caller's body with
// streaming enabled, continuing the text that earlier engines generated.
func engineBody(call *peerpb.ChatCall) (json.RawMessage, error) {
	fields := make(requestFields)
	if err := json.Unmarshal(call.GetBody(), &fields); err != nil {
		return nil, errors.Wrap(err, "chat request")
	}
	if err := fields.set(fieldStream, true); err != nil {
		return nil, err
	}
	if call.GetGeneratedTokens() > 0 {
		if err := fields.continueFrom(call); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(fields)
	return data, errors.Wrap(err, "chat request")
}

// continueFrom appends the text generated so far as an assistant message that the
// engine continues, and reduces the token limits accordingly.
func (f requestFields) continueFrom(call *peerpb.ChatCall) error {
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

// reduceLimit subtracts the generated tokens from a limit. It returns
// errNoTokensLeft if none are left. A missing or zero limit stays as it is.
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
