package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const callDeadline = 10 * time.Second

// host is the address of a test server.
func host(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return host(server)
}

// newClient returns a client whose directory names the routers, in order.
func newClient(t *testing.T, lookups *atomic.Int64, routers ...string) *Client {
	t.Helper()
	directory := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		lookups.Add(1)
		_ = json.NewEncoder(w).Encode(Address{Address: routers[0], ValidForMS: 60000, Alternates: routers[1:]})
	})
	client := New(Settings{Directories: []string{directory}, ResponseTimeout: time.Second, SilenceTimeout: time.Second, Seed: 1})
	t.Cleanup(client.Close)
	return client
}

func sendToken(w http.ResponseWriter, index int) {
	chunk := engineapi.ChatChunk{Choices: []engineapi.Choice{{Delta: engineapi.Delta{Content: fmt.Sprint("t", index)}}}}
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, data)
	w.(http.Flusher).Flush()
}

func sendEnd(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "data: [DONE]\n\n") }

// closedAddress is an address where nothing listens.
func closedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return host(server)
}

func chat(t *testing.T, client *Client) (*ChatResult, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	return client.Chat(ctx, ChatCall{Workspace: "w", Chat: "c", Model: "m", MaxTokens: 3})
}

func TestChatResumesABrokenStreamAtAnAlternate(t *testing.T) {
	var lookups atomic.Int64
	broken := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		sendToken(w, 0)
		panic(http.ErrAbortHandler)
	})
	var resumedFrom atomic.Value
	rest := serve(t, func(w http.ResponseWriter, r *http.Request) {
		resumedFrom.Store(r.Header.Get(HeaderLastEvent))
		sendToken(w, 1)
		sendToken(w, 2)
		sendEnd(w)
	})
	answer, err := chat(t, newClient(t, &lookups, closedAddress(), broken, rest))
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(answer.Tokens, []string{"t0", "t1", "t2"}) || resumedFrom.Load() != "0" || answer.Resumes != 1 {
		t.Fatalf("answer %+v, resumed from %v", answer, resumedFrom.Load())
	}
}

func TestChatBeginsAnewWhenTheStreamIsLost(t *testing.T) {
	var lookups atomic.Int64
	router := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderLastEvent) != "" {
			refusal.NewUnknown(refusal.StreamLost, "send the request again").WriteHTTP(w, "")
			return
		}
		sendToken(w, 0)
		if lookups.Load() > 1 {
			sendEnd(w)
			return
		}
		panic(http.ErrAbortHandler)
	})
	answer, err := chat(t, newClient(t, &lookups, router))
	if err != nil || len(answer.Tokens) != 1 || answer.Restarts != 1 {
		t.Fatalf("answer %+v, error %v", answer, err)
	}
}

func TestChatWaitsForRetryAfterAndStopsWithoutOne(t *testing.T) {
	var lookups, calls atomic.Int64
	router := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			refusal.New(refusal.Overloaded, "later").WithRetryAfter(10*time.Millisecond).WriteHTTP(w, "")
			return
		}
		refusal.New(refusal.UnknownModel, "never").WriteHTTP(w, "")
	})
	_, err := chat(t, newClient(t, &lookups, router))
	var refused *refusal.Refusal
	if !errors.As(err, &refused) || refused.Kind != refusal.UnknownModel || calls.Load() != 2 {
		t.Fatalf("error %v after %d calls", err, calls.Load())
	}
}

func TestChatLeavesASilentRouter(t *testing.T) {
	var lookups atomic.Int64
	silent := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	lively := serve(t, func(w http.ResponseWriter, _ *http.Request) { sendToken(w, 0); sendEnd(w) })
	answer, err := chat(t, newClient(t, &lookups, silent, lively))
	if err != nil || answer.Attempts != 2 {
		t.Fatalf("answer %+v, error %v", answer, err)
	}
}

func TestAddressIsKeptWhileValid(t *testing.T) {
	var lookups atomic.Int64
	router := serve(t, func(w http.ResponseWriter, _ *http.Request) { sendToken(w, 0); sendEnd(w) })
	client := newClient(t, &lookups, router)
	for range 3 {
		if _, err := chat(t, client); err != nil {
			t.Fatal(err)
		}
	}
	if lookups.Load() != 1 {
		t.Fatalf("%d lookups, want 1", lookups.Load())
	}
}

func TestAddressIsDroppedWhenTheRouterLeaves(t *testing.T) {
	var lookups atomic.Int64
	router := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderMoveTo, "127.0.0.1:1")
		sendToken(w, 0)
		sendEnd(w)
	})
	client := newClient(t, &lookups, router)
	for range 2 {
		if _, err := chat(t, client); err != nil {
			t.Fatal(err)
		}
	}
	if lookups.Load() != 2 {
		t.Fatalf("%d lookups, want 2", lookups.Load())
	}
}

func TestActionIsResentUnderTheSameKey(t *testing.T) {
	var lookups atomic.Int64
	keys := make(chan string, 2)
	lost := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Get(HeaderActionKey)
		panic(http.ErrAbortHandler)
	})
	answers := serve(t, func(w http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Get(HeaderActionKey)
		w.Header().Set(HeaderOutcome, string(refusal.Done))
		_, _ = fmt.Fprint(w, "ok")
	})
	client := newClient(t, &lookups, lost, answers)
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	answer, err := client.Call(ctx, ServiceCall{Workspace: "w", Service: "s", Method: "POST", Path: "/x", ActionKey: "k"})
	if err != nil || answer.Outcome != refusal.Done || string(answer.Body) != "ok" {
		t.Fatalf("answer %+v, error %v", answer, err)
	}
	if first, second := <-keys, <-keys; first != "k" || second != "k" {
		t.Fatal("the resend had another key")
	}
}

func TestOutcomeAfterAnAttempt(t *testing.T) {
	cases := []struct {
		before refusal.Outcome
		err    error
		want   refusal.Outcome
	}{
		{refusal.NotRun, nil, refusal.Done},
		{refusal.NotRun, ErrNotConnected, refusal.NotRun},
		{refusal.Unknown, ErrNotConnected, refusal.Unknown},
		{refusal.NotRun, ErrConnectionLost, refusal.Unknown},
		{refusal.Unknown, refusal.New(refusal.Overloaded, ""), refusal.NotRun},
		{refusal.NotRun, refusal.NewUnknown(refusal.ActionUnconfirmed, ""), refusal.Unknown},
	}
	for _, c := range cases {
		if got := nextOutcome(c.before, c.err); got != c.want {
			t.Errorf("%s after %v: got %s, want %s", c.before, c.err, got, c.want)
		}
	}
}
