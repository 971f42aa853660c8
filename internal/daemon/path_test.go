package daemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/router"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/engine"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
	"github.com/verbenatrail/verbenatrail/internal/standin/service"
)

var smallFleet = fleetSize{routers: 3, engines: 3, instances: 2}

// Each router serves each chat, whoever owns the chat's engine, and a returning
// chat finds its prompt in the cache.
func TestEveryRouterServesEveryChat(t *testing.T) {
	f := startFleet(t, smallFleet)
	for chat := 0; chat < 4; chat++ {
		for name := range f.routers {
			c := chatRequest{router: name, chat: fmt.Sprint(chat), prompt: "how much fuel for chat " + fmt.Sprint(chat), maxTokens: 6}
			wantWhole(t, c, f.ask(c))
		}
	}
	c := chatRequest{router: "router-1", chat: "0", prompt: "how much fuel for chat 0", maxTokens: 6}
	if got := f.ask(c); got.cached == 0 {
		t.Error("a returning chat found nothing in the cache")
	}
}

// Streams whose engine sends the tokens of another, repeats them, cuts or goes
// silent are completed all the same. Without the check of each token, callers
// read each other's tokens; without resume, answers end early.
func TestAnswersStayWholeWhenStreamsFail(t *testing.T) {
	faults := map[string]engine.Faults{
		"swapped":  {SwapChunks: 4},
		"repeated": {DuplicateChunks: 6},
		"cut":      {Cut: engine.StreamFault{Count: 3, AfterTokens: 5}},
		"silent":   {Silent: engine.StreamFault{Count: 3, AfterTokens: 5}},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			for _, e := range f.engines {
				e.Faults.Update(func(faults *engine.Faults) { *faults = fault })
			}
			f.askTogether(12, 20)
		})
	}
}

// askTogether sends chats at the same time and wants each answer whole.
func (f *testFleet) askTogether(chats, tokens int) {
	f.t.Helper()
	var group sync.WaitGroup
	for i := 0; i < chats; i++ {
		c := chatRequest{
			router: fmt.Sprintf("router-%d", i%len(f.routers)+1), chat: fmt.Sprint(i),
			prompt: fmt.Sprint("quote for excavator number ", i), maxTokens: tokens,
		}
		group.Go(func() { wantWhole(f.t, c, readEvents(f.open(c), 0)) })
	}
	group.Wait()
}

// The answer goes on at another engine, with what was generated as the start.
func TestAnswerGoesOnAfterEngineCrash(t *testing.T) {
	f := startFleet(t, smallFleet)
	c := chatRequest{router: "router-1", chat: "crash", prompt: "which roller suits a wet site", maxTokens: 60}
	response := f.open(c)
	got := readEvents(response, 5)
	f.engines[response.Header.Get(router.HeaderUpstream)].Act(engine.Action{Crash: true})
	rest := readEvents(response, 0)
	rest.text = got.text + rest.text
	wantWhole(t, c, rest)
}

// A caller that lost its connection reads the rest at any router.
func TestResumeAtAnotherRouter(t *testing.T) {
	f := startFleet(t, smallFleet)
	for name := range f.routers {
		c := chatRequest{router: "router-1", chat: name, prompt: "read the site log of " + name, maxTokens: 50}
		response := f.open(c)
		got := readEvents(response, 7)
		_ = response.Body.Close()
		c.router, c.lastEventID = name, got.lastID
		rest := f.ask(c)
		rest.text = got.text + rest.text
		wantWhole(t, c, rest)
	}
}

// Resends of an action, at any router, run it once and get its outcome.
func TestActionRunsOnceForAllResends(t *testing.T) {
	f := startFleet(t, smallFleet)
	key := newActionKey(t)
	var group sync.WaitGroup
	for name := range f.routers {
		group.Go(func() { wantStatus(t, f.act(name, key, "/hires"), http.StatusOK) })
	}
	group.Wait()
	if got := f.executions(key); got != 1 {
		t.Errorf("executions = %d, want 1", got)
	}
	response := f.act("router-2", key, "/hires")
	if response.Header.Get(router.HeaderReplayed) != "true" {
		t.Error("a resend of a finished action isn't marked as replayed")
	}
}

func (f *testFleet) act(routerName, key, path string) *http.Response {
	f.t.Helper()
	request := f.newRequest(routerName, http.MethodPost, router.PathServices+"booking"+path, []byte("{}"))
	if key != "" {
		request.Header.Set(router.HeaderActionKey, key)
	}
	return f.do(request)
}

func wantStatus(t testing.TB, response *http.Response, want int) {
	t.Helper()
	if response.StatusCode != want {
		t.Errorf("status = %d, want %d", response.StatusCode, want)
	}
}

