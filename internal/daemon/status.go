package daemon

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/status"
)

func (n *node) commonStatus() *status.Page {
	view := n.cluster.View()
	page := &status.Page{
		Name: n.common.Name, Region: n.common.Region, FailureDomain: n.common.FailureDomain,
		ConfigRevision: n.config.Revision(),
	}
	for _, router := range view.Routers {
		page.Routers = append(page.Routers, router.Name)
	}
	for name, upstream := range view.Upstreams {
		page.Upstreams = append(page.Upstreams, status.Upstream{Name: name, State: stateName(upstream.State)})
	}
	sortUpstreams(page.Upstreams)
	return page
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func sortUpstreams(upstreams []status.Upstream) {
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].Name < upstreams[j].Name })
}

func stateName(state cluster.UpstreamState) string {
	switch state {
	case cluster.Live:
		return "live"
	case cluster.Leaving:
		return "leaving"
	default:
		return "suspect"
	}
}
