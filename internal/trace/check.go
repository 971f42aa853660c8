package trace

import "slices"

// checkReferences reports names that nothing declares, and times out of order.
func (p *parser) checkReferences() {
	p.line = 0
	names := collectNames(p.trace)
	p.checkTurns(names)
	p.checkCalls(names)
	p.checkChanges(names)
	p.checkFaults()
	p.checkOutcomes()
}

// nameSet holds the names that records may refer to.
type nameSet struct {
	workspaces map[string]bool
	models     map[string]bool
	services   map[string]bool
	upstreams  map[string]bool
}

func collectNames(t *Trace) nameSet {
	names := nameSet{
		workspaces: make(map[string]bool), models: make(map[string]bool),
		services: make(map[string]bool), upstreams: make(map[string]bool),
	}
	for _, w := range t.Workspaces {
		names.workspaces[w.Name] = true
	}
	for _, e := range t.Settings.Engines {
		names.models[e.Model] = true
		names.upstreams[e.Name] = true
	}
	for _, s := range t.Settings.Services {
		names.services[s.Name] = true
		for _, instance := range s.Instances {
			names.upstreams[instance.Name] = true
		}
	}
	return names
}

func (p *parser) checkTurns(names nameSet) {
	next := make(map[string]int)
	at := int64(0)
	for _, turn := range p.trace.Turns {
		if !names.workspaces[turn.Workspace] {
			p.fail("turn %s: workspace %q is not declared", turn.ID, turn.Workspace)
		}
		if !names.models[turn.Model] {
			p.fail("turn %s: no engine has the model %q", turn.ID, turn.Model)
		}
		if turn.Turn != next[turn.Chat] {
			p.fail("turn %s: chat %s continues with turn %d", turn.ID, turn.Chat, next[turn.Chat])
		}
		if turn.AtMS < at {
			p.fail("turn %s: at_ms is before the line above", turn.ID)
		}
		next[turn.Chat] = turn.Turn + 1
		at = turn.AtMS
	}
}

func (p *parser) checkCalls(names nameSet) {
	at := int64(0)
	for _, call := range p.trace.Calls {
		if !names.workspaces[call.Workspace] {
			p.fail("call %s: workspace %q is not declared", call.ID, call.Workspace)
		}
		if !names.services[call.Service] {
			p.fail("call %s: service %q is not declared", call.ID, call.Service)
		}
		if call.AtMS < at {
			p.fail("call %s: at_ms is before the line above", call.ID)
		}
		at = call.AtMS
	}
}

func (p *parser) checkChanges(names nameSet) {
	for _, change := range p.trace.Changes {
		if !names.upstreams[change.Upstream] {
			p.fail("change %s: upstream %q is not declared", change.ID, change.Upstream)
		}
	}
}

func (p *parser) checkFaults() {
	known := []FaultAction{ActionKill, ActionFreeze, ActionThaw, ActionShutdown, ActionLeave, ActionSet, ActionPerform}
	for _, fault := range p.trace.Faults {
		if !slices.Contains(known, fault.Action) {
			p.fail("fault of %s: action %q is not known", fault.Target, fault.Action)
		}
		needsBody := fault.Action == ActionSet || fault.Action == ActionPerform
		if needsBody && len(fault.Body) == 0 {
			p.fail("fault of %s: the action %s needs a body", fault.Target, fault.Action)
		}
	}
}

func (p *parser) checkOutcomes() {
	for _, outcome := range p.trace.Outcomes {
		if !slices.Contains(Measures, outcome.Measure) {
			p.fail("outcome: measure %q is not known", outcome.Measure)
		}
	}
}