// An action whose reply was lost may have run: every resend says so, and none
// runs it again.
func TestActionWithLostReplyIsUnknown(t *testing.T) {
	f := startFleet(t, smallFleet)
	for _, instance := range f.instances {
		instance.Faults.Update(func(faults *service.Faults) { faults.LoseReplies = 1 })
	}
	key := newActionKey(t)
	for name := range f.routers {
		refused := readRefusal(t, f.act(name, key, "/hires"))
		if refused.Outcome != refusal.Unknown {
			t.Errorf("%s: outcome = %q, want unknown", name, refused.Outcome)
		}
	}
	if got := f.executions(key); got != 1 {
		t.Errorf("executions = %d, want 1", got)
	}
}

// Without the key-value service nobody can tell whether an action ran before:
// the refusal says so at once, nothing runs, the resend after the outage runs
// once, and chats go on all the time.
func TestOutageOfKeyValueService(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.kv.Faults.Update(func(faults *kvserver.Faults) { faults.Outage = standin.OutageCut })
	key := newActionKey(t)
	refused := readRefusal(t, f.act("router-1", key, "/hires"))
	if refused.Outcome != refusal.Unknown || refused.RetryAfterMS == 0 {
		t.Errorf("refusal = %+v, want unknown with a time to come back", refused)
	}
	if got := f.executions(key); got != 0 {
		t.Errorf("executions = %d, want 0", got)
	}
	c := chatRequest{router: "router-2", chat: "outage", prompt: "is the crane free", maxTokens: 5}
	wantWhole(t, c, f.ask(c))
	f.kv.Faults.Update(func(faults *kvserver.Faults) { faults.Outage = standin.OutageNone })
	f.eventually("the resend is answered", func() bool {
		return f.act("router-3", key, "/hires").StatusCode == http.StatusOK
	})
	if got := f.executions(key); got != 1 {
		t.Errorf("executions = %d, want 1", got)
	}
}

// A router's graceful stop cuts no answer, and tells callers where to go.
func TestGracefulStopCutsNothing(t *testing.T) {
	f := startFleet(t, smallFleet)
	c := chatRequest{router: "router-1", chat: "stop", prompt: "read the whole hire contract", maxTokens: 400}
	response := f.open(c)
	got := readEvents(response, 3)
	var stopped sync.WaitGroup
	stopped.Go(func() { f.stopRouter("router-1") })
	rest := readEvents(response, 0)
	rest.text = got.text + rest.text
	wantWhole(t, c, rest)
	stopped.Wait()
	c.router = "router-2"
	wantWhole(t, c, f.ask(c))
}

// An engine that leaves gets no new work, and finishes what it runs.
func TestLeavingEngineFinishesItsWork(t *testing.T) {
	f := startFleet(t, smallFleet)
	c := chatRequest{router: "router-1", chat: "leave", prompt: "draft a long quote", maxTokens: 300}
	response := f.open(c)
	got := readEvents(response, 3)
	leaving := response.Header.Get(router.HeaderUpstream)
	f.setHostState(leaving, "leaving")
	f.engines[leaving].Leave()
	f.eventually("all routers see the engine leave", func() bool {
		for _, r := range f.routers {
			if r.router.cluster.View().Upstreams[leaving].State == cluster.Live {
				return false
			}
		}
		return true
	})
	before := f.engines[leaving].State().Chats
	f.askTogether(9, 5)
	if after := f.engines[leaving].State().Chats; after != before {
		t.Errorf("the leaving engine got %d new chats", after-before)
	}
	rest := readEvents(response, 0)
	rest.text = got.text + rest.text
	wantWhole(t, c, rest)
}

// Two crashes at most before a request that crashes engines is refused; the
// third engine stays.
func TestCrashingRequestIsContained(t *testing.T) {
	f := startFleet(t, fleetSize{routers: 3, engines: 5, instances: 1})
	for _, e := range f.engines {
		e.Faults.Update(func(faults *engine.Faults) { faults.CrashWord = "poison" })
	}
	for i := 0; i < 6; i++ {
		name := fmt.Sprintf("router-%d", i%3+1)
		response := f.open(chatRequest{router: name, chat: "bad", prompt: "poison", maxTokens: 5})
		if response.StatusCode == http.StatusOK {
			t.Fatal("a request that crashes every engine was answered")
		}
		time.Sleep(50 * time.Millisecond)
	}
	crashes := int64(0)
	for _, e := range f.engines {
		crashes += e.State().Crashes
	}
	if crashes > maxTestCrashes {
		t.Errorf("crashes = %d, want at most %d", crashes, maxTestCrashes)
	}
}
