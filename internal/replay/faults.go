package replay

import (
	"context"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/hostserver"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// playFault injects one fault at its time and records it.
func (r *run) playFault(ctx context.Context, fault trace.Fault) {
	if r.waitUntil(ctx, fault.At()) != nil {
		return
	}
	record := FaultRecord{At: time.Since(r.started), Target: fault.Target, Action: fault.Action}
	if err := r.injectFault(ctx, fault); err != nil {
		record.Failure = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Faults = append(r.record.Faults, record)
}

func (r *run) injectFault(ctx context.Context, fault trace.Fault) error {
	target, err := r.options.Layout.ByName(fault.Target)
	if err != nil {
		return err
	}
	switch fault.Action {
	case trace.ActionSet:
		return r.admin.post(ctx, target.Address, standin.PathFaults, fault.Body)
	case trace.ActionPerform:
		return r.admin.post(ctx, target.Address, standin.PathActions, fault.Body)
	case trace.ActionLeave:
		return r.updateHostList(ctx, fault)
	}
	if err := Signal(target, fault.Action); err != nil {
		return err
	}
	return r.updateHostList(ctx, fault)
}

// Signal sends the signal of a fault action to a process, whose process ID it reads
// from the PID file in the layout.
func Signal(p *layout.Process, action trace.FaultAction) error {
	signal, ok := signals[action]
	if !ok {
		return errors.Errorf("action %q has no signal", action)
	}
	data, err := os.ReadFile(p.PIDFile)
	if err != nil {
		return errors.Wrap(err, "can't read PID file: start the process first")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil || pid <= 1 {
		return errors.Errorf("%s has no valid process ID", p.PIDFile)
	}
	return errors.Wrap(syscall.Kill(pid, signal), p.Name)
}

var signals = map[trace.FaultAction]syscall.Signal{
	trace.ActionKill:     syscall.SIGKILL,
	trace.ActionFreeze:   syscall.SIGSTOP,
	trace.ActionThaw:     syscall.SIGCONT,
	trace.ActionShutdown: syscall.SIGTERM,
}

// updateHostList makes the change to the platform's host list that follows from a
// fault. The list shows the change after its lag.
func (r *run) updateHostList(ctx context.Context, fault trace.Fault) error {
	change := hostserver.Change{Host: hostlist.Host{Name: fault.Target}}
	switch fault.Action {
	case trace.ActionKill:
		change.Change = hostserver.ChangeRemove
	case trace.ActionShutdown, trace.ActionLeave:
		change.Change = hostserver.ChangeSetState
		change.Host.State = hostlist.StateLeaving
	default:
		return nil
	}
	list, err := r.options.Layout.ByName(layout.HostListName)
	if err != nil || fault.Target == layout.KeyValueName {
		return err
	}
	return r.admin.post(ctx, list.Address, hostserver.PathHosts, change)
}
