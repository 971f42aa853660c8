package vtctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
	"github.com/verbenatrail/verbenatrail/internal/status"
)

const declarations = `
workspaces:
  - name: quotes
    labels: {team: rental}
engines:
  - name: balaju-1
    model: assistant
  - name: balaju-2
    model: assistant
selectors:
  - name: rental
    workspaces: {matchLabels: {team: rental}}
    models: [assistant]
    upstreams: {}
`

// operator runs vtctl on its own directory of declarations.
type operator struct {
	t         *testing.T
	directory string
	endpoint  string
	name      string
}

func startKeyValueServer(t *testing.T) (*kvserver.Server, string) {
	t.Helper()
	service := kvserver.New(kvserver.DefaultConfig())
	server := httptest.NewServer(service)
	t.Cleanup(service.Close)
	t.Cleanup(server.Close)
	return service, server.URL
}

func newOperator(t *testing.T, name, endpoint, text string) *operator {
	t.Helper()
	o := &operator{t: t, directory: t.TempDir(), endpoint: endpoint, name: name}
	o.write(text)
	return o
}

func (o *operator) write(text string) {
	o.t.Helper()
	if err := os.WriteFile(filepath.Join(o.directory, "fleet.yaml"), []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
}

// run runs vtctl, fails the test unless it exits with code, and returns its output.
func (o *operator) run(code int, arguments ...string) string {
	o.t.Helper()
	var out bytes.Buffer
	arguments = append(arguments, "--key-value", o.endpoint, "--author", o.name)
	if got := Run(context.Background(), arguments, &out, &out); got != code {
		o.t.Fatalf("vtctl %s: exit code %d, want %d\n%s", strings.Join(arguments, " "), got, code, out.String())
	}
	return out.String()
}

func expect(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Fatalf("missing %q in:\n%s", part, text)
		}
	}
}

func TestCheck(t *testing.T) {
	o := newOperator(t, "ana", "http://127.0.0.1:1", declarations)
	expect(t, o.run(ExitOK, "check", o.directory), "ok: 1 workspaces, 2 engines, 0 services, 1 selectors")
	o.write(strings.Replace(declarations, "model:", "modle:", 1))
	expect(t, o.run(ExitInvalidInput, "check", o.directory), "fleet.yaml:7:5", `unknown field "modle"`, "use one of")
	var result checkResult
	text := o.run(ExitInvalidInput, "check", o.directory, "-o", "json")
	if err := json.NewDecoder(strings.NewReader(text)).Decode(&result); err != nil || len(result.Errors) != 1 || result.Errors[0].Position.Line != 7 {
		t.Fatal(text, err)
	}
}

func TestApplyDiffGet(t *testing.T) {
	_, endpoint := startKeyValueServer(t)
	o := newOperator(t, "ana", endpoint, declarations)
	expect(t, o.run(ExitDifference, "diff", o.directory, "--exit-code"), "against revision 0: 4 changes")
	expect(t, o.run(ExitOK, "apply", o.directory), "committed revision 1: 4 changes")
	expect(t, o.run(ExitOK, "apply", o.directory), "no change: revision 1")
	o.write(strings.Replace(declarations, "team: rental", "team: rental, tier: gold", 1))
	expect(t, o.run(ExitOK, "diff", o.directory), "~ workspace/quotes", `"tier":"gold"`)
	expect(t, o.run(ExitOK, "apply", o.directory), "committed revision 2: 1 changes")
	expect(t, o.run(ExitOK, "get", "workspaces"), "revision  2", "quotes", "team=rental,tier=gold")
	expect(t, o.run(ExitOK, "diff", "--from", "1"), "revision 2 by ana", "workspace/quotes")
	o.write(o.run(ExitOK, "get", "all", "-o", "yaml"))
	expect(t, o.run(ExitOK, "apply", o.directory), "no change: revision 2")
}

func TestConcurrentApplyConflicts(t *testing.T) {
	_, endpoint := startKeyValueServer(t)
	ana := newOperator(t, "ana", endpoint, declarations)
	ana.run(ExitOK, "apply", ana.directory)
	bikash := newOperator(t, "bikash", endpoint, strings.Replace(declarations, "balaju-2", "lalitpur-2", 1))
	expect(t, bikash.run(ExitInvalidInput, "apply", bikash.directory), "base revision of the files unknown", "--base 1")
	ana.write(declarations + "  - name: extra\n    workspaces: {}\n    models: [assistant]\n    upstreams: {}\n")
	ana.run(ExitOK, "apply", ana.directory)
	conflict := bikash.run(ExitConflict, "apply", bikash.directory, "--base", "1")
	expect(t, conflict, "from revision 1 to 2", "committed by ana", "vtctl diff --from 1", "--base 2")
	expect(t, bikash.run(ExitOK, "get", "selectors"), "extra")
	expect(t, bikash.run(ExitOK, "apply", bikash.directory, "--base", "2"), "committed revision 3")
}

