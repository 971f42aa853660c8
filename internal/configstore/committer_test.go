package configstore

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/kv/kvmem"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedFaults injects a given sequence of faults into commits, one per call. While
// down is set, it refuses all calls.
type scriptedFaults struct {
	mu      sync.Mutex
	commits []kvmem.Fault
	down    bool
}

func (f *scriptedFaults) next(call kvmem.Call) kvmem.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return kvmem.FaultRefused
	}
	if call != kvmem.CallCommit || len(f.commits) == 0 {
		return kvmem.FaultNone
	}
	fault := f.commits[0]
	f.commits = f.commits[1:]
	return fault
}

func (f *scriptedFaults) setCommits(commits ...kvmem.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits = commits
}

func (f *scriptedFaults) setOutage(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func committer(store *kvmem.Store, author string) *Committer {
	return NewCommitter(CommitterOptions{Store: store, Author: author, Sleep: func(context.Context, time.Duration) {}})
}

func engineChange(name, zone string) declare.Change {
	e := declare.Engine{Name: name, Model: "assistant", Weight: 1, Labels: fleet.Labels{"zone": zone}}
	return declare.Change{Kind: declare.KindEngine, Name: name, Engine: &e}
}

func mustCommit(t *testing.T, c *Committer, base uint64, changes ...declare.Change) uint64 {
	t.Helper()
	revision, err := c.Commit(context.Background(), base, changes)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func engineZones(t *testing.T, store *kvmem.Store) (revision uint64, zones string) {
	t.Helper()
	full, err := NewReader(store).LoadAll(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range full.Declarations.Engines {
		zones += e.Name + "=" + e.Labels["zone"] + " "
	}
	return full.Revision, strings.TrimSpace(zones)
}

func TestCommitLoadAndHistory(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	ana := committer(store, "ana")
	mustCommit(t, ana, 0, engineChange("a", "1"), engineChange("b", "1"))
	mustCommit(t, ana, 1, engineChange("a", "2"), declare.Change{Kind: declare.KindEngine, Name: "b"})
	if revision, got := engineZones(t, store); revision != 2 || got != "a=2" {
		t.Fatal(revision, got)
	}
	records, err := NewReader(store).History(context.Background(), 1)
	if err != nil || len(records) != 1 || len(records[0].Changes) != 2 || records[0].Author != "ana" {
		t.Fatal(records, err)
	}
	entries, _, _ := store.List(context.Background(), prefixShard)
	if len(entries) != 2 {
		t.Fatal("replaced shard versions were not deleted", len(entries))
	}
}

func TestConflictErrorNamesOtherCommit(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	mustCommit(t, committer(store, "ana"), 0, engineChange("a", "1"))
	_, err := committer(store, "bikash").Commit(context.Background(), 0, []declare.Change{engineChange("a", "2")})
	var conflict *ConflictError
	if !errors.Is(err, ErrConflict) || !errors.As(err, &conflict) || conflict.Current.Author != "ana" {
		t.Fatal(err)
	}
	for _, part := range []string{"revision 0 to 1", "by ana", "vtctl diff --from 0", "--base 1"} {
		if !strings.Contains(err.Error(), part) {
			t.Fatal(err)
		}
	}
	if _, got := engineZones(t, store); got != "a=1" {
		t.Fatal(got)
	}
}

func TestLostRepliesAreResolved(t *testing.T) {
	cases := map[string][]kvmem.Fault{
		"applied, reply lost":         {kvmem.FaultReplyLost},
		"not applied, result unknown": {kvmem.FaultRequestLost},
		"refused, lost, reply lost":   {kvmem.FaultRefused, kvmem.FaultRequestLost, kvmem.FaultRateLimited, kvmem.FaultReplyLost},
	}
	for name, list := range cases {
		t.Run(name, func(t *testing.T) {
			f := &scriptedFaults{}
			store := kvmem.New(kvmem.Options{Fault: f.next})
			f.setCommits(list...)
			if revision := mustCommit(t, committer(store, "ana"), 0, engineChange("a", "1")); revision != 1 {
				t.Fatal(revision)
			}
			if revision, got := engineZones(t, store); revision != 1 || got != "a=1" {
				t.Fatal("commit was applied twice or lost", revision, got)
			}
		})
	}
}

// TestLostReplyIsResolvedAfterAnotherCommit guards against a wrong outcome for a
// committer that loses its reply and reads back only after another commit: it must
// succeed if its commit was applied, and fail with a conflict otherwise.
func TestLostReplyIsResolvedAfterAnotherCommit(t *testing.T) {
	for _, fault := range []kvmem.Fault{kvmem.FaultReplyLost, kvmem.FaultRequestLost} {
		f := &scriptedFaults{}
		store := kvmem.New(kvmem.Options{Fault: f.next})
		ana := committer(store, "ana")
		p, err := ana.prepare(context.Background(), 0, []declare.Change{engineChange("a", "1")})
		if err != nil {
			t.Fatal(err)
		}
		p.commit.Then = append(p.commit.Then, p.puts...)
		f.setCommits(fault)
		_, _ = store.Commit(context.Background(), p.commit)
		base, _ := NewReader(store).Head(context.Background())
		mustCommit(t, committer(store, "bikash"), base.Revision, engineChange("b", "1"))
		_, err = ana.commitWithRetry(context.Background(), p)
		if applied := fault == kvmem.FaultReplyLost; applied != (err == nil) {
			t.Fatal(fault, err)
		}
		if err != nil && !errors.Is(err, ErrConflict) {
			t.Fatal(err)
		}
	}
}

// TestOutcomeUnknownOnlyIfCommitMayBeApplied checks the error of a commit whose
// outcome can't be read back because the service stays down: ErrOutcomeUnknown only if
// the write may have been applied, and not if the service refused it.
func TestOutcomeUnknownOnlyIfCommitMayBeApplied(t *testing.T) {
	for first, unknown := range map[kvmem.Fault]bool{
		kvmem.FaultRefused: false, kvmem.FaultRateLimited: false, kvmem.FaultRequestLost: true, kvmem.FaultReplyLost: true,
	} {
		f := &scriptedFaults{}
		store := kvmem.New(kvmem.Options{Fault: f.next})
		ctx, cancel := context.WithCancel(context.Background())
		c := NewCommitter(CommitterOptions{Store: store, Author: "ana", Sleep: func(context.Context, time.Duration) { cancel() }})
		p, err := c.prepare(ctx, 0, []declare.Change{engineChange("a", "1")})
		if err != nil {
			t.Fatal(err)
		}
		f.setCommits(first)
		c.reader = NewReader(failingStore{})
		if _, err := c.commitWithRetry(ctx, p); err == nil || errors.Is(err, ErrOutcomeUnknown) != unknown {
			t.Fatal(first, err)
		}
	}
}

// delayedStore doesn't apply the first transaction and reports its result as unknown.
// The test applies the transaction later.
type delayedStore struct {
	kv.Store
	txn *kv.Txn
}

func (s *delayedStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if s.txn == nil {
		s.txn = &txn
		return kv.TxnResult{}, kv.ErrResultUnknown
	}
	return s.Store.Commit(ctx, txn)
}

// TestDelayedWriteIsNotAppliedTwice guards against a commit that is applied twice: a
// delayed write reaches the service after its committer has sent it again and after
// another operator's commit.
func TestDelayedWriteIsNotAppliedTwice(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	delayed := &delayedStore{Store: store}
	c := NewCommitter(CommitterOptions{Store: delayed, Author: "ana", Sleep: func(context.Context, time.Duration) {}})
	mustCommit(t, c, 0, engineChange("a", "1"))
	mustCommit(t, committer(store, "bikash"), 1, engineChange("a", "2"))
	result, err := store.Commit(context.Background(), *delayed.txn)
	if err != nil || result.Succeeded {
		t.Fatal("a delayed write was applied", result, err)
	}
	if revision, got := engineZones(t, store); revision != 2 || got != "a=2" {
		t.Fatal(revision, got)
	}
}

// failingStore fails every read.
type failingStore struct{ kv.Store }

func (failingStore) Get(context.Context, string) (kv.Entry, error) {
	return kv.Entry{}, kv.ErrUnavailable
}

// TestConcurrentOperators guards against lost or repeated commits when several
// operators commit at once, rebase after each conflict and lose replies: the final
// declarations must have every accepted change, each with a revision of its own.
func TestConcurrentOperators(t *testing.T) {
	var calls atomic.Uint64
	store := kvmem.New(kvmem.Options{Fault: func(call kvmem.Call) kvmem.Fault {
		if call != kvmem.CallCommit {
			return kvmem.FaultNone
		}
		return []kvmem.Fault{kvmem.FaultNone, kvmem.FaultReplyLost, kvmem.FaultNone, kvmem.FaultRequestLost}[calls.Add(1)%4]
	}})
	const operators, rounds = 4, 10
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			c := committer(store, fmt.Sprint(operator))
			for round := range rounds {
				commitWithRebase(t, c, engineChange(fmt.Sprintf("e-%d-%d", operator, round), "1"))
			}
		})
	}
	group.Wait()
	revision, got := engineZones(t, store)
	if revision != operators*rounds || len(strings.Fields(got)) != operators*rounds {
		t.Fatal(revision, got)
	}
}

