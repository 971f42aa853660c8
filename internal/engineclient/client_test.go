package engineclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
)

const testRequest = "r1"

// token returns one event of a response stream.
func token(request string, index int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", index, request, index)
}

const finish = "data: {\"id\":\"r1\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":4}}\n\n"

const done = "data: " + engineapi.DoneMarker + "\n\n"

// readStream starts a request at an engine served by handler, and returns the
// text, the finish and the final error of its response stream.
func readStream(t *testing.T, handler http.HandlerFunc) (string, Finish, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	client := New(time.Minute, 50*time.Millisecond)
	address := strings.TrimPrefix(server.URL, "http://")
	stream, err := client.Start(context.Background(), address, IDs{RequestID: testRequest, StreamID: "s"}, "normal", []byte("{}"))
	if err != nil {
		return "", Finish{}, err
	}
	defer stream.Close()
	text := ""
	for {
		next, err := stream.Next()
		if err != nil {
			return text, stream.Finish(), err
		}
		text += next.Text
	}
}

func send(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Join(events, ""))
	}
}

func TestStream(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		text    string
		err     error
	}{
		{"complete", send(token("r1", 0), token("r1", 1), finish, done), "t0 t1 ", io.EOF},
		{"repeated token", send(token("r1", 0), token("r1", 0), token("r1", 1), finish, done), "t0 t1 ", io.EOF},
		{"missing token", send(token("r1", 0), token("r1", 2)), "t0 ", ErrUnexpectedToken},
		{"token of another request", send(token("r1", 0), token("r2", 1)), "t0 ", ErrUnexpectedToken},
		{"end without a finish reason", send(token("r1", 0), done), "t0 ", ErrConnectionLost},
		{"no end marker", send(token("r1", 0), finish), "t0 ", ErrConnectionLost},
		{"leaving", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "", ErrLeaving},
		{"rejected", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, "", ErrRejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text, finish, err := readStream(t, c.handler)
			if text != c.text || !errors.Is(err, c.err) {
				t.Errorf("text = %q, error = %v, want %q, %v", text, err, c.text, c.err)
			}
			if errors.Is(err, io.EOF) && (finish.Reason != "stop" || finish.Usage.PromptTokens != 4) {
				t.Errorf("finish = %+v", finish)
			}
		})
	}
}

func TestStreamWithoutTokensStalls(t *testing.T) {
	release := make(chan struct{})
	text, _, err := readStream(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, token("r1", 0))
		_ = http.NewResponseController(w).Flush()
		go func() {
			time.Sleep(200 * time.Millisecond)
			close(release)
		}()
		<-release
	})
	if text != "t0 " || !errors.Is(err, ErrStalled) {
		t.Errorf("text = %q, error = %v, want the first token and ErrStalled", text, err)
	}
}

func TestStartReportsUnreachableEngine(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := New(time.Minute, time.Minute).Start(context.Background(), address, IDs{RequestID: "r", StreamID: "s"}, "normal", []byte("{}"))
	if !errors.Is(err, ErrUnreachable) {
		t.Errorf("error = %v, want ErrUnreachable", err)
	}
}
