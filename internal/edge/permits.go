package edge

import (
	"context"
	"sync"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/dispatch"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

const (
	// maxDeciders is the number of routers that a request for a permit is sent to, one after
	// the other.
	maxDeciders = 3
	// maxPermitHops bounds the routers that pass a request on: their views of the fleet may
	// differ.
	maxPermitHops = 2
	// permitTimeout bounds the wait for a router's decision: some round trips and the opening
	// of a connection. One that passes a request on waits for a part of that.
	permitTimeout = 120 * time.Millisecond
	relayTimeout  = 60 * time.Millisecond
	// deciderRetry is how long a router that has not answered isn't asked again.
	deciderRetry = time.Second
)

// permits asks the routers that share out the rate limits of services. It is safe for
// concurrent use.
type permits struct {
	edge *Edge

	mu sync.Mutex
	// skipUntil is until when routers that have not answered are not asked, by name.
	skipUntil map[string]time.Time
}

var _ dispatch.Permits = (*permits)(nil)

func newPermits(e *Edge) *permits { return &permits{edge: e, skipUntil: make(map[string]time.Time)} }

// Acquire implements dispatch.Permits. The first router in the order of the service
// decides. If it doesn't answer, the next ones do.
func (p *permits) Acquire(ctx context.Context, r *peerpb.PermitRequest) *peerpb.PermitResponse {
	order := p.deciders(r.GetService())
	for _, router := range order[:min(len(order), maxDeciders)] {
		if response := p.ask(ctx, router, r, permitTimeout); response != nil {
			return response
		}
	}
	return dispatch.UndecidedPermit()
}

// Decide serves another router's request. It is passed on if another router comes first in
// the order of the service: that one may only be unreachable from the sender, or the
// sender may not know of it yet.
func (p *permits) Decide(ctx context.Context, r *peerpb.PermitRequest) *peerpb.PermitResponse {
	first := p.deciders(r.GetService())[0]
	if r.GetHops() >= maxPermitHops || p.isSelf(first) {
		return p.decide(r)
	}
	r.Hops++
	if response := p.ask(ctx, first, r, relayTimeout); response != nil {
		return response
	}
	return p.decide(r)
}

func (p *permits) decide(r *peerpb.PermitRequest) *peerpb.PermitResponse {
	name := p.edge.options.Settings.Name
	response := p.edge.balancer.DecidePermit(name, r)
	response.DecidedBy = name
	return response
}

// deciders returns the routers in the order in which they decide on the permits of a
// service. This one is left out while it leaves, unless it is alone.
func (p *permits) deciders(service string) []peering.Router {
	byName := make(map[string]peering.Router)
	var names []string
	for _, r := range *p.edge.routers.Load() {
		if !r.Leaving {
			byName[r.Name] = r
			names = append(names, r.Name)
		}
	}
	if self := p.edge.options.Settings.Name; !p.edge.leaving.Load() || len(names) == 0 {
		byName[self] = peering.Router{Name: self}
		names = append(names, self)
	}
	order := make([]peering.Router, 0, maxDeciders)
	for _, name := range placement.OwnersInOrder(service, names, maxDeciders) {
		order = append(order, byName[name])
	}
	return order
}

func (p *permits) isSelf(r peering.Router) bool { return r.Name == p.edge.options.Settings.Name }

// ask returns a router's decision, nil if it doesn't answer in time or has not answered a
// moment ago.
func (p *permits) ask(ctx context.Context, router peering.Router, r *peerpb.PermitRequest, timeout time.Duration) *peerpb.PermitResponse {
	if p.isSelf(router) {
		return p.decide(r)
	}
	if p.skips(router) {
		return nil
	}
	response, err := p.edge.link.AskPermit(ctx, router.PeerAddress, r, timeout)
	if err == nil {
		return response
	}
	if ctx.Err() == nil {
		p.skip(router, err)
	}
	return nil
}

func (p *permits) skips(r peering.Router) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.skipUntil[r.Name])
}

func (p *permits) skip(r peering.Router, cause error) {
	now := time.Now()
	p.mu.Lock()
	known := now.Before(p.skipUntil[r.Name])
	p.skipUntil[r.Name] = now.Add(deciderRetry)
	p.mu.Unlock()
	if !known {
		p.edge.options.Log.Decision("router doesn't decide on permits", decisionlog.Fields{
			"router": r.Name, "address": r.PeerAddress, "error": cause.Error(), "not_asked_for_ms": deciderRetry.Milliseconds(),
		})
	}
}