func TestDrainDoesNotConflictWithOlderBase(t *testing.T) {
	_, endpoint := startKeyValueServer(t)
	o := newOperator(t, "ana", endpoint, declarations)
	o.run(ExitOK, "apply", o.directory)
	expect(t, o.run(ExitInvalidInput, "drain", "nobody"), "no such upstream")
	expect(t, o.run(ExitOK, "drain", "balaju-2"), "committed revision 2")
	expect(t, o.run(ExitOK, "drain", "balaju-2"), "no change: revision 2")
	o.write(strings.Replace(declarations, "team: rental", "team: rental, tier: gold", 1))
	expect(t, o.run(ExitOK, "apply", o.directory), "committed revision 3: 1 changes")
	expect(t, o.run(ExitOK, "get", "drains"), "balaju-2")
	o.write(strings.Replace(declarations, "  - name: balaju-2\n    model: assistant\n", "", 1))
	o.run(ExitOK, "apply", o.directory)
	if text := o.run(ExitOK, "get", "drains"); strings.Contains(text, "balaju-2") {
		t.Fatal(text)
	}
	o.run(ExitOK, "drain", "balaju-1")
	expect(t, o.run(ExitOK, "undrain", "balaju-1"), "committed")
}

func TestApplyWithLostReplyAndOutage(t *testing.T) {
	service, endpoint := startKeyValueServer(t)
	o := newOperator(t, "ana", endpoint, declarations)
	service.Faults.Update(func(f *kvserver.Faults) { f.LoseWriteReplies = 1 })
	expect(t, o.run(ExitOK, "apply", o.directory), "committed revision 1")
	o.write(strings.Replace(declarations, "team: rental", "team: rental, tier: gold", 1))
	service.Faults.Update(func(f *kvserver.Faults) { f.Outage = "refuse" })
	expect(t, o.run(ExitFailed, "apply", o.directory, "--timeout", "300ms"), "unavailable")
}

func TestStatus(t *testing.T) {
	_, endpoint := startKeyValueServer(t)
	o := newOperator(t, "ana", endpoint, declarations)
	o.run(ExitOK, "apply", o.directory)
	pages := http.NewServeMux()
	pages.HandleFunc(status.Path, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Page{
			Name: "router-1", ConfigRevision: 7,
			Upstreams: []status.Upstream{{Name: "balaju-1", State: "live"}, {Name: "balaju-2", State: "live"}},
			Loads:     []status.Load{{Upstream: "balaju-1", InFlight: 3}, {Upstream: "balaju-2", InFlight: 1, Queued: 4}},
		})
	})
	pages.HandleFunc(status.MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"owner.prompt.tokens":{"count":200},"owner.cached_prompt.tokens":{"count":194},"a.timer":{"mean":1.5}}`)
	})
	full := httptest.NewServer(pages)
	defer full.Close()
	sparse := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	defer sparse.Close()
	addresses := strings.Join([]string{full.Listener.Addr().String(), sparse.Listener.Addr().String()}, ",")
	text := o.run(ExitOK, "status", "--sample", "1ms", "--routers", addresses)
	expect(t, text, "newest revision: 1", "daemons have revision 7", "--base current --above 7", "router-1", "0.970", "assistant/rental  2          2.00            1.50", "balaju-2")
	expect(t, o.run(ExitOK, "apply", o.directory, "--base", "current", "--above", "7"), "committed revision 8")
	expect(t, o.run(ExitFailed, "status", "--sample", "0", "--routers", addresses+",127.0.0.1:1"), "1 of 3 daemons gave no status")
	expect(t, o.run(ExitInvalidInput, "status"), "give --routers")
}

func TestUsage(t *testing.T) {
	o := &operator{t: t, endpoint: "http://127.0.0.1:1", name: "ana"}
	o.run(ExitInvalidInput, "get", "things")
	o.run(ExitInvalidInput, "diff")
	o.run(ExitInvalidInput, "check", "--unknown")
	o.run(ExitFailed, "check", filepath.Join(t.TempDir(), "absent"))
	o.run(ExitInvalidInput, "nothing")
	var out bytes.Buffer
	if code := Run(context.Background(), []string{"--version"}, &out, &out); code != ExitOK {
		t.Fatal(code)
	}
	expect(t, out.String(), "vtctl version")
	expect(t, o.run(ExitOK, "completion", "bash"), "bash completion")
}
