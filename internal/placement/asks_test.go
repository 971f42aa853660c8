package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestAsksOfAReturningRequest(t *testing.T) {
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

func TestAsksOfANewRequest(t *testing.T) {
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
		t.Fatal("asks without upstreams")
	}
}

func TestPatienceGrowsWithThePrefix(t *testing.T) {
	if got := CacheWait(4000, 8000, 2); got != time.Second {
		t.Fatalf("got %v", got)
	}
	if got := CacheWait(4000, 0, 2); got != 0 {
		t.Fatalf("got %v", got)
	}
}

func TestMemoryKeepsTheLastTwoPlaces(t *testing.T) {
	m := NewAffinityCache(2)
	for _, upstream := range []string{"a", "b", "b"} {
		m.Record(1, upstream)
	}
	places, ok := m.Lookup(1)
	if !ok || places != (RecentUpstreams{Last: "b", Previous: "a"}) {
		t.Fatalf("got %+v", places)
	}
	ranked := []string{"x", "a", "y", "b"}
	if n := places.Promote(ranked); n != 2 || !slices.Equal(ranked, []string{"b", "a", "x", "y"}) {
		t.Fatalf("%d: %v", n, ranked)
	}
	gone := []string{"x", "a"}
	if n := places.Promote(gone); n != 1 || gone[0] != "a" {
		t.Fatalf("%d: %v", n, gone)
	}
}

func TestMemoryForgetsTheQuietestChat(t *testing.T) {
	m := NewAffinityCache(2)
	for key := range uint64(2) {
		m.Record(key, "a")
	}
	m.Record(0, "a")
	m.Record(2, "a")
	if _, ok := m.Lookup(1); ok || m.Len() != 2 {
		t.Fatalf("%d chats", m.Len())
	}
}

func BenchmarkMemory(b *testing.B) {
	const chats = 8800
	m := NewAffinityCache(chats)
	names := make([]string, 12)
	for i := range names {
		names[i] = fmt.Sprint("engine-", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		key := uint64(i) % (2 * chats)
		m.Record(key, names[i%len(names)])
		m.Lookup(key)
	}
}
