package directory

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/relay"
)

// fixture is a directory with four routers and, at first, no engines.
type fixture struct {
	snapshot  *fleet.Snapshot
	view      *cluster.View
	directory *Directory
}

func newFixture() *fixture {
	f := &fixture{
		snapshot: &fleet.Snapshot{
			Models: map[string]bool{"m": true}, Pools: []*fleet.Pool{{}},
			Workspaces: map[string]*fleet.Workspace{"w": {Name: "w"}},
			Grants:     map[string][]*fleet.Grant{"w": {{Targets: map[string][]int{"m": {0}}}}},
		},
		view: &cluster.View{Upstreams: map[string]cluster.UpstreamView{}},
	}
	for i := range 4 {
		name := fmt.Sprint("router-", i)
		f.view.Routers = append(f.view.Routers, cluster.RouterView{Name: name, Address: name})
		f.view.Owners = append(f.view.Owners, name)
	}
	view := func() *cluster.View { return f.view }
	planner := relay.NewPlanner(func() *fleet.Snapshot { return f.snapshot }, view,
		func(string) bool { return false }, placement.Rendezvous{}, 1)
	f.directory = New(planner, view, time.Second, metrics.NewRegistry())
	return f
}

func (f *fixture) addEngine(name string) {
	f.snapshot.Pools[0].Upstreams = append(f.snapshot.Pools[0].Upstreams, &fleet.Upstream{Name: name, Weight: 1})
	f.view.Upstreams[name] = cluster.UpstreamView{State: cluster.Live}
}

func (f *fixture) lookup(t *testing.T, query string) AddressResponse {
	recorder := httptest.NewRecorder()
	f.directory.ServeHTTP(recorder, httptest.NewRequest("GET", PathAddress+"?"+query, nil))
	var response AddressResponse
	if err := json.Unmarshal(recorder.Body.Bytes(), &response); err != nil {
		t.Fatal(err)
	}
	return response
}

func TestChatKeepsRouterWhenEnginesAreAdded(t *testing.T) {
	f := newFixture()
	f.addEngine("engine-0")
	before := map[string]string{}
	seen := map[string]bool{}
	for chat := range 100 {
		query := fmt.Sprint("workspace=w&model=m&chat=", chat)
		before[query] = f.lookup(t, query).Host
		seen[before[query]] = true
	}
	if len(seen) != 4 {
		t.Fatalf("chats are spread over %d routers, want 4", len(seen))
	}
	f.addEngine("engine-1")
	f.addEngine("engine-2")
	for query, host := range before {
		if got := f.lookup(t, query).Host; got != host {
			t.Fatalf("%s moved from %s to %s", query, host, got)
		}
	}
}

func TestResponseContainsAlternates(t *testing.T) {
	f := newFixture()
	f.addEngine("engine-0")
	response := f.lookup(t, "workspace=w&model=m&chat=c")
	if len(response.Alternates) == 0 || response.Alternates[0] == response.Address {
		t.Fatalf("alternates missing or equal to the address: got %+v", response)
	}
}

func TestUnknownModelIsRefused(t *testing.T) {
	recorder := httptest.NewRecorder()
	newFixture().directory.ServeHTTP(recorder, httptest.NewRequest("GET", PathAddress+"?workspace=w&model=x", nil))
	if recorder.Code != 404 {
		t.Fatalf("status %d, want 404", recorder.Code)
	}
}
