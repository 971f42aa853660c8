package configstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/kv/etcdjson"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
)

const (
	faultSeed    = 20261204
	faultRounds  = 40
	faultMembers = 6
	// faultWatchers is the number of members that watch the key-value service.
	faultWatchers = 2
)

// TestFleetUnderServiceFaults guards against lost changes and decreasing revisions: it
// commits while members restart and the key-value service loses replies, is down,
// drops watch events, ends watches and compacts its history. At the end each accepted
// change must be in force on all members, and no member's revision may ever decrease.
func TestFleetUnderServiceFaults(t *testing.T) {
	service := kvserver.New(kvserver.DefaultConfig())
	server := httptest.NewServer(service)
	defer service.Close()
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	store, err := etcdjson.New(etcdjson.Options{Endpoints: []string{server.URL}, Transport: transport, Timeout: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(faultSeed, 0))
	n := &testNetwork{managers: make(map[string]*Manager)}
	stops := make(map[string]func())
	for i := range faultMembers {
		stops[fmt.Sprint(i)] = n.start(t, fmt.Sprint(i), store, i < faultWatchers)
	}
	accepted := make(map[string]bool)
	c := &faultCommitter{
		Committer: NewCommitter(CommitterOptions{Store: store, Author: "ana"}),
		accepted:  accepted, uncertain: make(map[string]bool),
	}
	highest := make(map[*Manager]uint64)
	for round := range faultRounds {
		injectRandomFault(random, service)
		name := fmt.Sprintf("e%d", round)
		c.commitUnderFaults(t, name)
		if random.IntN(5) == 0 {
			i := random.IntN(faultMembers)
			address := fmt.Sprint(i)
			stops[address]()
			stops[address] = n.start(t, address, store, i < faultWatchers)
		}
		n.gossip()
		n.checkNotDecreased(t, highest)
	}
	service.Faults.Update(func(f *kvserver.Faults) { *f = kvserver.Faults{} })
	final := c.commitLast(t)
	n.await(t, final)
	n.checkNotDecreased(t, highest)
	for address := range stops {
		for name := range accepted {
			if _, ok := n.get(address).Declarations().Engine(name); !ok {
				t.Errorf("member %s lacks the accepted engine %s", address, name)
			}
		}
	}
	if len(accepted) < faultRounds/2 {
		t.Fatal("too few commits were accepted for a meaningful test", len(accepted))
	}
}

func injectRandomFault(random *rand.Rand, service *kvserver.Server) {
	service.Faults.Update(func(f *kvserver.Faults) { *f = kvserver.Faults{} })
	switch random.IntN(6) {
	case 0:
		service.Faults.Update(func(f *kvserver.Faults) { f.LoseWriteReplies = 1 + random.IntN(3) })
	case 1:
		service.Faults.Update(func(f *kvserver.Faults) { f.Outage = standin.OutageCut })
	case 2:
		service.Faults.Update(func(f *kvserver.Faults) { f.Outage = standin.OutageRefuse })
	case 3:
		service.Act(kvserver.Action{DropWatchEvents: 1 + random.IntN(6)})
	case 4:
		service.Act(kvserver.Action{EndWatches: true, CompactRevision: -1})
	}
}

// faultCommitter commits engines, one after another, while the service fails.
type faultCommitter struct {
	*Committer
	// accepted are the engines that must be in force in the end: those whose commit was
	// acknowledged, and those of which a later commit has seen that they were made.
	accepted map[string]bool
	// uncertain are the engines whose commit may still be made.
	uncertain map[string]bool
}

// commitUnderFaults makes a commit.
func (c *faultCommitter) commitUnderFaults(t *testing.T, name string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	head, err := c.reader.Head(ctx)
	if err != nil {
		return
	}
	_, err = c.Commit(ctx, head.Revision, singleEngine(name))
	switch {
	case err == nil:
		c.accepted[name] = true
	case errors.Is(err, ErrOutcomeUnknown):
		c.uncertain[name] = true
	case errors.Is(err, ErrConflict):
		c.checkConflict(t, head.Revision, err)
	}
}

// checkConflict checks that the commit after a base is one of this committer whose
// outcome it doesn't know: the service has run it after the base was read.
func (c *faultCommitter) checkConflict(t *testing.T, base uint64, conflict error) {
	t.Helper()
	for range faultRounds {
		record, err := c.reader.Record(context.Background(), base+1)
		if errors.Is(err, kv.ErrUnavailable) {
			// A fault may still be in effect.
			continue
		}
		if err != nil || len(record.Changes) != 1 || !c.uncertain[record.Changes[0].Name] {
			t.Fatalf("conflict without another committer: %v; revision %d: %+v, %v", conflict, base+1, record.Changes, err)
		}
		c.accepted[record.Changes[0].Name] = true
		return
	}
	t.Fatalf("conflict with a commit that can't be read: %v", conflict)
}

// commitLast makes a last commit, without faults, and returns its revision.
func (c *faultCommitter) commitLast(t *testing.T) uint64 {
	t.Helper()
	c.accepted["last"] = true
	for range faultRounds {
		head, err := c.reader.Head(context.Background())
		if errors.Is(err, kv.ErrUnavailable) {
			// On a busy machine, a call may exceed the store's short time limit.
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		revision, err := c.Commit(context.Background(), head.Revision, singleEngine("last"))
		switch {
		case err == nil:
			return revision
		case errors.Is(err, ErrConflict):
			c.checkConflict(t, head.Revision, err)
		case !errors.Is(err, kv.ErrUnavailable):
			t.Fatal(err)
		}
	}
	t.Fatal("the last commit was never accepted")
	return 0
}

func (n *testNetwork) checkNotDecreased(t *testing.T, highest map[*Manager]uint64) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, m := range n.managers {
		revision := m.Revision()
		if revision < highest[m] {
			t.Fatalf("revision of member %s decreased from %d to %d", address, highest[m], revision)
		}
		highest[m] = revision
	}
}

func singleEngine(name string) []declare.Change { return []declare.Change{engineChange(name, "1")} }
