package replay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestCommandsHaveLongerTimeoutThanReads guards against commands that time out while
// a stand-in is executing them: on a busy machine a response can take longer than
// the timeout of a read.
func TestCommandsHaveLongerTimeoutThanReads(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(2 * adminTimeout):
			w.WriteHeader(http.StatusNoContent)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	c := newAdminClient()
	defer c.close()
	address := strings.TrimPrefix(server.URL, "http://")
	if err := c.post(context.Background(), address, "/", struct{}{}); err != nil {
		t.Errorf("command: %v", err)
	}
	if err := c.get(context.Background(), address, "/", nil); err == nil {
		t.Error("read succeeded after its timeout")
	}
}
