package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/weights"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is an engine behind an HTTP server.
type fixture struct {
	t      *testing.T
	server *Server
	client *http.Client
	url    string
}

func newFixture(t *testing.T, change func(*Config)) *fixture {
	cfg := DefaultConfig()
	cfg.TokenTime = time.Millisecond
	cfg.PrefillPerToken = 0
	if change != nil {
		change(&cfg)
	}
	server := New(cfg)
	web := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		web.Close()
	})
	return &fixture{t: t, server: server, client: web.Client(), url: web.URL}
}

// send makes a request; the response is nil when the connection fails.
func (f *fixture) send(method, path, requestID string, body any) *http.Response {
	f.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequest(method, f.url+path, bytes.NewReader(data))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set(engineapi.HeaderRequestID, requestID)
	resp, err := f.client.Do(req)
	if err != nil {
		return nil
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func (f *fixture) chat(requestID string, tokens int, messages ...engineapi.Message) *http.Response {
	f.t.Helper()
	return f.send(http.MethodPost, engineapi.PathChat, requestID, engineapi.ChatRequest{
		Model: "m", Messages: messages, MaxTokens: tokens, Stream: true,
	})
}

// received is the data read from a connection.
type received struct {
	chunks []engineapi.ChatChunk
	ids    []int
	done   bool
}

func (r received) text() string {
	text := ""
	for _, chunk := range r.chunks {
		text += chunk.Choices[0].Delta.Content
	}
	return text
}

// read reads a stream until it ends or, if limit is positive, until limit
// chunks were received.
func (f *fixture) read(body io.Reader, limit int) received {
	f.t.Helper()
	return f.readUntil(body, func(got received) bool { return len(got.chunks) == limit })
}

// readUntil reads a stream until it ends or stop returns true.
func (f *fixture) readUntil(body io.Reader, stop func(received) bool) received {
	f.t.Helper()
	var out received
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			index, err := strconv.Atoi(id)
			if err != nil {
				f.t.Fatal(err)
			}
			out.ids = append(out.ids, index)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == engineapi.DoneMarker {
			out.done = true
			return out
		}
		var chunk engineapi.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			f.t.Fatal(err)
		}
		out.chunks = append(out.chunks, chunk)
		if stop(out) {
			return out
		}
	}
	return out
}

func TestStreamIsTheExpectedAnswer(t *testing.T) {
	f := newFixture(t, nil)
	prompt := user("quote for two rollers")
	for _, tokens := range []int{0, 7} {
		resp := f.chat("r1", tokens, prompt)
		got := f.read(resp.Body, 0)
		if got.text() != ExpectedAnswer([]engineapi.Message{prompt}, tokens) || !got.done {
			t.Fatalf("got %q", got.text())
		}
		last := got.chunks[len(got.chunks)-1]
		if last.Usage == nil || last.Usage.PromptTokens != 4 || last.Usage.CompletionTokens != len(got.ids) {
			t.Fatalf("usage %+v", last.Usage)
		}
		if last.ID != "r1" || got.ids[len(got.ids)-1] != len(got.ids)-1 || resp.Header.Get(engineapi.HeaderStreamID) == "" {
			t.Fatalf("identifiers %q %v", last.ID, got.ids)
		}
	}
}

func TestAnswerWithoutStream(t *testing.T) {
	f := newFixture(t, nil)
	resp := f.send(http.MethodPost, engineapi.PathChat, "r1", engineapi.ChatRequest{
		Messages: []engineapi.Message{user("hello")}, MaxTokens: 5,
	})
	var answer Completion
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	want := ExpectedAnswer([]engineapi.Message{user("hello")}, 5)
	if answer.ID != "r1" || answer.Choices[0].Message.Content != want || answer.Usage.CompletionTokens != 5 {
		t.Fatalf("got %+v", answer)
	}
}

func TestNextTurnFindsTheWholeChatCached(t *testing.T) {
	f := newFixture(t, nil)
	first := user("one two three")
	answer := f.read(f.chat("r1", 6, first).Body, 0).text()
	next := f.read(f.chat("r2", 1, first, engineapi.Message{Role: "assistant", Content: answer}, user("more please")).Body, 0)
	usage := next.chunks[0].Usage
	if usage.PromptTokens != 11 || usage.PromptTokensDetails.CachedTokens != 9 {
		t.Fatalf("usage %+v", usage)
	}
}

func TestCutStreamIsResumed(t *testing.T) {
	f := newFixture(t, nil)
	f.server.Faults.Update(func(v *Faults) { v.Cut = StreamFault{Count: 1, AfterTokens: 3} })
	resp := f.chat("r1", 9, user("hello"))
	head := f.read(resp.Body, 0)
	if head.done || len(head.ids) != 3 {
		t.Fatalf("before the cut: %+v", head.ids)
	}
	path := engineapi.PathStreams + resp.Header.Get(engineapi.HeaderStreamID) + "?after=2"
	tail := f.read(f.send(http.MethodGet, path, "", nil).Body, 0)
	if head.text()+tail.text() != ExpectedAnswer([]engineapi.Message{user("hello")}, 9) || !tail.done || tail.ids[0] != 3 {
		t.Fatalf("head %q, tail %q", head.text(), tail.text())
	}
	if again := f.read(f.send(http.MethodGet, strings.Replace(path, "=2", "=8", 1), "", nil).Body, 0); len(again.ids) != 0 || again.chunks[0].Usage == nil {
		t.Fatalf("resume after the last token: %+v", again)
	}
}

