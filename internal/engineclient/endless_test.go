package engineclient

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/standin/endless"
)

// An engine sends a head or an event without an end. The client gives up on its size,
// not when the time is over.
func TestResponsesWithoutEndAreBroken(t *testing.T) {
	const timeout = 20 * time.Second
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	responses := map[string]endless.Response{"event": {Start: stream + "data: ", More: "x"}}
	for name, sent := range endless.Heads {
		responses[name] = sent
	}
	for name, sent := range responses {
		c := New(timeout, timeout)
		s, err := c.Start(context.Background(), endless.Serve(t, sent), IDs{RequestID: "r", StreamID: "s"}, "", json.RawMessage("{}"))
		if err == nil {
			_, err = s.Next()
			s.Close()
		}
		if err == nil || errors.Is(err, ErrStalled) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
