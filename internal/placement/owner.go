package placement

import "slices"

// Owner returns the host that owns a name (an engine or a claim slot) by
// rendezvous hashing; false if there are no hosts. The result does not depend on
// the order of hosts.
func Owner(name string, hosts []string) (string, bool) {
	key := Key(name)
	best := ""
	var bestHash uint64
	for i, host := range hosts {
		h := pairHash(key, host)
		if i == 0 || ranksBefore(h, host, bestHash, best) {
			best, bestHash = host, h
		}
	}
	return best, len(hosts) > 0
}

// OwnersInOrder returns up to n hosts: the owner of a name, then its successors
// in the order in which they would take over.
func OwnersInOrder(name string, hosts []string, n int) []string {
	key := Key(name)
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b string) int {
		if a == b {
			return 0
		}
		if ranksBefore(pairHash(key, a), a, pairHash(key, b), b) {
			return -1
		}
		return 1
	})
	return order[:min(max(n, 0), len(order))]
}

// ranksBefore reports whether host a is preferred to host b.
func ranksBefore(hashA uint64, a string, hashB uint64, b string) bool {
	if hashA != hashB {
		return hashA > hashB
	}
	return a < b
}
