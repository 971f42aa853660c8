package averaging

// loadTable holds the latest loads reported by other routers.
type loadTable struct {
	reported map[string]loads // by router name
}

func newLoadTable() *loadTable { return &loadTable{reported: make(map[string]loads)} }

func (t *loadTable) record(from string, list []PoolLoad) { t.reported[from] = loadsOf(list) }

// means averages over this router and those that have reported. The remaining
// routers are assumed to have the same mean. Reports of routers that are not in
// the list are dropped.
func (t *loadTable) means(self string, local loads, routers []string) loads {
	sum := local.clone()
	kept := make(map[string]loads, len(routers))
	for _, router := range routers {
		if reported, ok := t.reported[router]; ok && router != self {
			sum.addScaled(reported, 1)
			kept[router] = reported
		}
	}
	t.reported = kept
	out := make(loads, len(sum))
	out.addScaled(sum, 1/float64(len(kept)+1))
	return out
}
