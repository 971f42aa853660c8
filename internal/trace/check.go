package trace

import "slices"

// checkReferences reports references to undeclared names, unknown values and
// records that are out of time order.
func (p *parser) checkReferences() {
	p.line = 0
	names := collectDeclaredNames(p.trace)
	p.checkTurns(names)
	p.checkCalls(names)
	p.checkChanges(names)
	p.checkFaults()
	p.checkOutcomes()
}

// declaredNames holds the names to which records may refer.
type declaredNames struct {
	workspaces map[string]bool
	models     map[string]bool
	services   map[string]bool
	upstreams  map[string]bool
}

func collectDeclaredNames(t *Trace) declaredNames {
	names := declaredNames{
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

func (p *parser) checkTurns(names declaredNames) {
	next := make(map[string]int)
	lastMS := int64(0)
	for _, turn := range p.trace.Turns {
		if !names.workspaces[turn.Workspace] {
			p.addError("turn %s: workspace %q is not declared", turn.ID, turn.Workspace)
		}
		if !names.models[turn.Model] {
			p.addError("turn %s: no engine has the model %q", turn.ID, turn.Model)
		}
		if turn.Turn != next[turn.Chat] {
			p.addError("turn %s: the next turn of chat %s must be %d", turn.ID, turn.Chat, next[turn.Chat])
		}
		if turn.AtMS < lastMS {
			p.addError("turn %s: at_ms is less than that of the previous turn", turn.ID)
		}
		next[turn.Chat] = turn.Turn + 1
		lastMS = turn.AtMS
	}
}

func (p *parser) checkCalls(names declaredNames) {
	lastMS := int64(0)
	for _, call := range p.trace.Calls {
		if !names.workspaces[call.Workspace] {
			p.addError("call %s: workspace %q is not declared", call.ID, call.Workspace)
		}
		if !names.services[call.Service] {
			p.addError("call %s: service %q is not declared", call.ID, call.Service)
		}
		if call.AtMS < lastMS {
			p.addError("call %s: at_ms is less than that of the previous call", call.ID)
		}
		lastMS = call.AtMS
	}
}

func (p *parser) checkChanges(names declaredNames) {
	for _, change := range p.trace.Changes {
		if !names.upstreams[change.Upstream] {
			p.addError("change %s: upstream %q is not declared", change.ID, change.Upstream)
		}
	}
}

func (p *parser) checkFaults() {
	known := []FaultAction{ActionKill, ActionFreeze, ActionThaw, ActionShutdown, ActionLeave, ActionSet, ActionPerform}
	for _, fault := range p.trace.Faults {
		if !slices.Contains(known, fault.Action) {
			p.addError("fault of %s: unknown action %q", fault.Target, fault.Action)
		}
		needsBody := fault.Action == ActionSet || fault.Action == ActionPerform
		if needsBody && len(fault.Body) == 0 {
			p.addError("fault of %s: action %s requires a body", fault.Target, fault.Action)
		}
	}
}

func (p *parser) checkOutcomes() {
	for _, outcome := range p.trace.Outcomes {
		if !slices.Contains(Measures, outcome.Measure) {
			p.addError("outcome: unknown measure %q", outcome.Measure)
		}
	}
}
