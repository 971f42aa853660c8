package peering

// leastNear is the number of routers in a region from which on its callers are
// sent to these alone: with one, they would have none left when it dies.
const leastNear = 2

// CallerAddresses returns up to limit addresses for callers of a region, those
// of routers in it if there are enough. Of too many, it returns a random part,
// so that callers are spread over all.
func CallerAddresses(routers []Router, region string, limit int, shuffle func(n int, swap func(i, j int))) []string {
	var near, all []string
	for _, r := range routers {
		if !r.Accepting || r.Leaving || r.CallerAddress == "" {
			continue
		}
		all = append(all, r.CallerAddress)
		if r.Region == region {
			near = append(near, r.CallerAddress)
		}
	}
	chosen := all
	if len(near) >= leastNear {
		chosen = near
	}
	if len(chosen) <= limit {
		return chosen
	}
	shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:limit]
}
