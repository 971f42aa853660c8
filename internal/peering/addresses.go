package peering

// minRegionRouters is the minimum number of routers in a region for its callers
// to be sent to that region only. With a single one, callers would have no router
// left when it fails.
const minRegionRouters = 2

// CallerAddresses returns up to limit caller addresses of routers that accept
// calls. It returns routers of the given region only if there are at least
// minRegionRouters of them. If there are more than limit, it returns a random
// subset, so that callers are distributed over all routers.
func CallerAddresses(routers []Router, region string, limit int, shuffle func(n int, swap func(i, j int))) []string {
	var inRegion, all []string
	for _, r := range routers {
		if !r.Accepting || r.Leaving || r.CallerAddress == "" {
			continue
		}
		all = append(all, r.CallerAddress)
		if r.Region == region {
			inRegion = append(inRegion, r.CallerAddress)
		}
	}
	chosen := all
	if len(inRegion) >= minRegionRouters {
		chosen = inRegion
	}
	if len(chosen) <= limit {
		return chosen
	}
	shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:limit]
}
