package capacity

import (
	"context"
	"net"
	"runtime"
	"sync"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/peer"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// againstSessions is the number of sessions between daemons.
const againstSessions = "sessions to peers"

var sessionCounts = []int{16, 64, 200, 409}

// closingHandler returns immediately, which ends the stream.
type closingHandler struct{}

func (closingHandler) ServeStream(context.Context, *peerpb.StreamHeader, *peer.Stream) {}

// sessions measures the memory of idle sessions. Both ends are in this process, so
// one end takes half of what is measured.
func (f *microBenchmarks) sessions() error {
	for _, count := range sessionCounts {
		bytes, err := sessionBytes(count)
		if err != nil {
			return err
		}
		f.record(againstSessions, count, "idle sessions, one end: heap and stacks", "B", bytes/2)
	}
	return nil
}

func sessionBytes(count int) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	addresses, err := serveSessions(ctx, &running, count)
	if err != nil {
		return 0, err
	}
	before := heapAndStacks()
	pool := peer.NewPool()
	defer pool.Close()
	for _, address := range addresses {
		header := &peerpb.StreamHeader{Request: &peerpb.StreamHeader_Config{Config: &peerpb.ConfigRequest{}}}
		stream, err := pool.Open(ctx, address, header)
		if err != nil {
			return 0, errors.Wrap(err, "open sessions")
		}
		stream.Close()
	}
	return heapAndStacks() - before, nil
}

// serveSessions starts a server on its own listener for each peer and returns their
// addresses.
func serveSessions(ctx context.Context, running *sync.WaitGroup, count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen for sessions")
		}
		addresses = append(addresses, listener.Addr().String())
		running.Go(func() { _ = peer.NewServer(listener, closingHandler{}).Run(ctx) })
	}
	return addresses, nil
}

func heapAndStacks() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
