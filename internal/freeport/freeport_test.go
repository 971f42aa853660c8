package freeport

import (
	"net"
	"strconv"
	"testing"
)

// Two allocators, as in two test processes, never allocate ports of the same block.
// Otherwise, the port of a stopped process could be allocated to another run before
// the process is restarted.
func TestAllocatorsDoNotShareBlocks(t *testing.T) {
	a, b := NewAllocator(), NewAllocator()
	owner := map[int]*Allocator{}
	for range 3 * blockSize {
		for _, allocator := range []*Allocator{a, b} {
			address, err := allocator.Allocate()
			if err != nil {
				t.Fatal(err)
			}
			block := blockOf(t, address)
			if other, taken := owner[block]; taken && other != allocator {
				t.Fatalf("both allocators returned ports of block %d", block)
			}
			owner[block] = allocator
		}
	}
	if len(owner) < 6 {
		t.Errorf("got ports from %d blocks for %d allocations, want at least 6 blocks", len(owner), 6*blockSize)
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
