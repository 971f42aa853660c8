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

// faults hands out set faults for commits, one a call.
type faults struct {
	mu      sync.Mutex
	commits []kvmem.Fault
	down    bool
}

func (f *faults) next(call kvmem.Call) kvmem.Fault {
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

func (f *faults) set(commits ...kvmem.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits = commits
}

func (f *faults) outage(down bool) {
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

func zones(t *testing.T, store *kvmem.Store) (revision uint64, zones string) {
	t.Helper()
	whole, err := NewReader(store).LoadAll(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range whole.Declarations.Engines {
		zones += e.Name + "=" + e.Labels["zone"] + " "
	}
	return whole.Revision, strings.TrimSpace(zones)
}

func TestCommitLoadAndHistory(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	ana := committer(store, "ana")
	mustCommit(t, ana, 0, engineChange("a", "1"), engineChange("b", "1"))
	mustCommit(t, ana, 1, engineChange("a", "2"), declare.Change{Kind: declare.KindEngine, Name: "b"})
	if revision, got := zones(t, store); revision != 2 || got != "a=2" {
		t.Fatal(revision, got)
	}
	records, err := NewReader(store).History(context.Background(), 1)
	if err != nil || len(records) != 1 || len(records[0].Changes) != 2 || records[0].Author != "ana" {
		t.Fatal(records, err)
	}
	entries, _, _ := store.List(context.Background(), prefixShard)
	if len(entries) != 2 {
		t.Fatal("replaced shards are left over", len(entries))
	}
}

func TestConflictNamesTheOther(t *testing.T) {
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
	if _, got := zones(t, store); got != "a=1" {
		t.Fatal(got)
	}
}

func TestLostRepliesAreSettled(t *testing.T) {
	cases := map[string][]kvmem.Fault{
		"applied, reply lost":       {kvmem.FaultReplyLost},
		"not applied, result open":  {kvmem.FaultRequestLost},
		"refused, lost, reply lost": {kvmem.FaultRefused, kvmem.FaultRequestLost, kvmem.FaultRateLimited, kvmem.FaultReplyLost},
	}
	for name, list := range cases {
		t.Run(name, func(t *testing.T) {
			f := &faults{}
			store := kvmem.New(kvmem.Options{Fault: f.next})
			f.set(list...)
			if revision := mustCommit(t, committer(store, "ana"), 0, engineChange("a", "1")); revision != 1 {
				t.Fatal(revision)
			}
			if revision, got := zones(t, store); revision != 1 || got != "a=1" {
				t.Fatal("committed twice or lost", revision, got)
			}
		})
	}
}

// TestPausedCommitterAfterOthers covers a committer whose reply was lost and who
// reads back only after another commit.
func TestPausedCommitterAfterOthers(t *testing.T) {
	for _, fault := range []kvmem.Fault{kvmem.FaultReplyLost, kvmem.FaultRequestLost} {
		f := &faults{}
		store := kvmem.New(kvmem.Options{Fault: f.next})
		ana := committer(store, "ana")
		p, err := ana.prepare(context.Background(), 0, []declare.Change{engineChange("a", "1")})
		if err != nil {
			t.Fatal(err)
		}
		p.commit.Then = append(p.commit.Then, p.puts...)
		f.set(fault)
		_, _ = store.Commit(context.Background(), p.commit)
		base, _ := NewReader(store).Head(context.Background())
		mustCommit(t, committer(store, "bikash"), base.Revision, engineChange("b", "1"))
		_, err = ana.settle(context.Background(), p)
		if applied := fault == kvmem.FaultReplyLost; applied != (err == nil) {
			t.Fatal(fault, err)
		}
		if err != nil && !errors.Is(err, ErrConflict) {
			t.Fatal(err)
		}
	}
}

// TestOutcomeUnknownOnlyWhenNotSettled has the service fail for good, before or
// after a write was sent.
func TestOutcomeUnknownOnlyWhenNotSettled(t *testing.T) {
	for first, unknown := range map[kvmem.Fault]bool{
		kvmem.FaultRefused: false, kvmem.FaultRateLimited: false, kvmem.FaultRequestLost: true, kvmem.FaultReplyLost: true,
	} {
		f := &faults{}
		store := kvmem.New(kvmem.Options{Fault: f.next})
		ctx, cancel := context.WithCancel(context.Background())
		c := NewCommitter(CommitterOptions{Store: store, Author: "ana", Sleep: func(context.Context, time.Duration) { cancel() }})
		p, err := c.prepare(ctx, 0, []declare.Change{engineChange("a", "1")})
		if err != nil {
			t.Fatal(err)
		}
		f.set(first)
		c.reader = NewReader(failingStore{})
		if _, err := c.settle(ctx, p); err == nil || errors.Is(err, ErrOutcomeUnknown) != unknown {
			t.Fatal(first, err)
		}
	}
}

// lateStore holds the first transaction back, reports its result as unknown, and
// delivers it when told to.
type lateStore struct {
	kv.Store
	held *kv.Txn
}

func (s *lateStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if s.held == nil {
		s.held = &txn
		return kv.TxnResult{}, kv.ErrResultUnknown
	}
	return s.Store.Commit(ctx, txn)
}

// TestLateWriteCommitsNothingTwice has a write arrive after its committer has sent
// it again, and after another operator's commit.
func TestLateWriteCommitsNothingTwice(t *testing.T) {
	store := kvmem.New(kvmem.Options{})
	late := &lateStore{Store: store}
	c := NewCommitter(CommitterOptions{Store: late, Author: "ana", Sleep: func(context.Context, time.Duration) {}})
	mustCommit(t, c, 0, engineChange("a", "1"))
	mustCommit(t, committer(store, "bikash"), 1, engineChange("a", "2"))
	result, err := store.Commit(context.Background(), *late.held)
	if err != nil || result.Succeeded {
		t.Fatal("a late write was applied", result, err)
	}
	if revision, got := zones(t, store); revision != 2 || got != "a=2" {
		t.Fatal(revision, got)
	}
}

// failingStore answers no read.
type failingStore struct{ kv.Store }

func (failingStore) Get(context.Context, string) (kv.Entry, error) {
	return kv.Entry{}, kv.ErrUnavailable
}

// TestRacingOperators has operators rebase on each conflict; every accepted
// change must be in the end result.
func TestRacingOperators(t *testing.T) {
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
				commitRebasing(t, c, engineChange(fmt.Sprintf("e-%d-%d", operator, round), "1"))
			}
		})
	}
	group.Wait()
	revision, got := zones(t, store)
	if revision != operators*rounds || len(strings.Fields(got)) != operators*rounds {
		t.Fatal(revision, got)
	}
}

func commitRebasing(t *testing.T, c *Committer, change declare.Change) {
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
		t.Fatal("shards left over", len(entries))
	}
	if _, got := zones(t, store); len(strings.Fields(got)) != 3000 {
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
	_, err = ana.settle(context.Background(), p)
	ana.clean(context.Background(), p, err)
	entries, _, _ = store.List(context.Background(), prefixShard)
	if !errors.Is(err, ErrConflict) || len(entries) != shardCount {
		t.Fatal("staged shards left after a conflict", len(entries), err)
	}
}
