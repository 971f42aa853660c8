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

// Answer is the body of PathAddress.
type Answer struct {
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

func (d *Directory) answer(r *http.Request) (*Answer, *refusal.Refusal) {
	if r.URL.Path != PathAddress {
		return nil, refusal.New(refusal.UnknownService, "no such path: use "+PathAddress)
	}
	if r.Method != http.MethodGet {
		return nil, refusal.New(refusal.MethodNotAllowed, "address lookups take GET only")
	}
	name, revision, refused := d.ownedName(r)
	if refused != nil {
		return nil, refused
	}
	return d.routersFor(name, revision)
}

// ownedName returns the upstream or key whose owner the caller should use.
func (d *Directory) ownedName(r *http.Request) (string, uint64, *refusal.Refusal) {
	query := r.URL.Query()
	workspace, model, chat := query.Get("workspace"), query.Get("model"), query.Get("chat")
	if workspace == "" {
		return "", 0, refusal.New(refusal.BadRequest, "parameter workspace is missing: name the workspace")
	}
	if model == "" {
		return "workspace/" + workspace + "/" + query.Get("service"), 0, nil
	}
	plan, refused := d.planner.Plan(workspace, model, relay.ChatAffinity(workspace, chat), fleet.KindEngine)
	if refused == nil {
		return plan.Ranked[0], plan.Revision, nil
	}
	if refused.RetryAfter > 0 {
		// Any router can tell the caller when to come back.
		return "workspace/" + workspace, 0, nil
	}
	return "", 0, refused
}

func (d *Directory) routersFor(name string, revision uint64) (*Answer, *refusal.Refusal) {
	view := d.view()
	owners := view.OwnersInOrder(name, alternateCount+1)
	if len(owners) == 0 {
		return nil, refusal.New(refusal.OwnerUnreachable, "no router is known to be live: retry after the given time").
			WithRetryAfter(retryAfter)
	}
	answer := &Answer{Host: owners[0], ValidForMS: d.validFor.Milliseconds(), ConfigRevision: revision, Alternates: []string{}}
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
