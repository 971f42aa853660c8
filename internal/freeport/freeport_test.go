package freeport

import (
	"net"
	"strconv"
	"testing"
)

// Two sources, as in two test processes, never give out ports of the same block:
// one that a stopped process has left must not go to another run.
func TestSourcesDoNotShareBlocks(t *testing.T) {
	a, b := NewAllocator(), NewAllocator()
	owner := map[int]*Allocator{}
	for range 3 * blockSize {
		for _, p := range []*Allocator{a, b} {
			address, err := p.Allocate()
			if err != nil {
				t.Fatal(err)
			}
			block := blockOf(t, address)
			if other, taken := owner[block]; taken && other != p {
				t.Fatalf("both sources give out ports of block %d", block)
			}
			owner[block] = p
		}
	}
	if len(owner) < 6 {
		t.Errorf("%d blocks for %d ports", len(owner), 6*blockSize)
	}
}

func blockOf(t *testing.T, address string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return (port - firstPort) / blockSize
}
