package replay

import (
	"context"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/verbenatrail/verbenatrail/internal/callers"
	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/pause"
	"github.com/verbenatrail/verbenatrail/internal/standin/service"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

// playCall sends one service call. It sends an action a second time if the trace
// has ResendAfterMS for it.
func (r *run) playCall(ctx context.Context, call trace.Call) {
	if r.waitUntil(ctx, call.At()) != nil {
		return
	}
	key := ""
	if call.Action {
		key = uuid.Must(uuid.NewV7()).String()
	}
	var group errgroup.Group
	group.Go(func() error { r.sendCall(ctx, call, key, r.clients[call.Workspace]); return nil })
	if call.Action && call.ResendAfterMS > 0 {
		group.Go(func() error { r.resendCall(ctx, call, key); return nil })
	}
	_ = group.Wait()
}

// resendCall sends an action again through the client of the same workspace.
func (r *run) resendCall(ctx context.Context, call trace.Call, key string) {
	if pause.For(ctx, time.Duration(call.ResendAfterMS)*time.Millisecond) != nil {
		return
	}
	r.sendCall(ctx, call, key, r.clients[call.Workspace])
}

func (r *run) sendCall(ctx context.Context, call trace.Call, key string, client *callers.Client) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.TimeoutMS)*time.Millisecond)
	defer cancel()
	answer, err := client.Call(ctx, callers.ServiceCall{
		Workspace: call.Workspace, Service: call.Service, Method: call.Method, Path: call.Path,
		Body: []byte(call.Body), ActionKey: key,
	})
	record := CallRecord{
		ID: call.ID, ActionKey: key, Outcome: answer.Outcome, Status: answer.Status, Attempts: answer.Attempts, Lost: answer.LostConnections, Latency: answer.Latency,
	}
	if err != nil {
		record.Failure = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Calls = append(r.record.Calls, record)
}

// collectExecutions reads the executed actions from all service instances.
func (r *run) collectExecutions(ctx context.Context) {
	index := make(map[string]int)
	for _, p := range r.options.Layout.OfKind(layout.KindService) {
		var executions service.Executions
		if err := r.admin.get(ctx, p.Address, service.PathExecutions, &executions); err != nil {
			r.record.ExecutionsMissing = append(r.record.ExecutionsMissing, p.Name)
			continue
		}
		for _, e := range executions.Executions {
			r.record.addExecution(index, e.Key, e.Count)
		}
	}
}

func (r *Record) addExecution(index map[string]int, key string, count int64) {
	if key == "" {
		return
	}
	at, ok := index[key]
	if !ok {
		at = len(r.Executions)
		index[key] = at
		r.Executions = append(r.Executions, Execution{ActionKey: key})
	}
	r.Executions[at].Count += count
}
