package dispatch

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/overload"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// decideOverload decides whether a call of a plain service is sent to the chosen
// instance or rejected. The caller holds the lock.
func (b *Balancer) decideOverload(now time.Time, c *call.Call, t target, p *pick) overload.Decision {
	return b.overloadOf(t.service).Decide(now, overloadCall(c, t), p.load, p.instance.Slots)
}

func (b *Balancer) overloadOf(service string) *overload.Service {
	s, ok := b.overload[service]
	if !ok {
		s = overload.NewService()
		b.overload[service] = s
	}
	return s
}

func overloadCall(c *call.Call, t target) overload.Call {
	return overload.Call{
		Workspace: t.workspace, Objective: t.objective, TimeLeft: t.timeLeft,
		Random: placement.Uniform(c.ID),
	}
}
