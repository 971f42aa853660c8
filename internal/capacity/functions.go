package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// Sizes that MicroBenchmarks varies, and fixed values that its inputs are built from.
const (
	againstChats    = "remembered chats"
	againstPoolSize = "engines in a pool"
	againstPools    = "busy pools"
	againstMembers  = "members"
	againstHosts    = "listed hosts"
	firstListedPort = 26000
	againstDeclared = "declared workspaces"
	declaredModels  = 12
	declaredEngines = 600
)

var (
	chatCounts      = []int{1_000, 10_000, 30_000, 100_000}
	poolSizes       = []int{10, 50, 150, 600}
	poolCounts      = []int{1, 4, 12, 24, 48}
	memberCounts    = []int{8, 32, 128, 410}
	workspaceCounts = []int{100, 1_000, 10_000, 30_000}
)

// MicroBenchmarks measures single functions and idle sessions in this process, without a
// running fleet.
func MicroBenchmarks(seed uint64) ([]Observation, error) {
	f := &microBenchmarks{random: rand.New(rand.NewPCG(seed, 0))}
	f.chatMemory()
	f.placement()
	f.datagrams()
	f.members()
	f.hostLists()
	f.declarations()
	return f.observations, f.sessions()
}

type microBenchmarks struct {
	random       *rand.Rand
	observations []Observation
}

func (f *microBenchmarks) record(against string, x int, figure, unit string, value float64) {
	f.observations = append(f.observations, Observation{
		Figure: figure, Unit: unit, Against: against, X: float64(x), Y: value, Load: machineLoad(),
	})
}

// secondsPerCall returns the mean time of a call over one run of testing.Benchmark.
func secondsPerCall(call func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			call()
		}
	})
	return result.T.Seconds() / float64(result.N)
}

// heapOf returns the live heap that the value returned by build occupies, in bytes.
func heapOf[T any](build func() T) float64 {
	before := liveHeap()
	value := build()
	after := liveHeap()
	runtime.KeepAlive(value)
	return after - before
}

func liveHeap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func (f *microBenchmarks) chatMemory() {
	for _, count := range chatCounts {
		heap := heapOf(func() *placement.AffinityCache {
			cache := placement.NewAffinityCache(count)
			for range count {
				cache.Record(f.random.Uint64(), "engine-000")
			}
			return cache
		})
		f.record(againstChats, count, "memory of chats: live heap", "B", heap)
	}
}

func (f *microBenchmarks) placement() {
	for _, size := range poolSizes {
		candidates := make([]placement.Candidate, size)
		for i := range candidates {
			candidates[i] = placement.Candidate{Name: engineName(i), Weight: 1}
		}
		rank := make([]int, 0, size)
		seconds := secondsPerCall(func() {
			rank = placement.Rendezvous{}.Rank(placement.Request{Key: f.random.Uint64()}, candidates, rank[:0])
		})
		f.record(againstPoolSize, size, "rank of a chat's engines", "s", seconds)
	}
	for _, count := range memberCounts {
		names := routerNames(count)
		seconds := secondsPerCall(func() { placement.OwnersInOrder("engine-000", names, 1) })
		f.record(againstMembers, count, "owner of an engine", "s", seconds)
	}
}

func routerNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = routerName(i)
	}
	return names
}

// datagrams measures the size of a ping that carries pool averages.
func (f *microBenchmarks) datagrams() {
	for _, count := range poolCounts {
		d := &peerpb.Datagram{
			From: routerName(0), Incarnation: uint64(time.Now().Unix()) << 20, ConfigRevision: 1000,
			Body:     &peerpb.Datagram_Ping{Ping: &peerpb.Ping{Sequence: 1000}},
			Averages: &peerpb.Averages{Epoch: 1000},
		}
		for range count {
			average := &peerpb.PoolAverage{Pool: f.random.Uint32(), InFlight: f.random.Float32()}
			d.Averages.Pools = append(d.Averages.Pools, average)
		}
		f.record(againstPools, count, "ping with averages, without IP headers", "B", float64(proto.Size(d)))
	}
}

// members measures the work of the control goroutine in each probe round and tick,
// and for an unchanged host list.
func (f *microBenchmarks) members() {
	for _, count := range memberCounts {
		now := time.Now()
		build := func() *membership.Members {
			m := membership.New(membership.Options{
				Self: hostlist.Host{Name: routerName(0), Kind: hostlist.KindRouter}, Settings: membership.DefaultSettings(), Seed: 1,
			})
			m.ApplyHostList(now, listOf(count))
			return m
		}
		f.record(againstMembers, count, "membership of routers and as many engines: live heap", "B", heapOf(build))
		m := build()
		f.record(againstMembers, count, "membership: one round", "s", secondsPerCall(func() {
			for _, effect := range m.ProbeRound(now) {
				m.ProbeAnswered(effect.Host, effect.Sequence)
			}
		}))
		f.record(againstMembers, count, "membership: one tick", "s", secondsPerCall(func() { m.Tick(now) }))
		f.record(againstMembers, count, "membership: one unchanged list", "s", secondsPerCall(func() { m.ApplyHostList(now, listOf(count)) }))
	}
}

// hostLists measures the size of the host list as the platform sends it, plain and
// compressed with gzip.
func (f *microBenchmarks) hostLists() {
	for _, count := range memberCounts {
		layout := NewLayout(Size{Routers: count, Engines: count * targetEngines / targetRouters, EngineServers: 1}, 1, firstListedPort)
		list := layout.Hosts()
		plain, err := json.Marshal(list)
		if err != nil {
			continue
		}
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		_, _ = writer.Write(plain)
		_ = writer.Close()
		f.record(againstHosts, len(list.Hosts), "host list, plain", "B", float64(len(plain)))
		f.record(againstHosts, len(list.Hosts), "host list, zipped", "B", float64(compressed.Len()))
	}
}

// listOf returns a host list of count routers and as many engines.
func listOf(count int) []hostlist.Host {
	hosts := make([]hostlist.Host, 0, 2*count)
	for i := range count {
		router := hostlist.Host{Name: routerName(i), Kind: hostlist.KindRouter, State: hostlist.StateLive}
		engine := hostlist.Host{Name: engineName(i), Kind: hostlist.KindEngine, State: hostlist.StateLive}
		hosts = append(hosts, router, engine)
	}
	return hosts
}

func (f *microBenchmarks) declarations() {
	for _, count := range workspaceCounts {
		size := Size{Engines: declaredEngines, Workspaces: count, Models: declaredModels}
		var declared *declare.Declarations
		heap := heapOf(func() *declare.Declarations {
			declared = declare.FromChanges(size.Changes())
			return declared
		})
		f.record(againstDeclared, count, "declarations: live heap", "B", heap)
		compiled := heapOf(func() any { return declare.CompileChecked(declared, 1) })
		f.record(againstDeclared, count, "snapshot: live heap besides the declarations", "B", compiled)
		f.record(againstDeclared, count, "compile a snapshot", "s", secondsPerCall(func() { declare.CompileChecked(declared, 1) }))
		change := []declare.Change{workspaceChange(0, count+1)}
		f.record(againstDeclared, count, "apply one change", "s", secondsPerCall(func() { declared.Apply(change) }))
	}
}
