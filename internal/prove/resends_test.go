package prove

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/callers"
	"github.com/verbenatrail/verbenatrail/internal/layout"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/service"
	"github.com/verbenatrail/verbenatrail/internal/trace"
)

const (
	proofWorkspace = "gorkha-roads"
	actionPath     = "/confirmations"
	actionTimeout  = 20 * time.Second
)

// directedProof is a proof whose steps are written out in a function.
type directedProof struct {
	promise int
	fault   string
	prove   func(t *testing.T, f *testFleet)
}

func TestDirectedProofs(t *testing.T) {
	if os.Getenv(proveVariable) != proveAll {
		return
	}
	for _, p := range append(directedResendProofs(), directedConfigurationProofs()...) {
		t.Run(p.fault, func(t *testing.T) {
			t.Parallel()
			defer report(t, p.promise, p.fault)
			p.prove(t, startFleet(t, trace.Generate(smallProfile(), proofSeed, proofDuration), layout.Options{}))
		})
	}
}

func directedResendProofs() []directedProof {
	return []directedProof{
		{promiseAtMostOnce, "resend through another router while the first is under way", proveResendJoins},
		{promiseAtMostOnce, "resend through every router after the answer", proveResendReplays},
		{promiseAtMostOnce, "resend through every router after a router was killed while it ran", proveResendAfterKill},
		{promiseAtMostOnce, "resend through every router after its reply was lost", proveResendAfterLostReply},
		{promiseNotRun, "action refused during an outage of the key-value service, resent after it", proveRefusalThenRun},
	}
}

// send sends an action to one router, without retries.
func (f *testFleet) send(ctx context.Context, router, key string) (refusal.Outcome, error) {
	url := "http://" + f.process(router).Address + "/v1/services/booking" + actionPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(`{}`)))
	if err != nil {
		return refusal.NotRun, err
	}
	request.Header.Set(callers.HeaderWorkspace, proofWorkspace)
	request.Header.Set(callers.HeaderActionKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return refusal.Unknown, err
	}
	defer func() { _ = response.Body.Close() }()
	return refusal.Outcome(response.Header.Get(callers.HeaderOutcome)), nil
}

// sendToAllRouters sends an action to each running router in turn and returns the
// outcomes.
func (f *testFleet) sendToAllRouters(key string) []refusal.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), actionTimeout)
	defer cancel()
	var outcomes []refusal.Outcome
	for _, p := range f.layout.OfKind(layout.KindRouter) {
		if f.processes[p.Name] == nil {
			continue
		}
		outcome, err := f.send(ctx, p.Name, key)
		if err != nil {
			f.t.Errorf("%s: %v", p.Name, err)
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// executions returns how many times the service instances executed an action, in
// total.
func (f *testFleet) executions(key string) int64 {
	total := int64(0)
	for _, p := range f.layout.OfKind(layout.KindService) {
		var executions service.Executions
		if !getJSON(p.Address+service.PathExecutions+"?key="+key, &executions) {
			f.t.Fatalf("%s: executions couldn't be read", p.Name)
		}
		total += executions.Total
	}
	return total
}

// setServiceFaults sets the faults of all service instances.
func (f *testFleet) setServiceFaults(body string) {
	f.t.Helper()
	for _, p := range f.layout.OfKind(layout.KindService) {
		f.post(p.Name, standin.PathFaults, body)
	}
}

func (f *testFleet) post(name, path, body string) {
	f.t.Helper()
	response, err := adminClient.Post("http://"+f.process(name).Address+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		f.t.Fatalf("%s%s: status %d", name, path, response.StatusCode)
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// wantExecutions checks how many times an action was executed and that each outcome
// which a caller got agrees with it.
func (f *testFleet) wantExecutions(key string, want int64, outcomes ...refusal.Outcome) {
	f.t.Helper()
	got := f.executions(key)
	if got != want {
		f.t.Errorf("action executed %d times, want %d", got, want)
	}
	for _, outcome := range outcomes {
		if outcome == refusal.NotRun && got > 0 || outcome == refusal.Done && got != 1 {
			f.t.Errorf("a caller got outcome %q for an action that was executed %d times", outcome, got)
		}
	}
}

func proveResendJoins(t *testing.T, f *testFleet) {
	f.setServiceFaults(`{"delay_ms":1000}`)
	key := newKey()
	first := make(chan refusal.Outcome, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), actionTimeout)
		defer cancel()
		outcome, _ := f.send(ctx, "router-1", key)
		first <- outcome
	}()
	f.eventually("the action runs", func() bool { return f.executions(key) == 1 })
	outcomes := f.sendToAllRouters(key)
	f.wantExecutions(key, 1, append(outcomes, <-first)...)
}

func proveResendReplays(t *testing.T, f *testFleet) {
	key := newKey()
	outcomes := f.sendToAllRouters(key)
	f.wantExecutions(key, 1, outcomes...)
	for _, outcome := range outcomes {
		if outcome != refusal.Done {
			t.Errorf("resend got outcome %q, want the recorded outcome", outcome)
		}
	}
}

// proveResendAfterKill kills a router while actions are running whose claim slots
// are spread over all routers.
func proveResendAfterKill(t *testing.T, f *testFleet) {
	f.setServiceFaults(`{"delay_ms":1500}`)
	keys := make([]string, 8)
	for i := range keys {
		keys[i] = newKey()
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), actionTimeout)
			defer cancel()
			_, _ = f.send(ctx, "router-1", keys[i])
		}()
	}
	f.eventually("every action runs", func() bool {
		for _, key := range keys {
			if f.executions(key) == 0 {
				return false
			}
		}
		return true
	})
	f.kill("router-2")
	for _, key := range keys {
		f.wantExecutions(key, 1, f.sendToAllRouters(key)...)
	}
}

func proveResendAfterLostReply(t *testing.T, f *testFleet) {
	f.setServiceFaults(`{"lose_replies":1}`)
	key := newKey()
	f.wantExecutions(key, 1, f.sendToAllRouters(key)...)
	f.wantExecutions(key, 1, f.sendToAllRouters(key)...)
}

func proveRefusalThenRun(t *testing.T, f *testFleet) {
	f.post(layout.KeyValueName, standin.PathFaults, `{"outage":"cut"}`)
	key := newKey()
	refused := f.sendToAllRouters(key)
	f.wantExecutions(key, 0, refused...)
	f.post(layout.KeyValueName, standin.PathFaults, `{"outage":""}`)
	ctx, cancel := context.WithTimeout(context.Background(), actionTimeout)
	defer cancel()
	answer, err := f.client().Call(ctx, callers.ServiceCall{
		Workspace: proofWorkspace, Service: "booking", Method: http.MethodPost, Path: actionPath, ActionKey: key,
	})
	if err != nil {
		t.Logf("after the outage: %v", err)
	}
	f.wantExecutions(key, boolCount(answer.Outcome == refusal.Done), answer.Outcome)
}

func boolCount(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}
