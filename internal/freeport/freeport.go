// Package freeport gives out loopback ports for tests and replays.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// ErrNone means that too few ports are free.
var ErrNone = errors.New("too few free ports on 127.0.0.1: end other runs")

const (
	loopback = "127.0.0.1"
	// firstPort and lastPort lie below the ports that systems give to outgoing
	// connections, so that none is taken between the check and its use.
	firstPort = 20000
	lastPort  = 30000
	// portStride spreads the runs of different processes over the range.
	portStride = 131
)

// Ports gives out addresses that are free for TCP and UDP, each once. Layouts
// that run at the same time share one: else the port of a killed process could
// go to another fleet while the callers of the first still use it. It is safe
// for concurrent use.
type Ports struct {
	mu   sync.Mutex
	next int
	left int
}

// NewPorts returns a source that starts at a place of this process's own.
func NewPorts() *Ports {
	return &Ports{next: os.Getpid() * portStride % (lastPort - firstPort), left: lastPort - firstPort}
}

// Take returns a free IP number and port, or ErrNone.
func (p *Ports) Take() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.left > 0 {
		p.left--
		port := firstPort + p.next
		p.next = (p.next + 1) % (lastPort - firstPort)
		address := net.JoinHostPort(loopback, strconv.Itoa(port))
		if free(address) {
			return address, nil
		}
	}
	return "", ErrNone
}

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
