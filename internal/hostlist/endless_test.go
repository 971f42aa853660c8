package hostlist

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/standin/endless"
	"github.com/verbenatrail/verbenatrail/internal/upstream"
)

// The platform sends a list of hosts without an end.
func TestListWithoutEndIsRejected(t *testing.T) {
	responses := map[string]endless.Response{
		"body":  {Start: endless.OK, More: " "},
		"hosts": {Start: endless.OK + `{"hosts":[`, More: `{"name":"a"},`},
	}
	for name, sent := range endless.Heads {
		responses[name] = sent
	}
	for name, sent := range responses {
		client := &http.Client{Timeout: 20 * time.Second, Transport: upstream.NewTransport(upstream.Dialer(time.Second).DialContext, MaxListBytes)}
		started := time.Now()
		_, err := NewClient("http://"+endless.Serve(t, sent), "r", client).Poll(context.Background())
		if !errors.Is(err, ErrUnavailable) || time.Since(started) >= client.Timeout {
			t.Errorf("%s: %v", name, err)
		}
		client.CloseIdleConnections()
	}
}
