package dispatch

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/containment"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/placement"
	"github.com/verbenatrail/verbenatrail/internal/retry"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

// report takes the result of a send. Took is the time to the first byte, zero
// when it says nothing about the instance's speed.
func (b *Balancer) report(p *pick, route *routing.Route, result instances.Result, took time.Duration) {
	b.mu.Lock()
	now := b.options.Now()
	slowness := 0.0
	if took > 0 {
		slowness = b.expected.slowness(route.Name, took)
	}
	changes := b.registry.Report(now, p.instance.ID, result, slowness)
	b.mu.Unlock()
	b.logChanges(changes)
}

// heardLoad takes an instance's own word about its load.
func (b *Balancer) heardLoad(p *pick, load *call.Load) {
	if load == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads.UpdateInstance(b.options.Now(), p.instance.ID, load.Running+load.Waiting)
}

// requested counts a caller's call of a service.
func (b *Balancer) requested(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).AddRequest(b.options.Now())
}

// takeRepeat counts a repeat to a service if this router's share of the
// fleet's budget allows it.
func (b *Balancer) takeRepeat(service string, need retry.Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).Take(b.options.Now(), b.routers, need)
}

func (b *Balancer) window(service string) *retry.Window {
	w, ok := b.windows[service]
	if !ok {
		w = retry.NewWindow(b.options.RetryBudget)
		b.windows[service] = w
	}
	return w
}

// contained returns the verdict on a call that may crash instances.
func (b *Balancer) contained(fingerprint uint64) containment.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Check(b.options.Now(), fingerprint)
}

// finished clears a call that an instance has run to its end.
func (b *Balancer) finished(fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes.Finished(b.options.Now(), fingerprint)
}

// crashed gives a strike to a call whose instance crashed while it ran it.
func (b *Balancer) crashed(p *pick, fingerprint uint64) {
	b.mu.Lock()
	crash := placement.Key(p.instance.ID)
	strikes := b.crashes.Crash(b.options.Now(), p.instance.ID, crash, []uint64{fingerprint})
	b.mu.Unlock()
	for _, strike := range strikes {
		b.options.Log.Decision("call suspected of a crash", decisionlog.Fields{
			"fingerprint": fingerprint, "instance": p.instance.ID, "strikes_sent": len(strikes),
		})
		b.options.OnStrike(strike)
	}
}
