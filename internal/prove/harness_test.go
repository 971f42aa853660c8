package prove

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/callers"
	"github.com/verbenatrail/verbenatrail/internal/configstore"
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/freeport"
	"github.com/verbenatrail/verbenatrail/internal/kv/etcdjson"
	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/replay"
	"github.com/verbenatrail/verbenatrail/internal/status"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

const (
	readyTimeout = 20 * time.Second
	runTimeout   = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

var (
	binariesDir string
	// startMu lets only one fleet at a time choose its ports and bind them.
	startMu sync.Mutex
	ports   = freeport.NewAllocator()
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "prove")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binariesDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

// testFleet is a fleet of processes that a test has started.
type testFleet struct {
	t         *testing.T
	trace     *trace.Trace
	layout    *layout.Layout
	processes map[string]*exec.Cmd
}

// startFleet writes the layout of a trace, starts its processes, commits its
// declarations and waits until the daemons are ready.
func startFleet(t *testing.T, tr *trace.Trace, options layout.Options) *testFleet {
	t.Helper()
	startMu.Lock()
	defer startMu.Unlock()
	options.Dir, options.Binaries, options.Ports = t.TempDir(), binariesDir, ports
	l, err := layout.Write(tr, options)
	if err != nil {
		t.Fatal(err)
	}
	f := &testFleet{t: t, trace: tr, layout: l, processes: make(map[string]*exec.Cmd)}
	t.Cleanup(f.stop)
	for _, p := range l.Processes {
		f.start(p.Name)
	}
	f.applyDeclarations()
	f.waitReady()
	return f
}

// start runs one process of the layout.
func (f *testFleet) start(name string) {
	f.t.Helper()
	p := f.process(name)
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.Binary, p.Args...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = command
	if err := os.WriteFile(p.PIDFile, []byte(strconv.Itoa(command.Process.Pid)), 0o644); err != nil {
		f.t.Fatal(err)
	}
}

// stop kills the processes that still run.
func (f *testFleet) stop() {
	for name := range f.processes {
		f.kill(name)
	}
}

// kill sends SIGKILL to a process and waits until it has exited.
func (f *testFleet) kill(name string) {
	command := f.processes[name]
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	_ = command.Wait()
	delete(f.processes, name)
}

func (f *testFleet) process(name string) *layout.Process {
	f.t.Helper()
	p, err := f.layout.ByName(name)
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

func (f *testFleet) signal(name string, action trace.FaultAction) {
	f.t.Helper()
	if err := replay.Signal(f.process(name), action); err != nil {
		f.t.Fatal(err)
	}
}

// store returns a client of the key-value service.
func (f *testFleet) store() *etcdjson.Store {
	f.t.Helper()
	store, err := etcdjson.New(etcdjson.Options{Endpoints: []string{"http://" + f.process(layout.KeyValueName).Address}})
	if err != nil {
		f.t.Fatal(err)
	}
	return store
}

// committer returns a committer that commits as the given author.
func (f *testFleet) committer(author string) *configstore.Committer {
	return configstore.NewCommitter(configstore.CommitterOptions{Store: f.store(), Author: author})
}

// applyDeclarations commits the declarations as the first revision, once the
// key-value service answers.
func (f *testFleet) applyDeclarations() {
	f.t.Helper()
	source, err := declare.Load(layout.DeclarationsPath(f.layout.Dir()))
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	f.eventually("the declarations are committed", func() bool {
		_, err := f.committer("prove").Commit(ctx, 0, source.Changes())
		return err == nil
	})
}

func (f *testFleet) waitReady() {
	f.t.Helper()
	for _, p := range f.layout.Processes {
		if p.IsDaemon() {
			f.eventually(p.Name+" is ready", func() bool { return getStatus(p.Admin+"/ready") == http.StatusOK })
		}
	}
}

// eventually polls until a condition holds and fails the test after readyTimeout.
func (f *testFleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", description)
		}
		time.Sleep(pollInterval)
	}
}

var adminClient = &http.Client{Timeout: time.Second}

func getStatus(page string) int {
	response, err := adminClient.Get("http://" + page)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// getJSON decodes an admin page and reports whether that succeeded.
func getJSON(page string, into any) bool {
	response, err := adminClient.Get("http://" + page)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into) == nil
}

// revision returns the configuration revision in force at a daemon, or zero if
// its status page can't be read.
func (f *testFleet) revision(name string) uint64 {
	var page status.Page
	if !getJSON(f.process(name).Admin+status.Path, &page) {
		return 0
	}
	return page.ConfigRevision
}

// client returns a client that looks routers up in the fleet's directories.
func (f *testFleet) client() *callers.Client {
	var directories []string
	for _, p := range f.layout.OfKind(layout.KindDirectory) {
		directories = append(directories, p.Address)
	}
	client := callers.New(callers.Settings{Directories: directories, Seed: f.trace.Settings.Seed})
	f.t.Cleanup(client.Close)
	return client
}

// replay replays the trace against the fleet and returns the record and its
// verdicts.
func (f *testFleet) replay() (*replay.Record, []replay.Verdict) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	record, err := replay.Run(ctx, replay.Options{Trace: f.trace, Layout: f.layout})
	if err != nil {
		f.t.Fatal(err)
	}
	return record, replay.Judge(record)
}
