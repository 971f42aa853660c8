package etcdjson

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/standin"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
)

func startStandin(t *testing.T) (*kvserver.Server, *Store) {
	t.Helper()
	service := kvserver.New(kvserver.DefaultConfig())
	server := httptest.NewServer(service)
	t.Cleanup(service.Close)
	t.Cleanup(server.Close)
	return service, newStore(t, server.URL)
}

func TestStandinTransactionsAndLists(t *testing.T) {
	_, store := startStandin(t)
	ctx := context.Background()
	create := kv.Txn{If: []kv.Compare{{Key: "a/1"}}, Then: []kv.Op{kv.Put("a/1", []byte("x")), kv.Put("a/2", []byte("y"))}}
	for _, want := range []bool{true, false} {
		if result, err := store.Commit(ctx, create); err != nil || result.Succeeded != want {
			t.Fatal(result, err)
		}
	}
	entries, revision, err := store.List(ctx, "a/")
	if err != nil || len(entries) != 2 || entries[1].Key != "a/2" || revision != entries[0].ModRevision {
		t.Fatal(entries, revision, err)
	}
	if _, err := store.Get(ctx, "a/3"); !errors.Is(err, kv.ErrNotFound) {
		t.Fatal(err)
	}
}

func TestStandinExpiredLeaseDeletesKeys(t *testing.T) {
	service, store := startStandin(t)
	ctx := context.Background()
	id, err := store.Grant(ctx, 30*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(ctx, kv.Txn{Then: []kv.Op{{Key: "holder", Value: []byte("x"), Lease: id}}}); err != nil {
		t.Fatal(err)
	}
	if ttl, err := store.KeepAlive(ctx, id); err != nil || ttl != 30*time.Second {
		t.Fatal(ttl, err)
	}
	service.Act(kvserver.Action{ExpireAllLeases: true})
	if _, err := store.KeepAlive(ctx, id); !errors.Is(err, kv.ErrLeaseExpired) {
		t.Fatal(err)
	}
	if _, err := store.Get(ctx, "holder"); !errors.Is(err, kv.ErrNotFound) {
		t.Fatal(err)
	}
	late := kv.Txn{Then: []kv.Op{{Key: "holder", Value: []byte("x"), Lease: id}}}
	if _, err := store.Commit(ctx, late); !errors.Is(err, kv.ErrLeaseExpired) {
		t.Fatal(err)
	}
	if err := store.Revoke(ctx, id); !errors.Is(err, kv.ErrLeaseExpired) {
		t.Fatal(err)
	}
}

func TestStandinFaults(t *testing.T) {
	service, store := startStandin(t)
	write := func(key string) error {
		_, err := store.Commit(context.Background(), kv.Txn{Then: []kv.Op{kv.Put(key, nil)}})
		return err
	}
	service.Faults.Update(func(f *kvserver.Faults) { *f = kvserver.Faults{LoseWriteReplies: 1} })
	if err := write("a"); !errors.Is(err, kv.ErrResultUnknown) {
		t.Fatal(err)
	}
	if _, err := store.Get(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	service.Faults.Update(func(f *kvserver.Faults) { *f = kvserver.Faults{Outage: standin.OutageRefuse} })
	if err := write("b"); !errors.Is(err, kv.ErrUnavailable) {
		t.Fatal(err)
	}
	service.Faults.Update(func(f *kvserver.Faults) { *f = kvserver.Faults{Outage: standin.OutageCut} })
	if err := write("b"); !errors.Is(err, kv.ErrResultUnknown) {
		t.Fatal(err)
	}
}

func TestStandinWatch(t *testing.T) {
	service, store := startStandin(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	put := func(key string) int64 {
		result, err := store.Commit(ctx, kv.Txn{Then: []kv.Op{kv.Put(key, []byte("x"))}})
		if err != nil {
			t.Fatal(err)
		}
		return result.Revision
	}
	first := put("a/1")
	put("b/1")
	third := put("a/2")
	events, err := store.Watch(ctx, "a/", first)
	if err != nil {
		t.Fatal(err)
	}
	batch := <-events
	if len(batch.Events) != 1 || batch.Events[0].Entry.ModRevision != third {
		t.Fatalf("%+v", batch)
	}
	service.Act(kvserver.Action{EndWatches: true, CompactRevision: -1})
	if batch := <-events; !errors.Is(batch.Err, kv.ErrUnavailable) {
		t.Fatalf("%+v", batch)
	}
	late, err := store.Watch(ctx, "a/", first)
	if err != nil {
		t.Fatal(err)
	}
	if batch := <-late; !errors.Is(batch.Err, kv.ErrCompacted) {
		t.Fatalf("%+v", batch)
	}
}
