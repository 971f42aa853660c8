package etcdjson

import (
	"context"
	"net/http"
	"testing"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/standin/endless"
)

// The key-value service answers reads and watches without an end.
func TestResponsesWithoutEndAreBroken(t *testing.T) {
	responses := map[string]endless.Response{
		"value":   {Start: endless.OK + `{"kvs":[{"value":"`, More: "eeee"},
		"message": {Start: endless.OK + `{"result":{"events":[`, More: `{"kv":{"key":"YQ==","value":"eA=="}},`},
		"spaces":  {Start: endless.OK, More: " "},
	}
	for name, sent := range endless.Heads {
		responses[name] = sent
	}
	for name, sent := range responses {
		transport := newTransport()
		s, err := New(Options{Endpoints: []string{"http://" + endless.Serve(t, sent)}, Transport: transport})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Get(context.Background(), "a"); err == nil {
			t.Errorf("%s: a value is read", name)
		}
		batches, err := s.Watch(context.Background(), "", 1)
		if err == nil {
			var batch kv.WatchBatch
			for batch.Err == nil {
				batch = <-batches
			}
		}
		transport.(*http.Transport).CloseIdleConnections()
	}
}
