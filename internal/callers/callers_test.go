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

const callTimeout = 10 * time.Second

// addressOf returns the address of a test server.
func addressOf(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return addressOf(server)
}

// newClient returns a client whose directory returns the given routers, in order,
// and counts its lookups.
func newClient(t *testing.T, lookups *atomic.Int64, routers ...string) *Client {
	t.Helper()
	directory := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		lookups.Add(1)
		_ = json.NewEncoder(w).Encode(Address{Address: routers[0], ValidForMS: 60000, Alternates: routers[1:]})
	})
	client := New(Settings{Directories: []string{directory}, ResponseTimeout: time.Second, StallTimeout: time.Second, Seed: 1})
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

// closedAddress returns an address on which nothing listens.
func closedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return addressOf(server)
}

func sendChat(t *testing.T, client *Client) (*ChatResult, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return client.Chat(ctx, ChatCall{Workspace: "w", Chat: "c", Model: "m", MaxTokens: 3})
}

func TestChatResumesInterruptedStreamAtAlternate(t *testing.T) {
	var lookups atomic.Int64
	broken := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		sendToken(w, 0)
		panic(http.ErrAbortHandler)
	})
	var resumedFrom atomic.Value
	alternate := serve(t, func(w http.ResponseWriter, r *http.Request) {
		resumedFrom.Store(r.Header.Get(HeaderLastEvent))
		sendToken(w, 1)
		sendToken(w, 2)
		sendEnd(w)
	})
	result, err := sendChat(t, newClient(t, &lookups, closedAddress(), broken, alternate))
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(result.Tokens, []string{"t0", "t1", "t2"}) || resumedFrom.Load() != "0" || result.Resumes != 1 {
		t.Fatalf("result %+v, resumed from %v", result, resumedFrom.Load())
	}
}

func TestChatRestartsWhenStreamIsLost(t *testing.T) {
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
	result, err := sendChat(t, newClient(t, &lookups, router))
	if err != nil || len(result.Tokens) != 1 || result.Restarts != 1 {
		t.Fatalf("result %+v, error %v", result, err)
	}
}

func TestChatRetriesOnlyRefusalsWithRetryAfter(t *testing.T) {
	var lookups, calls atomic.Int64
	router := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			refusal.New(refusal.Overloaded, "later").WithRetryAfter(10*time.Millisecond).WriteHTTP(w, "")
			return
		}
		refusal.New(refusal.UnknownModel, "never").WriteHTTP(w, "")
	})
	_, err := sendChat(t, newClient(t, &lookups, router))
	var refused *refusal.Refusal
	if !errors.As(err, &refused) || refused.Kind != refusal.UnknownModel || calls.Load() != 2 {
		t.Fatalf("error %v after %d calls", err, calls.Load())
	}
}

func TestChatMovesOnFromUnresponsiveRouter(t *testing.T) {
	var lookups atomic.Int64
	unresponsive := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	responsive := serve(t, func(w http.ResponseWriter, _ *http.Request) { sendToken(w, 0); sendEnd(w) })
	result, err := sendChat(t, newClient(t, &lookups, unresponsive, responsive))
	if err != nil || result.Attempts != 2 {
		t.Fatalf("result %+v, error %v", result, err)
	}
}

func TestAddressIsCachedWhileValid(t *testing.T) {
	var lookups atomic.Int64
	router := serve(t, func(w http.ResponseWriter, _ *http.Request) { sendToken(w, 0); sendEnd(w) })
	client := newClient(t, &lookups, router)
	for range 3 {
		if _, err := sendChat(t, client); err != nil {
			t.Fatal(err)
		}
	}
	if lookups.Load() != 1 {
		t.Fatalf("%d lookups, want 1", lookups.Load())
	}
}

func TestCachedAddressIsDroppedWhenRouterLeaves(t *testing.T) {
	var lookups atomic.Int64
	router := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderMoveTo, "127.0.0.1:1")
		sendToken(w, 0)
		sendEnd(w)
	})
	client := newClient(t, &lookups, router)
	for range 2 {
		if _, err := sendChat(t, client); err != nil {
			t.Fatal(err)
		}
	}
	if lookups.Load() != 2 {
		t.Fatalf("%d lookups, want 2", lookups.Load())
	}
}

func TestActionIsResentWithSameKey(t *testing.T) {
	var lookups atomic.Int64
	keys := make(chan string, 2)
	failing := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Get(HeaderActionKey)
		panic(http.ErrAbortHandler)
	})
	working := serve(t, func(w http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Get(HeaderActionKey)
		w.Header().Set(HeaderOutcome, string(refusal.Done))
		_, _ = fmt.Fprint(w, "ok")
	})
	client := newClient(t, &lookups, failing, working)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := client.Call(ctx, ServiceCall{Workspace: "w", Service: "s", Method: "POST", Path: "/x", ActionKey: "k"})
	if err != nil || result.Outcome != refusal.Done || string(result.Body) != "ok" {
		t.Fatalf("result %+v, error %v", result, err)
	}
	if first, second := <-keys, <-keys; first != "k" || second != "k" {
		t.Fatal("the action was sent or resent with another key")
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
