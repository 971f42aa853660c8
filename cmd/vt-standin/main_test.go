package main

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// runEnv, when set, makes the test binary run main instead of the tests.
const runEnv = "VT_STANDIN_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

var addressField = regexp.MustCompile(`address="([^"]+)"`)

// process is a stand-in running in its own process.
type process struct {
	cmd *exec.Cmd
	url string
}

func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runEnv+"=1")
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	reader := bufio.NewReader(stderr)
	line, err := reader.ReadString('\n')
	match := addressField.FindStringSubmatch(line)
	if err != nil || match == nil {
		t.Fatalf("no address in %q: %v", line, err)
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	return &process{cmd: cmd, url: "http://" + match[1]}
}

// exitCode waits for the process to exit and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	err := p.cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return p.cmd.ProcessState.ExitCode()
}

func chat(url, word string) (*http.Response, error) {
	body := `{"model":"m","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"` + word + `"}]}`
	return http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
}

func TestEveryStandInServesItsState(t *testing.T) {
	for _, kind := range []string{"kv", "hostlist", "engine", "service", "weights"} {
		p := startProcess(t, kind)
		resp, err := http.Get(p.url + "/admin/state")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v", kind, err)
		}
		_ = resp.Body.Close()
		_ = p.cmd.Process.Signal(syscall.SIGINT)
		if code := p.exitCode(t); code != 0 {
			t.Errorf("%s: exit code %d", kind, code)
		}
	}
}

func TestCrashWordEndsTheProcess(t *testing.T) {
	p := startProcess(t, "engine", "--crash-word", "poison")
	if resp, err := chat(p.url, "poison"); err == nil {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if code := p.exitCode(t); code != crashExitCode {
		t.Fatalf("exit code %d", code)
	}
}

func TestTerminationFinishesRunningStreams(t *testing.T) {
	p := startProcess(t, "engine", "--leave-grace", "0s")
	resp, err := chat(p.url, "hello")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		t.Fatalf("answer ends %q: %v", body[max(0, len(body)-40):], err)
	}
	if code := p.exitCode(t); code != 0 {
		t.Fatalf("exit code %d", code)
	}
}
