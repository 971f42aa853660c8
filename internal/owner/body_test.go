package owner

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

func decode(t *testing.T, data []byte) map[string]any {
	t.Helper()
	fields := make(map[string]any)
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	return fields
}

// Fields unknown to routers must reach the engine. Decoding the body into the
// typed request dropped fields such as temperature.
func TestEngineBodyKeepsUnknownFields(t *testing.T) {
	body, err := engineBody(&peerpb.ChatCall{Body: []byte(
		`{"model":"m","temperature":0.2,"messages":[{"role":"user","content":"a","name":"foreman"}]}`)})
	if err != nil {
		t.Fatal(err)
	}
	want := decode(t, []byte(
		`{"model":"m","temperature":0.2,"stream":true,"messages":[{"role":"user","content":"a","name":"foreman"}]}`))
	if got := decode(t, body); !reflect.DeepEqual(got, want) {
		t.Errorf("body = %v, want %v", got, want)
	}
}

func TestEngineBodyContinuesGeneratedText(t *testing.T) {
	call := &peerpb.ChatCall{
		Body:          []byte(`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"a"}]}`),
		GeneratedText: "b c", GeneratedTokens: 2,
	}
	body, err := engineBody(call)
	if err != nil {
		t.Fatal(err)
	}
	want := decode(t, []byte(`{"model":"m","stream":true,"max_tokens":3,"continue_final_message":true,`+
		`"messages":[{"role":"user","content":"a"},{"role":"assistant","content":"b c"}]}`))
	if got := decode(t, body); !reflect.DeepEqual(got, want) {
		t.Errorf("body = %v, want %v", got, want)
	}
	call.GeneratedTokens = 5
	if _, err := engineBody(call); !errors.Is(err, errNoTokensLeft) {
		t.Errorf("error = %v, want errNoTokensLeft", err)
	}
}
