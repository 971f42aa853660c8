package replay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// On a busy machine, a stand-in takes longer than a question may; a command to
// it must not be given up on while it is carried out.
func TestCommandsHaveMoreTimeThanQuestions(t *testing.T) {
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
		t.Error("a question outlasts its bound")
	}
}
