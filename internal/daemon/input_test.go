package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/router"
	"github.com/verbenatrail/verbenatrail/internal/settings"
)

// badInput is a request that must be refused with the outcome not run.
type badInput struct {
	name   string
	method string
	path   string
	header map[string]string
	body   string
	status int
	kind   refusal.Kind
}

var badInputs = []badInput{
	{name: "broken JSON", method: "POST", path: router.PathChat, body: "{", status: 400, kind: refusal.BadRequest},
	{name: "no model", method: "POST", path: router.PathChat, body: `{"messages":[{"role":"user","content":"x"}]}`,
		status: 400, kind: refusal.BadRequest},
	{name: "no messages", method: "POST", path: router.PathChat, body: `{"model":"assistant"}`,
		status: 400, kind: refusal.BadRequest},
	{name: "reserved field", method: "POST", path: router.PathChat,
		body:   `{"model":"assistant","continue_final_message":true,"messages":[{"role":"user","content":"x"}]}`,
		status: 400, kind: refusal.BadRequest},
	{name: "unknown model", method: "POST", path: router.PathChat,
		body: `{"model":"other","messages":[{"role":"user","content":"x"}]}`, status: 404, kind: refusal.UnknownModel},
	{name: "wrong method", method: "GET", path: router.PathChat, status: 405, kind: refusal.MethodNotAllowed},
	{name: "unknown workspace", method: "POST", path: router.PathChat, header: map[string]string{router.HeaderWorkspace: "x"},
		body: `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`, status: 403, kind: refusal.UnknownWorkspace},
	{name: "bad timeout", method: "POST", path: router.PathChat, header: map[string]string{router.HeaderTimeoutMS: "-1"},
		status: 400, kind: refusal.BadRequest},
	{name: "bad priority", method: "POST", path: router.PathChat, header: map[string]string{router.HeaderPriority: "top"},
		status: 400, kind: refusal.BadRequest},
	{name: "bad event id", method: "POST", path: router.PathChat, header: map[string]string{router.HeaderLastEventID: "7"},
		body: `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`, status: 400, kind: refusal.BadRequest},
	{name: "oversized body", method: "POST", path: router.PathChat, body: strings.Repeat("x", 3<<20),
		status: 413, kind: refusal.BodyTooLarge},
	{name: "unknown path", method: "GET", path: "/v2", status: 404, kind: refusal.UnknownService},
	{name: "unknown service", method: "GET", path: router.PathServices + "other/x", status: 404, kind: refusal.UnknownService},
	{name: "dot segments", method: "GET", path: router.PathServices + "booking/a/%2e%2e/b", status: 400, kind: refusal.BadRequest},
	{name: "action without key", method: "POST", path: router.PathServices + "booking/hires", status: 400, kind: refusal.ActionKeyMissing},
	{name: "action key of another version", method: "POST", path: router.PathServices + "booking/hires",
		header: map[string]string{router.HeaderActionKey: "7f3de1a0-9a5b-4c1d-8e2f-0a1b2c3d4e5f"}, status: 400, kind: refusal.ActionKeyInvalid},
}

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	f := startFleet(t, fleetSize{routers: 1, engines: 1, instances: 1})
	for _, input := range badInputs {
		t.Run(input.name, func(t *testing.T) {
			request := f.newRequest("router-1", input.method, input.path, []byte(input.body))
			for name, value := range input.header {
				request.Header.Set(name, value)
			}
			response := f.do(request)
			wantStatus(t, response, input.status)
			refused := readRefusal(t, response)
			if refused.Kind != input.kind || refused.Outcome != refusal.NotRun || refused.Message == "" {
				t.Errorf("refusal = %+v, want kind %s, not run", refused, input.kind)
			}
		})
	}
	if chats := f.engines["engine-1"].State().Chats; chats != 0 {
		t.Errorf("engine got %d chats, want 0", chats)
	}
	if total := f.instances["booking-1"].AllExecutions().Total; total != 0 {
		t.Errorf("service executed %d calls, want 0", total)
	}
}

// A request whose body stops arriving is refused after the body timeout and isn't
// run.
func TestIncompleteBodyIsRefused(t *testing.T) {
	f := startFleetWith(t, fleetSize{routers: 1, engines: 1, instances: 1}, func(s *RouterSettings) {
		s.Callers.BodyTimeout = settings.Duration(200 * time.Millisecond)
	})
	conn, err := net.Dial("tcp", f.routers["router-1"].address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s: quotes\r\nContent-Length: 100\r\n\r\n{\"model\"",
		router.PathChat, router.HeaderWorkspace)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	answer, _ := io.ReadAll(conn)
	if !strings.HasPrefix(string(answer), "HTTP/1.1 408") || !strings.Contains(string(answer), string(refusal.SlowRequest)) {
		t.Errorf("answer = %q, want a refusal with status 408", answer)
	}
	if chats := f.engines["engine-1"].State().Chats; chats != 0 {
		t.Errorf("engine got %d chats, want 0", chats)
	}
}

// The total size of the bodies of all open requests is bounded: a request that would
// exceed the bound is refused immediately.
func TestTotalBodySizeIsBounded(t *testing.T) {
	f := startFleetWith(t, fleetSize{routers: 1, engines: 1, instances: 1}, func(s *RouterSettings) {
		s.Callers.MaxBodyBytes = 1 << 20
		s.Callers.MaxHeldBodyBytes = 1 << 20
		s.Callers.BodyTimeout = settings.Duration(testTimeout)
	})
	conn, err := net.Dial("tcp", f.routers["router-1"].address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s: quotes\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
		router.PathChat, router.HeaderWorkspace, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	// The router sends 100 Continue after it has reserved memory for the body.
	if line, err := bufio.NewReader(conn).ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("line = %q, %v, want status 100", line, err)
	}
	body := []byte(`{"model":"assistant","messages":[{"role":"user","content":"x"}]}`)
	response := f.do(f.newRequest("router-1", http.MethodPost, router.PathChat, body))
	wantStatus(t, response, http.StatusTooManyRequests)
	if response.Header.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After header")
	}
}
