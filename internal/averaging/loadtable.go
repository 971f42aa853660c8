package averaging

// loadTable holds the loads that other routers reported last.
type loadTable struct {
	heard map[string]loads
}

func newLoadTable() *loadTable { return &loadTable{heard: make(map[string]loads)} }

func (t *loadTable) hear(from string, list []PoolLoad) { t.heard[from] = loadsOf(list) }

// means averages over the hosts that were heard and this one; the others are
// taken to be like these. Hosts that aren't named are forgotten.
func (t *loadTable) means(self string, local loads, hosts []string) loads {
	sum := local.clone()
	kept := make(map[string]loads, len(hosts))
	for _, host := range hosts {
		if heard, ok := t.heard[host]; ok && host != self {
			sum.addScaled(heard, 1)
			kept[host] = heard
		}
	}
	t.heard = kept
	out := make(loads, len(sum))
	out.addScaled(sum, 1/float64(len(kept)+1))
	return out
}
