// Package directory tells callers which router to connect to. Responses are
// computed from the cluster view in memory, so they don't depend on the platform
// being available.
package directory

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/verbenatrail/verbenatrail/internal/cluster"
	"github.com/verbenatrail/verbenatrail/internal/fleet"
	"github.com/verbenatrail/verbenatrail/internal/refusal"
	"github.com/verbenatrail/verbenatrail/internal/relay"
)

// PathAddress is the path of address lookups. Query parameters: workspace, and
// either model with an optional chat, or service.
const PathAddress = "/v1/address"

const (
	// alternateCount is the maximum number of alternates in a response.
	alternateCount = 3
	retryAfter     = time.Second
)

// AddressResponse is the response body of PathAddress.
type AddressResponse struct {
	// Address is the IP address and port of the router to use.
	Address string `json:"address"`
	// Host is the name of that router.
	Host string `json:"host"`
	// Alternates are the addresses of other routers, to use when Address can't
	// be reached.
	Alternates []string `json:"alternates"`
	// ValidForMS is the time for which the response may be cached, in
	// milliseconds.
	ValidForMS int64 `json:"valid_for_ms"`
	// ConfigRevision is the revision of the configuration that the choice was
	// made with. It is zero if the directory has none or the choice didn't need
	// one.
	ConfigRevision uint64 `json:"config_revision"`
}

// Directory serves address lookups. It is safe for concurrent use.
type Directory struct {
	planner   *relay.Planner
	view      func() *cluster.View
	validFor  time.Duration
	responses metrics.Counter
	refusals  metrics.Counter
}

// New returns a directory whose responses may be cached for validFor.
func New(planner *relay.Planner, view func() *cluster.View, validFor time.Duration, registry metrics.Registry) *Directory {
	return &Directory{
		planner: planner, view: view, validFor: validFor,
		responses: metrics.NewRegisteredCounter("directory.answered.requests", registry),
		refusals:  metrics.NewRegisteredCounter("directory.refused.requests", registry),
	}
}

// ServeHTTP implements http.Handler.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, refused := d.handle(r)
	if refused != nil {
		d.refusals.Inc(1)
		refused.WriteHTTP(w, "")
		return
	}
	d.responses.Inc(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

func (d *Directory) handle(r *http.Request) (*AddressResponse, *refusal.Refusal) {
	if r.URL.Path != PathAddress {
		return nil, refusal.New(refusal.UnknownService, "no such path: use "+PathAddress)
	}
	if r.Method != http.MethodGet {
		return nil, refusal.New(refusal.MethodNotAllowed, "address lookups take GET only")
	}
	route, refused := d.selectRoute(r)
	if refused != nil {
		return nil, refused
	}
	return d.chooseRouters(route)
}

// route holds the inputs of the choice of routers.
type route struct {
	// key is hashed to choose the router. For a chat it doesn't depend on the
	// engines, so when engines are added or removed, the chat stays at the router
	// whose affinity cache contains it.
	key string
	// upstream is the highest-ranked engine; routers in its region are preferred.
	upstream string
	revision uint64
}

// selectRoute returns the inputs of the choice for a lookup.
func (d *Directory) selectRoute(r *http.Request) (route, *refusal.Refusal) {
	query := r.URL.Query()
	workspace, model, chat := query.Get("workspace"), query.Get("model"), query.Get("chat")
	if workspace == "" {
		return route{}, refusal.New(refusal.BadRequest, "parameter workspace is missing: name the workspace")
	}
	if model == "" {
		return route{key: "workspace/" + workspace + "/" + query.Get("service")}, nil
	}
	affinity := relay.ChatAffinityKey(workspace, chat)
	plan, refused := d.planner.Plan(workspace, model, affinity, fleet.KindEngine)
	if refused == nil {
		return route{key: "chat/" + affinity, upstream: plan.Ranked[0], revision: plan.Revision}, nil
	}
	if refused.RetryAfter > 0 {
		// The refusal is temporary: any router can send it with the Retry-After.
		return route{key: "workspace/" + workspace}, nil
	}
	return route{}, refused
}

func (d *Directory) chooseRouters(r route) (*AddressResponse, *refusal.Refusal) {
	view := d.view()
	names := view.RoutersFor(r.key, r.upstream, alternateCount+1)
	if len(names) == 0 {
		return nil, refusal.New(refusal.OwnerUnreachable, "no router is known to be live: retry after the given time").
			WithRetryAfter(retryAfter)
	}
	response := &AddressResponse{Host: names[0], ValidForMS: d.validFor.Milliseconds(), ConfigRevision: r.revision, Alternates: []string{}}
	for i, name := range names {
		router, _ := view.Router(name)
		if i == 0 {
			response.Address = router.Address
			continue
		}
		response.Alternates = append(response.Alternates, router.Address)
	}
	return response, nil
}
