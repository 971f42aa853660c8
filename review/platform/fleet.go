package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// edgeProgram is the command of the deploy file, which starts in the repository's root.
const edgeProgram = "target/vt-edge"

// Settings of the machines and bounds, those of the example in the deployment page.
const (
	mostDescriptors  = 6150
	graceSeconds     = 8
	drainMS          = 2000
	heartbeat        = 1200 * time.Millisecond
	readyTimeout     = 20 * time.Second
	stabilityWindow  = 3 * time.Second
	callerHost       = "bookings.example"
	callerKey        = "n2ctnfzs989anu6wsjnb"
	callerTenant     = "hule930"
	internalPortFrom = 7340
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// printf writes one line with the time since the start of the case.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// fleet is a store with engines and routers on loopback addresses.
type fleet struct {
	record *record
	store  *store
	folder string
	// net are the first three numbers of the addresses of this fleet.
	net   string
	hosts int
	seeds []string
	// descriptors is how many descriptors a router's process may open.
	descriptors uint64
	// keys are the keys of the tenant in the next configuration.
	keys    []string
	routers []*router
}

// errCouldNotRun means that a case has not been able to show anything.
var errCouldNotRun = errors.New("the case couldn't run")

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	descriptors, err := routerDescriptors()
	if err != nil {
		return nil, err
	}
	f := &fleet{descriptors: descriptors, record: r, folder: folder, keys: []string{callerKey}, net: fmt.Sprintf("127.%d.%d", 60+os.Getpid()%150, 1+os.Getpid()/150%250)}
	f.store, err = newStore(f.newHost())
	return f, err
}

// ownDescriptors is how many more descriptors than a router this process may need.
const ownDescriptors = 500

// routerDescriptors returns how many descriptors a router's process may open: those of the
// settings, or fewer where this process can't open as many channels.
func routerDescriptors() (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	if limit.Max < mostDescriptors+ownDescriptors {
		return limit.Max - ownDescriptors, nil
	}
	return mostDescriptors, nil
}

func (f *fleet) newHost() string {
	f.hosts++
	return fmt.Sprintf("%s.%d", f.net, f.hosts+1)
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, r := range f.routers {
		r.kill()
	}
	f.store.close()
	_ = os.RemoveAll(f.folder)
}

// configure writes a version of the configuration with the given routes.
func (f *fleet) configure(version int, routes ...map[string]any) {
	for _, r := range routes {
		for name, value := range map[string]any{"host": callerHost, "anonymous": false, "priority": 1, "sessionAffinity": r["kind"] == "streaming"} {
			if _, ok := r[name]; !ok {
				r[name] = value
			}
		}
	}
	f.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "model", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacityTokens": 280337, "stride": 3, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": callerTenant, "apiKeys": f.keys, "priority": 1}},
	})
}

// router is a process of the deployment.
type router struct {
	name, ip, callers, ready, directory string
	settings                            string
	command                             *exec.Cmd
	done                                chan struct{}
	output                              *bytes.Buffer
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// startRouter starts a router and waits until it is ready. The first ones of a fleet are
// the seeds of the others.
func (f *fleet) startRouter() (*router, error) {
	r := &router{name: fmt.Sprintf("frontend-balaju-%d", len(f.routers)+1), ip: f.newHost(), output: &bytes.Buffer{}}
	var addresses []string
	for range 4 {
		address, err := freeAddress(r.ip)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	r.callers, r.ready, r.directory = addresses[0], addresses[1], addresses[3]
	first := len(f.routers) == 0
	f.seeds = append(f.seeds, addresses[2])
	text := fmt.Sprintf(`nodeName: %q
role: "router"
machineClass: "frontend"
serves: ["frontend", "control", "directory"]
ip: %q
zone: "balaju"
region: "bagmati"
zones: {balaju: "bagmati"}
listen: {frontend: %q, readiness: %q, controlPlane: %q, directoryService: %q}
internalPortRange: [%d, 7355]
seedNodes: ["%s"]
bootstrap: %t
countsAsLoss: false
limits: {cpuFraction: 0.608, cpuCores: 1, memoryMb: 414, fileDescriptors: %d, linkMbps: 1500.0, diskMb: 0}
discovery: "platform"
entry: "directory"
heartbeatIntervalMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
bounds: {seedLagS: 3, reuseAfterS: 2, stabilityWindowMs: %d, ackTimeoutMs: 4000, catchUpS: 4, drainMs: %d, gracePeriodS: %d, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxExtensionMs: 5000, strictRevocation: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetExtra: 56, recoveryS: 12, passMs: 120, reuseWindowS: 10, capacityMultiplier: 2, ttl_max_s: 5}
platform: {address: %q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`, r.name, r.ip, r.callers, r.ready, addresses[2], r.directory, internalPortFrom, strings.Join(f.seeds[:min(len(f.seeds), 3)], `", "`), first,
		f.descriptors, heartbeat.Milliseconds(), stabilityWindow.Milliseconds(), drainMS, graceSeconds, f.store.address)
	r.settings = filepath.Join(f.folder, r.name+".yaml")
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.routers = append(f.routers, r)
	if err := r.start(f.descriptors); err != nil {
		return nil, err
	}
	f.record.printf("router %s started, callers connect to %s", r.name, r.callers)
	return r, f.waitReady(r)
}

func (r *router) start(descriptors uint64) error {
	r.done = make(chan struct{})
	r.command = exec.Command(edgeProgram)
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENATRAIL_BOOT=" + r.settings}
	r.command.Stdout, r.command.Stderr = r.output, r.output
	// The process ends with the case, whatever happens to it.
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return err
	}
	command, done := r.command, r.done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	// What the platform allows a process, also where this shell allows more.
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	return unix.Prlimit(r.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
}

func (r *router) running() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

func (r *router) kill() {
	if r.command != nil && r.command.Process != nil && r.running() {
		_ = r.command.Process.Kill()
		<-r.done
	}
}

func (f *fleet) waitReady(r *router) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && r.running(); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s isn't ready: %s", errCouldNotRun, r.name, r.output.String())
}

func (r *router) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready+"/-/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
