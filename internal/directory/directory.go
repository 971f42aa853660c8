// Package directory answers which router a caller should connect to. Answers
// come from the view in memory, also while the platform is down.
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

// PathAddress is where callers ask. Query parameters: workspace, and either
// model with an optional chat, or service.
const PathAddress = "/v1/address"

const (
	// alternateCount is the number of further addresses in an answer.
	alternateCount = 3
	retryAfter     = time.Second
)

// AddressResponse is the body of PathAddress.
type AddressResponse struct {
	// Address is the IP number and port of the router to use.
	Address string `json:"address"`
	Host    string `json:"host"`
	// Alternates are other routers, for when Address can't be reached.
	Alternates []string `json:"alternates"`
	// ValidForMS is how long the answer may be kept, in milliseconds.
	ValidForMS int64 `json:"valid_for_ms"`
	// ConfigRevision is the configuration that the answer was made under;
	// zero when the directory has none.
	ConfigRevision uint64 `json:"config_revision"`
}

// Directory answers callers. It is safe for concurrent use.
type Directory struct {
	planner  *relay.Planner
	view     func() *cluster.View
	validFor time.Duration
	answers  metrics.Counter
	refusals metrics.Counter
}

// New returns a directory whose answers may be kept for validFor.
func New(planner *relay.Planner, view func() *cluster.View, validFor time.Duration, registry metrics.Registry) *Directory {
	return &Directory{
		planner: planner, view: view, validFor: validFor,
		answers:  metrics.NewRegisteredCounter("directory.answered.requests", registry),
		refusals: metrics.NewRegisteredCounter("directory.refused.requests", registry),
	}
}

// ServeHTTP implements http.Handler.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, refused := d.answer(r)
	if refused != nil {
		d.refusals.Inc(1)
		refused.WriteHTTP(w, "")
		return
	}
	d.answers.Inc(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (d *Directory) answer(r *http.Request) (*AddressResponse, *refusal.Refusal) {
	if r.URL.Path != PathAddress {
		return nil, refusal.New(refusal.UnknownService, "no such path: use "+PathAddress)
	}
	if r.Method != http.MethodGet {
		return nil, refusal.New(refusal.MethodNotAllowed, "address lookups take GET only")
	}
	route, refused := d.routeOf(r)
	if refused != nil {
		return nil, refused
	}
	return d.routersFor(route)
}

// route is what the choice of a router depends on.
type route struct {
	// key is the chat, so that a chat keeps its router, which remembers where
	// the chat ran, while engines come and go.
	key string
	// upstream is the first engine in rank, whose region is preferred.
	upstream string
	revision uint64
}

// routeOf returns what to choose the router of a request by.
func (d *Directory) routeOf(r *http.Request) (route, *refusal.Refusal) {
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
		// Any router can tell the caller when to come back.
		return route{key: "workspace/" + workspace}, nil
	}
	return route{}, refused
}

func (d *Directory) routersFor(r route) (*AddressResponse, *refusal.Refusal) {
	view := d.view()
	owners := view.RoutersFor(r.key, r.upstream, alternateCount+1)
	if len(owners) == 0 {
		return nil, refusal.New(refusal.OwnerUnreachable, "no router is known to be live: retry after the given time").
			WithRetryAfter(retryAfter)
	}
	answer := &AddressResponse{Host: owners[0], ValidForMS: d.validFor.Milliseconds(), ConfigRevision: r.revision, Alternates: []string{}}
	for i, owner := range owners {
		router, _ := view.Router(owner)
		if i == 0 {
			answer.Address = router.Address
			continue
		}
		answer.Alternates = append(answer.Alternates, router.Address)
	}
	return answer, nil
}