func TestSilentConnectionLeavesNewOnesWorking(t *testing.T) {
	f := newFixture(t, nil)
	f.server.Faults.Update(func(v *Faults) { v.Silent = StreamFault{Count: 1, AfterTokens: 2} })
	resp := f.chat("r1", 5, user("hello"))
	if head := f.read(resp.Body, 2); len(head.ids) != 2 {
		t.Fatalf("head %+v", head.ids)
	}
	path := engineapi.PathStreams + resp.Header.Get(engineapi.HeaderStreamID) + "?after=1"
	if tail := f.read(f.send(http.MethodGet, path, "", nil).Body, 0); !tail.done || len(tail.ids) != 3 {
		t.Fatalf("tail %+v", tail.ids)
	}
}

func TestActionSilencesOpenConnections(t *testing.T) {
	f := newFixture(t, nil)
	resp := f.chat("r1", 100_000, user("hello"))
	f.read(resp.Body, 1)
	f.server.Act(Action{SilenceOpen: true})
	for f.server.State().WentSilent == 0 {
		time.Sleep(time.Millisecond)
	}
	if other := f.read(f.chat("r2", 3, user("other")).Body, 0); !other.done {
		t.Fatal("a new connection is silent too")
	}
}

func TestSwappedChunksCarryTheOtherRequest(t *testing.T) {
	f := newFixture(t, nil)
	long := f.chat("long", 100_000, user("first"))
	f.server.Faults.Update(func(v *Faults) { v.SwapChunks = 1 })
	foreign := 0
	for _, chunk := range f.read(f.chat("short", 50, user("second")).Body, 0).chunks {
		if chunk.ID == "long" {
			foreign++
		}
	}
	if foreign != 1 || f.server.State().ChunksSwapped != 1 {
		t.Fatalf("%d foreign chunks, state %+v", foreign, f.server.State())
	}
	got := f.readUntil(long.Body, func(r received) bool { return r.chunks[len(r.chunks)-1].ID == "short" })
	if got.done {
		t.Fatal("the other stream got no foreign chunk")
	}
}

func TestDuplicatedChunk(t *testing.T) {
	f := newFixture(t, nil)
	f.server.Faults.Update(func(v *Faults) { v.DuplicateChunks = 1 })
	got := f.read(f.chat("r1", 3, user("hello")).Body, 0)
	if len(got.ids) != 4 || got.ids[0] != 0 || got.ids[1] != 0 {
		t.Fatalf("ids %v", got.ids)
	}
}

func TestCancelEndsTheStream(t *testing.T) {
	f := newFixture(t, nil)
	resp := f.chat("r1", 100_000, user("hello"))
	path := engineapi.PathStreams + resp.Header.Get(engineapi.HeaderStreamID)
	if answer := f.send(http.MethodDelete, path, "", nil); answer.StatusCode != http.StatusNoContent {
		t.Fatalf("status %d", answer.StatusCode)
	}
	if got := f.read(resp.Body, 0); got.done {
		t.Fatal("a cancelled stream ended as complete")
	}
	if again := f.send(http.MethodGet, path, "", nil); again.StatusCode != http.StatusNotFound || f.server.State().Running != 0 {
		t.Fatalf("status %d, state %+v", again.StatusCode, f.server.State())
	}
}

func TestCrashCutsAllConnections(t *testing.T) {
	f := newFixture(t, nil)
	f.server.Faults.Update(func(v *Faults) { v.CrashWord = "poison" })
	other := f.chat("r1", 100_000, user("hello"))
	if resp := f.chat("r2", 1, user("some poison here")); resp != nil {
		t.Fatalf("status %d, want a broken connection", resp.StatusCode)
	}
	if f.read(other.Body, 0).done {
		t.Fatal("the other stream ended as complete")
	}
	if resp := f.send(http.MethodGet, engineapi.PathHealth, "", nil); resp != nil {
		t.Fatal("the engine still answers")
	}
}

func TestLeavingEngineFinishesItsWork(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.LeaveGrace = 0 })
	resp := f.chat("r1", 20, user("hello"))
	f.server.Leave()
	if refused := f.chat("r2", 1, user("late")); refused.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("status %d", refused.StatusCode)
	}
	var health engineapi.Health
	if err := json.NewDecoder(f.send(http.MethodGet, engineapi.PathHealth, "", nil).Body).Decode(&health); err != nil {
		t.Fatal(err)
	}
	if health.State != healthLeaving || !f.read(resp.Body, 0).done {
		t.Fatalf("health %+v", health)
	}
}

func TestFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		f := newFixture(t, func(c *Config) { c.Fencing = fencing })
		f.send(http.MethodPost, engineapi.PathOrders, "", engineapi.Order{Fence: 5, Action: actionLoad, Model: "new"})
		resp := f.send(http.MethodPost, engineapi.PathOrders, "", engineapi.Order{Fence: 4, Action: actionRole, Role: "old"})
		var state engineapi.OrderState
		if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
			t.Fatal(err)
		}
		refused := resp.StatusCode == http.StatusConflict && state.Role == ""
		if refused != fencing || state.Fence != 5 || state.Models[0] != "new" {
			t.Errorf("fencing %v: status %d, state %+v", fencing, resp.StatusCode, state)
		}
	}
}

func TestLoadOrderReadsTheWeightStore(t *testing.T) {
	weightServer := weights.New(weights.Config{LoadsPerMinute: 1, Burst: 1, SizeBytes: 10})
	store := httptest.NewServer(weightServer)
	defer store.Close()
	f := newFixture(t, func(c *Config) { c.Models, c.WeightStore = []string{"a"}, store.URL })
	for i, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		order := engineapi.Order{Fence: 1, Action: actionLoad, Model: "m" + strconv.Itoa(i)}
		resp := f.send(http.MethodPost, engineapi.PathOrders, "", order)
		if resp.StatusCode != want {
			t.Fatalf("load %d: status %d", i, resp.StatusCode)
		}
	}
	old := engineapi.Order{Fence: 0, Action: actionLoad, Model: "old"}
	if resp := f.send(http.MethodPost, engineapi.PathOrders, "", old); resp.StatusCode != http.StatusConflict {
		t.Fatalf("old fence: status %d", resp.StatusCode)
	}
	if state := weightServer.State(); state.Served != 1 || state.RateLimited != 1 {
		t.Fatalf("an order with an old fence reached the store: %+v", state)
	}
	if models := f.server.orderState().Models; strings.Join(models, " ") != "a m0" {
		t.Fatalf("models %v", models)
	}
}

func TestCacheMovesToAnotherEngine(t *testing.T) {
	from, to := newFixture(t, nil), newFixture(t, nil)
	prompt := []engineapi.Message{user("one two"), user("three")}
	f := from.read(from.chat("r1", 1, prompt...).Body, 0)
	export := engineapi.CacheExport{PrefixHash: engineapi.PrefixHash(prompt)}
	body, err := io.ReadAll(from.send(http.MethodPost, engineapi.PathCacheExport, "", export).Body)
	if err != nil || !f.done {
		t.Fatal(err)
	}
	to.send(http.MethodPost, engineapi.PathCacheImport, "", json.RawMessage(body))
	usage := to.read(to.chat("r2", 1, prompt...).Body, 0).chunks[0].Usage
	if usage.PromptTokensDetails.CachedTokens != 3 {
		t.Fatalf("usage %+v", usage)
	}
	export.PrefixHash++
	if resp := from.send(http.MethodPost, engineapi.PathCacheExport, "", export); resp.StatusCode != http.StatusNotFound {
		t.Fatalf("status %d for an unknown prefix", resp.StatusCode)
	}
}

func TestOutageAndLyingReport(t *testing.T) {
	f := newFixture(t, nil)
	f.server.Faults.Update(func(v *Faults) { v.LoadReport = &engineapi.Load{Running: 77} })
	var load engineapi.Load
	if err := json.NewDecoder(f.send(http.MethodGet, engineapi.PathLoad, "", nil).Body).Decode(&load); err != nil || load.Running != 77 {
		t.Fatalf("load %+v, err %v", load, err)
	}
	f.server.Faults.Update(func(v *Faults) { v.Outage = standin.OutageCut })
	if resp := f.chat("r1", 1, user("hello")); resp != nil {
		t.Fatalf("status %d during an outage", resp.StatusCode)
	}
}

func TestFreezeFollowsTheLastChangeOfFaults(t *testing.T) {
	s := New(DefaultConfig())
	for range 20_000 {
		s.Faults.Update(func(v *Faults) { v.Frozen = true })
		var group sync.WaitGroup
		group.Go(func() { s.Faults.Update(func(v *Faults) { v.DuplicateChunks++ }) })
		group.Go(func() { s.Faults.Update(func(v *Faults) { v.Frozen = false }) })
		group.Wait()
		if s.unfrozen != nil {
			t.Fatal("still frozen")
		}
	}
}

func TestInvalidRequests(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Models = []string{"m"} })
	for _, tc := range []struct {
		req  engineapi.ChatRequest
		want int
	}{
		{engineapi.ChatRequest{Model: "m"}, http.StatusBadRequest},
		{engineapi.ChatRequest{Model: "m", Messages: []engineapi.Message{user("x")}, ContinueFinalMessage: true}, http.StatusBadRequest},
		{engineapi.ChatRequest{Model: "other", Messages: []engineapi.Message{user("x")}}, http.StatusNotFound},
	} {
		if resp := f.send(http.MethodPost, engineapi.PathChat, "", tc.req); resp.StatusCode != tc.want {
			t.Errorf("%+v: status %d", tc.req, resp.StatusCode)
		}
	}
}
