package configstore

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/kv/kvmem"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/rollout"
)

// waitTimeout limits how long a test waits for a condition. No result depends on it.
const waitTimeout = 20 * time.Second

// testNetwork connects managers without sockets.
type testNetwork struct {
	mu       sync.Mutex
	managers map[string]*Manager
}

func (n *testNetwork) fetch(_ context.Context, address string, have uint64) (*peerpb.ConfigResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer, ok := n.managers[address]
	if !ok {
		return nil, errors.New("peer has stopped")
	}
	return peer.ServePeer(&peerpb.ConfigRequest{HaveRevision: have}), nil
}

// start runs a manager until the returned function is called or the test ends.
func (n *testNetwork) start(t *testing.T, address string, store kv.Store, watcher bool) func() {
	t.Helper()
	settings := rollout.DefaultSettings()
	settings.StartGrace = 10 * time.Millisecond
	return n.startWith(t, address, Options{
		Store: store, IsWatcher: func() bool { return watcher }, Rollout: settings, NonWatcherPollInterval: time.Hour,
	})
}

func (n *testNetwork) startWith(t *testing.T, address string, options Options) func() {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	options.Logger, options.Seed, options.PeerFetch = logger, 1, n.fetch
	options.WatcherPollInterval = 50 * time.Millisecond
	options.Rollout.MinBackoff = 5 * time.Millisecond
	options.Rollout.MaxBackoff = 20 * time.Millisecond
	m := New(options)
	n.mu.Lock()
	n.managers[address] = m
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = m.Run(ctx) })
	stop := sync.OnceFunc(func() { cancel(); group.Wait() })
	t.Cleanup(stop)
	return stop
}

// gossip announces every manager's revision to all others.
func (n *testNetwork) gossip() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, from := range n.managers {
		for _, to := range n.managers {
			if to != from {
				to.PeerAnnounced(address, from.Revision())
			}
		}
	}
}

// await gossips until all managers have applied a revision.
func (n *testNetwork) await(t *testing.T, revision uint64) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		n.gossip()
		if n.allAt(revision) {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, m := range n.managers {
		t.Errorf("manager %s (watcher %v) is at revision %d, want %d", address, m.options.IsWatcher(), m.Revision(), revision)
	}
	t.FailNow()
}

func (n *testNetwork) allAt(revision uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.managers {
		if m.Revision() != revision {
			return false
		}
	}
	return true
}

func (n *testNetwork) get(address string) *Manager {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.managers[address]
}

func TestMembersFetchFromWatcher(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	ana := committer(store, "ana")
	n := &testNetwork{managers: make(map[string]*Manager)}
	for i := range 5 {
		n.start(t, fmt.Sprint(i), store, i == 0)
	}
	mustCommit(t, ana, 0, engineChange("a", "1"))
	n.await(t, 1)
	drain := declare.Drain{Name: "a"}
	mustCommit(t, ana, 1, declare.Change{Kind: declare.KindDrain, Name: "a", Drain: &drain})
	n.await(t, 2)
	member := n.get("3")
	if !member.Drained().Has("a") || member.Snapshot().Upstreams["a"] == nil {
		t.Fatal("a member lacks part of the configuration")
	}
	if member.counters.watchEvents.Count() != 0 || member.counters.peerFetches.Count() == 0 {
		t.Fatal("a member that isn't a watcher used the watch or didn't fetch from a peer")
	}
}

func TestStartReadsFromPeersOnly(t *testing.T) {
	backing := kvmem.New(kvmem.Options{})
	mustCommit(t, committer(backing, "ana"), 0, engineChange("a", "1"))
	n := &testNetwork{managers: make(map[string]*Manager)}
	n.start(t, "old", backing, true)
	n.await(t, 1)
	store := &countingStore{Store: backing}
	settings := rollout.DefaultSettings()
	settings.StartGrace = time.Hour
	stop := n.startWith(t, "new", Options{Store: store, IsWatcher: func() bool { return false }, Rollout: settings, NonWatcherPollInterval: time.Hour})
	n.await(t, 1)
	stop()
	if store.reads != 0 {
		t.Errorf("a process that started next to a running peer made %d reads of the key-value service", store.reads)
	}
}

func TestMemberThatBecomesWatcherReadsService(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	mustCommit(t, committer(store, "ana"), 0, engineChange("a", "1"))
	n := &testNetwork{managers: make(map[string]*Manager)}
	var watcher atomic.Bool
	settings := rollout.DefaultSettings()
	settings.StartGrace = time.Hour
	n.startWith(t, "late", Options{Store: store, IsWatcher: watcher.Load, Rollout: settings, NonWatcherPollInterval: time.Hour})
	watcher.Store(true)
	n.await(t, 1)
}

func TestStartDuringOutage(t *testing.T) {
	f := &scriptedFaults{}
	store := kvmem.New(kvmem.Options{Fault: f.next})
	mustCommit(t, committer(store, "ana"), 0, engineChange("a", "1"))
	n := &testNetwork{managers: make(map[string]*Manager)}
	n.start(t, "old", store, true)
	n.await(t, 1)
	f.setOutage(true)
	n.start(t, "new", store, true)
	n.await(t, 1)
	f.setOutage(false)
	mustCommit(t, committer(store, "ana"), 1, engineChange("a", "2"))
	n.await(t, 2)
}

