package hostserver

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/standin"
)

// fixture is a server with the hosts a and b and a manual clock.
type fixture struct {
	t      *testing.T
	clock  *standin.ManualClock
	server *Server
}

func newFixture(t *testing.T) *fixture {
	hosts, err := ParseHosts([]byte("hosts:\n- name: a\n  kind: engine\n- {name: b, kind: router, failure_domain: balaju, state: leaving}\n"))
	if err != nil {
		t.Fatal(err)
	}
	clock := standin.NewManualClock(time.UnixMilli(1_000_000))
	return &fixture{t: t, clock: clock, server: New(Config{Hosts: hosts, Lag: DefaultLag, Clock: clock})}
}

// poll returns the names of the hosts that a poller sees; a leaving host is
// marked with "!".
func (f *fixture) poll(poller string) string {
	f.t.Helper()
	recorder := httptest.NewRecorder()
	f.server.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, hostlist.Path+"?poller="+poller, nil))
	var list hostlist.List
	if err := json.Unmarshal(recorder.Body.Bytes(), &list); err != nil {
		f.t.Fatal(err)
	}
	var names []string
	for _, host := range list.Hosts {
		name := host.Name
		if host.State == hostlist.StateLeaving {
			name += "!"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

func (f *fixture) apply(kind ChangeKind, host hostlist.Host) {
	f.t.Helper()
	if err := f.server.Apply(Change{Change: kind, Host: host}); err != nil {
		f.t.Fatal(err)
	}
}

func TestChangesBecomeVisibleAfterTheLag(t *testing.T) {
	f := newFixture(t)
	if got := f.poll("x"); got != "a b!" {
		t.Fatalf("initial list %q", got)
	}
	f.apply(ChangeAdd, hostlist.Host{Name: "c"})
	f.clock.Advance(time.Second)
	f.apply(ChangeSetState, hostlist.Host{Name: "a", State: hostlist.StateLeaving})
	f.apply(ChangeRemove, hostlist.Host{Name: "b"})
	if got := f.poll("x"); got != "a b!" {
		t.Fatalf("list before the lag has passed %q", got)
	}
	f.clock.Advance(time.Second)
	if got := f.poll("x"); got != "a b! c" {
		t.Fatalf("list after the lag of the first change %q", got)
	}
	f.clock.Advance(time.Second)
	if got := f.poll("x"); got != "a! c" {
		t.Fatalf("list after the lag of the later changes %q", got)
	}
}

func TestInvalidChanges(t *testing.T) {
	f := newFixture(t)
	for _, tc := range []struct {
		change Change
		want   error
	}{
		{Change{Change: ChangeRemove, Host: hostlist.Host{Name: "z"}}, ErrUnknownHost},
		{Change{Change: "rename", Host: hostlist.Host{Name: "a"}}, ErrUnknownChange},
		{Change{Change: ChangeAdd}, ErrNoName},
	} {
		if err := f.server.Apply(tc.change); !errors.Is(err, tc.want) {
			t.Errorf("%+v: %v", tc.change, err)
		}
	}
}

func TestFrozenListDoesNotChange(t *testing.T) {
	f := newFixture(t)
	f.server.Faults.Update(func(v *Faults) { v.Frozen = true })
	f.apply(ChangeRemove, hostlist.Host{Name: "a"})
	f.clock.Advance(time.Hour)
	if got := f.poll("x"); got != "a b!" {
		t.Fatalf("frozen list %q", got)
	}
	f.server.Faults.Update(func(v *Faults) { v.Frozen = false })
	if got := f.poll("x"); got != "b!" {
		t.Fatalf("list after the freeze %q", got)
	}
}

func TestPollersSeeDifferentLists(t *testing.T) {
	f := newFixture(t)
	f.server.Faults.Update(func(v *Faults) { v.Views = []View{{Poller: "x", Hide: []string{"a"}}} })
	if f.poll("x") != "b!" || f.poll("y") != "a b!" {
		t.Fatalf("x sees %q, y sees %q", f.poll("x"), f.poll("y"))
	}
	f.server.Faults.Update(func(v *Faults) { v.Views = []View{{Hide: []string{"a"}}} })
	hidden := 0
	for _, poller := range strings.Split("abcdefghijklmnopqrstuvwxyz", "") {
		if f.poll(poller) == "b!" {
			hidden++
		}
	}
	if hidden == 0 || hidden == 26 {
		t.Fatalf("hidden from %d of 26 pollers", hidden)
	}
}

func TestFlappingHostAlternates(t *testing.T) {
	f := newFixture(t)
	f.server.Faults.Update(func(v *Faults) { v.Flaps = []Flap{{Host: "a", PeriodMS: 1000}} })
	var seen []string
	for range 4 {
		seen = append(seen, f.poll("x"))
		f.clock.Advance(time.Second)
	}
	if seen[0] != seen[2] || seen[1] != seen[3] || seen[0] == seen[1] {
		t.Fatalf("seen %q", seen)
	}
}