func commitWithRebase(t *testing.T, c *Committer, change declare.Change) {
	for {
		head, err := c.reader.Head(context.Background())
		if err != nil {
			t.Error(err)
			return
		}
		_, err = c.Commit(context.Background(), head.Revision, []declare.Change{change})
		if err == nil {
			return
		}
		if !errors.Is(err, ErrConflict) {
			t.Error(err)
			return
		}
	}
}

func TestLargeCommitIsAtomicAndCleansUp(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	ana := committer(store, "ana")
	var changes []declare.Change
	for i := range 3000 {
		changes = append(changes, engineChange(fmt.Sprintf("e%d", i), "1"))
	}
	mustCommit(t, ana, 0, changes...)
	mustCommit(t, ana, 1, changes...)
	entries, _, _ := store.List(context.Background(), prefixShard)
	if len(entries) != shardCount {
		t.Fatal("unused shard versions were not deleted", len(entries))
	}
	if _, got := engineZones(t, store); len(strings.Fields(got)) != 3000 {
		t.Fatal(len(strings.Fields(got)))
	}
	p, err := ana.prepare(context.Background(), 2, changes)
	if err != nil {
		t.Fatal(err)
	}
	mustCommit(t, committer(store, "bikash"), 2, engineChange("other", "1"))
	if err := ana.stage(context.Background(), p.puts); err != nil {
		t.Fatal(err)
	}
	_, err = ana.commitWithRetry(context.Background(), p)
	ana.clean(context.Background(), p, err)
	entries, _, _ = store.List(context.Background(), prefixShard)
	if !errors.Is(err, ErrConflict) || len(entries) != shardCount {
		t.Fatal("staged shards were not deleted after a conflict", len(entries), err)
	}
}