// TestRollingRestartDuringOutage guards against the loss of the configuration when
// every process is replaced, one after the other, while the key-value service is down:
// a new process must get it from a running one.
func TestRollingRestartDuringOutage(t *testing.T) {
	f := &scriptedFaults{}
	store := kvmem.New(kvmem.Options{Fault: f.next})
	mustCommit(t, committer(store, "ana"), 0, engineChange("a", "1"))
	n := &testNetwork{managers: make(map[string]*Manager)}
	stops := []func(){n.start(t, "0", store, true), n.start(t, "1", store, true)}
	n.await(t, 1)
	f.setOutage(true)
	for i := range 6 {
		stops[0]()
		n.mu.Lock()
		delete(n.managers, fmt.Sprint(i))
		n.mu.Unlock()
		stops = append(stops[1:], n.start(t, fmt.Sprint(i+2), store, true))
		n.await(t, 1)
	}
}

// TestServiceRestoredFromOldBackup checks that members keep their revision when the
// key-value service is restored at an older one, and apply the next commit, which is
// made above their revision.
func TestServiceRestoredFromOldBackup(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	ana := committer(store, "ana")
	mustCommit(t, ana, 0, engineChange("a", "1"))
	older, _, err := store.List(context.Background(), "config/")
	if err != nil {
		t.Fatal(err)
	}
	n := &testNetwork{managers: make(map[string]*Manager)}
	n.start(t, "0", store, true)
	n.start(t, "1", store, false)
	mustCommit(t, ana, 1, engineChange("a", "2"))
	mustCommit(t, ana, 2, engineChange("a", "3"))
	n.await(t, 3)
	restore(t, store, older)
	committerAbove := NewCommitter(CommitterOptions{Store: store, Author: "ana", AboveRevision: 3})
	if revision := mustCommit(t, committerAbove, 1, engineChange("b", "1")); revision != 4 {
		t.Fatal(revision)
	}
	n.await(t, 4)
	mustCommit(t, ana, 4, engineChange("c", "1"))
	n.await(t, 5)
	if got := len(n.get("1").Declarations().Engines); got != 3 {
		t.Fatal("engines", got)
	}
}

func restore(t *testing.T, store *kvmem.Store, entries []kv.Entry) {
	t.Helper()
	var txn kv.Txn
	now, _, _ := store.List(context.Background(), "config/")
	for _, entry := range now {
		txn.Then = append(txn.Then, kv.Delete(entry.Key))
	}
	for _, entry := range entries {
		txn.Then = append(txn.Then, kv.Put(entry.Key, entry.Value))
	}
	if _, err := store.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
}

// emptyWatchStore opens watches that never deliver an event.
type emptyWatchStore struct{ kv.Store }

func (s emptyWatchStore) Watch(ctx context.Context, _ string, _ int64) (<-chan kv.WatchBatch, error) {
	out := make(chan kv.WatchBatch)
	context.AfterFunc(ctx, func() { close(out) })
	return out, nil
}

func TestSilentWatchIsDetectedByPoll(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	n := &testNetwork{managers: make(map[string]*Manager)}
	n.start(t, "0", emptyWatchStore{store}, true)
	mustCommit(t, committer(store, "ana"), 0, engineChange("a", "1"))
	n.await(t, 1)
	mustCommit(t, committer(store, "ana"), 1, engineChange("a", "2"))
	n.await(t, 2)
	silent := n.get("0").counters.silentWatches
	for deadline := time.Now().Add(waitTimeout); silent.Count() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the silent watch was not detected")
		}
	}
}

func TestOversizedCommitAndCompactedWatch(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	ana := committer(store, "ana")
	n := &testNetwork{managers: make(map[string]*Manager)}
	n.start(t, "0", store, true)
	n.start(t, "1", store, false)
	mustCommit(t, ana, 0, engineChange("a", "1"))
	n.await(t, 1)
	var changes []declare.Change
	for i := range 3000 {
		changes = append(changes, engineChange(fmt.Sprintf("e%d", i), "1"))
	}
	mustCommit(t, ana, 1, changes...)
	n.await(t, 2)
	store.Compact()
	mustCommit(t, ana, 2, engineChange("a", "3"))
	n.await(t, 3)
	if len(n.get("1").Declarations().Engines) != 3001 {
		t.Fatal("a member lacks objects")
	}
}

func TestServedChangesAndFullCopy(t *testing.T) {
	allow := func() bool { return true }
	v := newView(1, &declare.Declarations{}, nil)
	for revision := uint64(2); revision <= 4; revision++ {
		record := Record{Manifest: Manifest{Revision: revision}, Changes: []declare.Change{engineChange("a", fmt.Sprint(revision))}}
		next, err := v.withRecords([]Record{record})
		if err != nil {
			t.Fatal(err)
		}
		v = next
	}
	recent, err := v.response(2, allow)
	if err != nil || len(recent.Changes) != 2 || len(recent.Full) != 0 {
		t.Fatal(recent, err)
	}
	old, err := v.response(0, allow)
	if err != nil {
		t.Fatal(err)
	}
	if limited, err := v.response(0, func() bool { return false }); err != nil || limited.Full != nil {
		t.Fatal("full copy in spite of the rate limit", err)
	}
	full, err := decompressCopy(old.Full)
	if err != nil || full.Revision != 4 || full.Declarations.Engines[0].Labels["zone"] != "4" {
		t.Fatal(full, err)
	}
}
