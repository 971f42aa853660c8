package daemon

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/owner"
)

// Status is the body of GET /status on the admin address.
type Status struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// ConfigRevision is the revision in force; zero before there is any.
	ConfigRevision uint64 `json:"config_revision"`
	Leaving        bool   `json:"leaving"`
	// Routers are the live routers that this process sees.
	Routers []string `json:"routers"`
	// Upstreams are the upstreams that this process sees.
	Upstreams []UpstreamStatus `json:"upstreams"`
	// Loads are the upstreams that this process has served as their owner.
	Loads []owner.Load `json:"loads"`
}

// UpstreamStatus is the state of one upstream.
type UpstreamStatus struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

func (n *node) commonStatus() *Status {
	view := n.cluster.View()
	status := &Status{
		Name: n.common.Name, Region: n.common.Region, FailureDomain: n.common.FailureDomain,
		ConfigRevision: n.config.Revision(),
	}
	for _, router := range view.Routers {
		status.Routers = append(status.Routers, router.Name)
	}
	for name, upstream := range view.Upstreams {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{Name: name, State: stateName(upstream.State)})
	}
	sortUpstreams(status.Upstreams)
	return status
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func sortUpstreams(upstreams []UpstreamStatus) {
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
