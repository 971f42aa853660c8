package placement

import "slices"

// Owner returns the host that owns a name (an engine or a claim slot), by
// rendezvous hashing over the hosts; false when there are none. The order of
// hosts doesn't matter.
func Owner(name string, hosts []string) (string, bool) {
	key := Key(name)
	best := ""
	var bestHash uint64
	for i, host := range hosts {
		h := pairHash(key, host)
		if i == 0 || wins(h, host, bestHash, best) {
			best, bestHash = host, h
		}
	}
	return best, len(hosts) > 0
}

// OwnersInOrder returns the first n hosts in the order in which they would own
// a name if those before them failed; fewer when there are fewer hosts.
func OwnersInOrder(name string, hosts []string, n int) []string {
	key := Key(name)
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b string) int {
		if a == b {
			return 0
		}
		if wins(pairHash(key, a), a, pairHash(key, b), b) {
			return -1
		}
		return 1
	})
	return order[:min(max(n, 0), len(order))]
}

// wins reports whether host a goes before host b.
func wins(hashA uint64, a string, hashB uint64, b string) bool {
	if hashA != hashB {
		return hashA > hashB
	}
	return a < b
}
