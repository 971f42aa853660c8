// Package freeport allocates free loopback ports for tests and replays.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// ErrNoFreePort means that no block of ports is left to claim.
var ErrNoFreePort = errors.New("no free port left on 127.0.0.1: stop other test or replay runs")

const (
	loopback = "127.0.0.1"
	// The range from firstPort to lastPort is below the usual ephemeral ports, so
	// that no outgoing connection takes a port between the check and its use.
	firstPort = 20000
	lastPort  = 30000
	// blockSize is the number of ports that an allocator claims at a time.
	blockSize  = 50
	blockCount = (lastPort - firstPort) / blockSize
	// blockStride spreads the first blocks of processes with consecutive IDs over the
	// range.
	blockStride = 7
)

// Allocator returns addresses that are free for TCP and UDP, each at most once. It
// claims a block of ports by listening on the first port of the block. Other
// allocators skip a claimed block, so that the port of a process that is stopped
// and will be restarted isn't allocated to another run in the meantime. Layouts
// that run at the same time share one allocator. It is safe for concurrent use.
type Allocator struct {
	mu sync.Mutex
	// nextBlock is the block to try next, blocksTried the number of blocks tried.
	nextBlock, blocksTried int
	// The unused ports of the claimed block are from nextPort up to endPort,
	// exclusive.
	nextPort, endPort int
	// claims are the listeners of the claimed blocks. They stay open until the
	// process exits.
	claims []net.Listener
}

// NewAllocator returns an allocator whose first block depends on the process ID, so
// that processes that run at the same time seldom try the same blocks.
func NewAllocator() *Allocator { return &Allocator{nextBlock: os.Getpid() * blockStride % blockCount} }

// Allocate returns a free host:port address, or ErrNoFreePort.
func (a *Allocator) Allocate() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		for a.nextPort < a.endPort {
			address := addressOf(a.nextPort)
			a.nextPort++
			if isFree(address) {
				return address, nil
			}
		}
		if !a.claimBlock() {
			return "", ErrNoFreePort
		}
	}
}

// claimBlock claims the next block that no other allocator has. It returns false if
// all blocks were tried.
func (a *Allocator) claimBlock() bool {
	for a.blocksTried < blockCount {
		first := firstPort + a.nextBlock*blockSize
		a.nextBlock = (a.nextBlock + 1) % blockCount
		a.blocksTried++
		listener, err := net.Listen("tcp", addressOf(first))
		if err != nil {
			continue
		}
		a.claims = append(a.claims, listener)
		a.nextPort, a.endPort = first+1, first+blockSize
		return true
	}
	return false
}

func addressOf(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return packets.Close() == nil
}
