package dispatch

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/overload"
	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// report records the result of an attempt. Took is the time to the first byte, or
// zero if it says nothing about the instance's speed.
func (b *Balancer) report(p *pick, route *routing.Route, result instances.Result, took time.Duration) {
	b.mu.Lock()
	now := b.options.Now()
	slowness := 0.0
	if took > 0 {
		slowness = b.baselines.observe(route.Name, took)
		if result == instances.Succeeded && len(p.parts) == 0 {
			b.overloadOf(p.instance.Service).RecordAnswer(took, p.loadAtReply, p.instance.Slots)
		}
	}
	changes := b.registry.Report(now, p.instance.ID, result, slowness)
	b.mu.Unlock()
	b.logChanges(changes)
}

// recordConcurrency records when the response to a call with a prompt began, or zero if
// the instance had no room for it.
func (b *Balancer) recordConcurrency(p *pick, objective, firstByte time.Duration) {
	if len(p.parts) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.concurrency[p.instance.ID]
	if !ok {
		c = &overload.Concurrency{}
		b.concurrency[p.instance.ID] = c
	}
	c.RecordFirstByte(b.options.Now(), firstByte, objective, p.loadAtReply, p.instance.Slots)
}

// recordReply records what an instance says of itself in a response.
func (b *Balancer) recordReply(p *pick, reply call.Reply) {
	b.mu.Lock()
	now := b.options.Now()
	if reply.Load != nil {
		p.loadAtReply = reply.Load.Running + reply.Load.Waiting
		b.loads.UpdateInstance(now, p.instance.ID, p.loadAtReply)
	}
	changes := b.recordStatements(now, p.instance.ID, reply)
	b.mu.Unlock()
	b.logChanges(changes)
	if len(changes) > 0 {
		b.options.OnDigestChange()
	}
}

// recordRequest adds a caller's call to the requests that the service's retry
// budget is computed from.
func (b *Balancer) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).AddRequest(b.options.Now())
}

// takeRetry takes a retry from this router's share of the fleet's retry budget
// for a service. It returns false if the share is used up.
func (b *Balancer) takeRetry(service string, priority retry.Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).Take(b.options.Now(), b.routers, priority)
}

func (b *Balancer) window(service string) *retry.Window {
	w, ok := b.windows[service]
	if !ok {
		w = retry.NewWindow(b.options.RetryBudget)
		b.windows[service] = w
	}
	return w
}
