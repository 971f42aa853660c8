package configstore

import (
	"context"
	"fmt"
	"testing"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/kv/kvmem"
)

// Numbers of objects in the benchmarks.
const (
	benchWorkspaces = 30_000
	benchEngines    = 600
	benchModels     = 12
	benchTeams      = 300
)

// benchDeclarations returns declarations with a given number of workspaces.
func benchDeclarations(workspaces int) *declare.Declarations {
	var changes []declare.Change
	for i := range workspaces {
		w := declare.Workspace{Name: fmt.Sprintf("workspace-%05d", i), Weight: 1, Priority: "normal", Labels: fleet.Labels{
			"team": fmt.Sprintf("team-%d", i%benchTeams), "region": fmt.Sprintf("region-%d", i%2), "tier": "standard",
		}}
		changes = append(changes, declare.Change{Kind: declare.KindWorkspace, Name: w.Name, Workspace: &w})
	}
	for i := range benchEngines {
		e := declare.Engine{Name: fmt.Sprintf("engine-%03d", i), Model: fmt.Sprintf("model-%d", i%benchModels), Weight: 1, Capacity: 16,
			Labels: fleet.Labels{"region": fmt.Sprintf("region-%d", i%2), "domain": fmt.Sprintf("domain-%d", i%5)}}
		changes = append(changes, declare.Change{Kind: declare.KindEngine, Name: e.Name, Engine: &e})
	}
	for i := range benchModels {
		s := declare.Selector{Name: fmt.Sprintf("selector-%d", i), Models: []string{fmt.Sprintf("model-%d", i)}}
		changes = append(changes, declare.Change{Kind: declare.KindSelector, Name: s.Name, Selector: &s})
	}
	return declare.FromChanges(changes)
}

func relabel(round int) declare.Change {
	w := declare.Workspace{Name: fmt.Sprintf("workspace-%05d", round%benchWorkspaces), Weight: 1, Priority: "normal",
		Labels: fleet.Labels{"team": fmt.Sprintf("team-%d", round%benchTeams), "region": "region-1", "tier": "standard"}}
	return declare.Change{Kind: declare.KindWorkspace, Name: w.Name, Workspace: &w}
}

// countingStore counts the calls of Get and Commit and the bytes of their values.
type countingStore struct {
	kv.Store
	reads, commits, readBytes, writtenBytes int
}

func (s *countingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	s.reads++
	s.readBytes += len(entry.Value)
	return entry, err
}

func (s *countingStore) Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.commits++
	for _, op := range txn.Then {
		s.writtenBytes += len(op.Value)
	}
	return s.Store.Commit(ctx, txn)
}

func BenchmarkCommitOneChange(b *testing.B) {
	store := &countingStore{Store: kvmem.New(kvmem.Options{})}
	c := NewCommitter(CommitterOptions{Store: store, Author: "ana"})
	revision, err := c.Commit(context.Background(), 0, benchDeclarations(benchWorkspaces).Changes())
	if err != nil {
		b.Fatal(err)
	}
	imported := *store
	*store = countingStore{Store: store.Store}
	b.ResetTimer()
	for round := range b.N {
		if revision, err = c.Commit(context.Background(), revision, []declare.Change{relabel(round)}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(imported.commits), "writes/import")
	b.ReportMetric(float64(imported.writtenBytes), "B-written/import")
	n := float64(b.N)
	b.ReportMetric(float64(store.reads)/n, "reads/op")
	b.ReportMetric(float64(store.commits)/n, "writes/op")
	b.ReportMetric(float64(store.readBytes)/n, "B-read/op")
	b.ReportMetric(float64(store.writtenBytes)/n, "B-written/op")
}

func BenchmarkApplyOneChange(b *testing.B) {
	for _, workspaces := range []int{300, 3000, benchWorkspaces} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			v := newView(1, benchDeclarations(workspaces), nil)
			record := Record{Manifest: Manifest{Author: "ana", Nonce: "0c7bbd1e-6a93-4a0e-8f0b-1c7c2f3f5a10"}, Changes: []declare.Change{relabel(7)}}
			b.ResetTimer()
			for range b.N {
				record.Revision = v.snapshot.Revision + 1
				next, err := v.withRecords([]Record{record})
				if err != nil {
					b.Fatal(err)
				}
				v = next
			}
			b.ReportMetric(float64(len(v.records[0].data)), "B/record")
		})
	}
}

func BenchmarkWholeCopy(b *testing.B) {
	c := FullCopy{Revision: 1, Declarations: benchDeclarations(benchWorkspaces)}
	plain, err := c.Declarations.Encode()
	if err != nil {
		b.Fatal(err)
	}
	var packed []byte
	for b.Loop() {
		if packed, err = compressCopy(c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(plain)), "B/plain")
	b.ReportMetric(float64(len(packed)), "B/packed")
}
