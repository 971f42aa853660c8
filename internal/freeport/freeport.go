// Package freeport gives out loopback ports for tests and replays.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// ErrNoFreePort means that too few ports are free.
var ErrNoFreePort = errors.New("too few free ports on 127.0.0.1: end other runs")

const (
	loopback = "127.0.0.1"
	// firstPort and lastPort lie below the ports that systems give to outgoing
	// connections, so that none is taken between the check and its use.
	firstPort = 20000
	lastPort  = 30000
	// blockSize is the number of ports that a source claims together.
	blockSize = 50
	blocks    = (lastPort - firstPort) / blockSize
	// blockStride spreads the first blocks of different processes over the range.
	blockStride = 7
)

// Allocator gives out addresses that are free for TCP and UDP, each once. It claims
// blocks of ports by listening on the first one of each: a port whose process has
// been stopped, and is to start again, must not go to another run meanwhile.
// Layouts that run at the same time share one source. It is safe for concurrent
// use.
type Allocator struct {
	mu sync.Mutex
	// block is the next block to claim, tried the number of those tried.
	block, tried int
	// next and end are the ports of the claimed block that are left.
	next, end int
	// claims are held until the process ends.
	claims []net.Listener
}

// NewAllocator returns a source that starts at a place of this process's own.
func NewAllocator() *Allocator { return &Allocator{block: os.Getpid() * blockStride % blocks} }

// Allocate returns a free IP number and port, or ErrNone.
func (p *Allocator) Allocate() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for p.next < p.end {
			address := addressOf(p.next)
			p.next++
			if free(address) {
				return address, nil
			}
		}
		if !p.claim() {
			return "", ErrNoFreePort
		}
	}
}

// claim takes the next block that no other source has; false when there is none.
func (p *Allocator) claim() bool {
	for p.tried < blocks {
		first := firstPort + p.block*blockSize
		p.block = (p.block + 1) % blocks
		p.tried++
		listener, err := net.Listen("tcp", addressOf(first))
		if err != nil {
			continue
		}
		p.claims = append(p.claims, listener)
		p.next, p.end = first+1, first+blockSize
		return true
	}
	return false
}

func addressOf(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }

func free(address string) bool {
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
