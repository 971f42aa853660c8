package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestAttemptsWithCachedPrefix(t *testing.T) {
	got := PlanAttempts([]string{"a", "b", "c", "d"}, AttemptOptions{Cached: 1, CacheWait: time.Second, MaxUpstreams: 3})
	want := []Attempt{
		{Upstream: "a", Wait: time.Second},
		{Upstream: "b", Flexible: true}, {Upstream: "c", Flexible: true},
		{Upstream: "a"}, {Upstream: "b"}, {Upstream: "c"},
		{LastResort: true},
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got %+v", got)
	}
}

func TestAttemptsWithoutCachedPrefix(t *testing.T) {
	got := PlanAttempts([]string{"a", "b"}, AttemptOptions{CacheWait: time.Second, MaxUpstreams: 8})
	want := []Attempt{
		{Upstream: "a", Flexible: true}, {Upstream: "b", Flexible: true},
		{Upstream: "a"}, {Upstream: "b"},
		{LastResort: true, PoolFull: true},
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got %+v", got)
	}
	if PlanAttempts(nil, AttemptOptions{}) != nil {
		t.Fatal("attempts returned without upstreams")
	}
}

func TestCacheWaitGrowsWithPrefix(t *testing.T) {
	if got := CacheWait(4000, 8000, 2); got != time.Second {
		t.Fatalf("got %v, want 1 s", got)
	}
	if got := CacheWait(4000, 0, 2); got != 0 {
		t.Fatalf("unknown prefill rate: got %v, want 0", got)
	}
}

func TestAffinityCacheKeepsLastTwoUpstreams(t *testing.T) {
	cache := NewAffinityCache(2)
	for _, upstream := range []string{"a", "b", "b"} {
		cache.Record(1, upstream)
	}
	recent, ok := cache.Lookup(1)
	if !ok || recent != (RecentUpstreams{Last: "b", Previous: "a"}) {
		t.Fatalf("got %+v, want b, then a", recent)
	}
	ranked := []string{"x", "a", "y", "b"}
	if n := recent.Promote(ranked); n != 2 || !slices.Equal(ranked, []string{"b", "a", "x", "y"}) {
		t.Fatalf("promoted %d: %v", n, ranked)
	}
	partial := []string{"x", "a"}
	if n := recent.Promote(partial); n != 1 || partial[0] != "a" {
		t.Fatalf("promoted %d of two upstreams, one in the ranking: %v", n, partial)
	}
}

func TestAffinityCacheEvictsLeastRecentChat(t *testing.T) {
	cache := NewAffinityCache(2)
	for key := range uint64(2) {
		cache.Record(key, "a")
	}
	cache.Record(0, "a")
	cache.Record(2, "a")
	if _, ok := cache.Lookup(1); ok || cache.Len() != 2 {
		t.Fatalf("%d chats cached, want 2 without chat 1", cache.Len())
	}
}

func BenchmarkAffinityCache(b *testing.B) {
	const chats = 8800
	cache := NewAffinityCache(chats)
	names := make([]string, 12)
	for i := range names {
		names[i] = fmt.Sprint("engine-", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		key := uint64(i) % (2 * chats)
		cache.Record(key, names[i%len(names)])
		cache.Lookup(key)
	}
}
